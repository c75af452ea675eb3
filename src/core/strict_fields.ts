/**
 * Strict objects whose errors say which fields are allowed, and which unit a
 * misnamed field should have had.
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
      return issue.keys.map((key) => describeUnknown(key, allowed)).join("; ");
    },
  });
}

export function intInRange(min: number, max: number) {
  const message = `must be a whole number from ${min} to ${max}`;
  return z.int(message).min(min, message).max(max, message);
}

function describeUnknown(key: string, allowed: readonly string[]): string {
  const stem = key.replace(unitSuffix, "");
  const sameStem = allowed.find((field) =>
    unitSuffix.test(field) && field.replace(unitSuffix, "") === stem
  );
  const unit = sameStem ? `; the unit is that of "${sameStem}"` : "";
  return `unknown field "${key}"${unit}; allowed: ${allowed.join(", ")}`;
}

/** The first issues of a failed check, each with its path. */
export function getFieldIssues(error: z.ZodError): FieldIssue[] {
  return error.issues.slice(0, maxIssues).map((issue) => ({
    path: issue.path.map(String).join("."),
    message: issue.code === "invalid_key"
      ? `name ${issue.issues.map((inner) => inner.message).join("; ")}`
      : issue.message,
  }));
}

/** Keeps a reply to a thoroughly wrong document short. */
const maxIssues = 50;
