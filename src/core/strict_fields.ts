/**
 * Schemas of strict objects. The error for an unknown field lists the allowed
 * fields, and names the field with the right unit if only the unit differs.
 */
import * as z from "zod";

export interface FieldIssue {
  /** Dotted path of the field, empty for the whole document. */
  readonly path: string;
  readonly message: string;
}

const unitSuffix =
  /(Ms|S|Sec|Seconds|Minutes|Min|Hours|Days|Bytes|Kb|Mb|Percent|Pct|Ratio|PerS|PerMin|PerMs)$/;

export function strictFields<T extends z.core.$ZodLooseShape>(shape: T) {
  const allowed = Object.keys(shape);
  return z.strictObject(shape, {
    error: (issue) => {
      if (issue.code !== "unrecognized_keys") return undefined;
      return issue.keys.map((key) => describeUnknownField(key, allowed)).join(
        "; ",
      );
    },
  });
}

export function intInRange(min: number, max: number) {
  const message = `must be a whole number from ${min} to ${max}`;
  return z.int(message).min(min, message).max(max, message);
}

function describeUnknownField(key: string, allowed: readonly string[]): string {
  const nameWithoutUnit = key.replace(unitSuffix, "");
  const fieldWithUnit = allowed.find((field) =>
    unitSuffix.test(field) && field.replace(unitSuffix, "") === nameWithoutUnit
  );
  const unit = fieldWithUnit ? `; the unit is that of "${fieldWithUnit}"` : "";
  return `unknown field "${key}"${unit}; allowed: ${allowed.join(", ")}`;
}

/** Returns the first issues of a failed validation, each with its path. */
export function getFieldIssues(error: z.ZodError): FieldIssue[] {
  return error.issues.slice(0, maxReportedIssues).map((issue) => ({
    path: issue.path.map(String).join("."),
    message: issue.code === "invalid_key"
      ? `name ${issue.issues.map((inner) => inner.message).join("; ")}`
      : issue.message,
  }));
}

/** Bounds the response to a document with a very large number of errors. */
const maxReportedIssues = 50;
