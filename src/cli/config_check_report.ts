/**
 * Runs the checks on a document, compares it with another version, and formats
 * the result for operators.
 */
import type { Result } from "neverthrow";
import { applyChanges, objectKinds } from "../control/configuration.ts";
import {
  type Difference,
  listFieldDifferences,
  listObjectDifferences,
} from "../control/configuration_differences.ts";
import {
  checkDocument,
  type Finding,
  Severity,
} from "../control/configuration_findings.ts";
import type { Ticket } from "../control/ticket.ts";
import {
  type ComparedVersion,
  DocumentFormat,
  type ReadDocument,
} from "./version_sources.ts";

export type Comparison =
  | {
    readonly status: "compared";
    readonly with: string;
    readonly differences: readonly Difference[];
  }
  | { readonly status: "unavailable"; readonly reason: string };

export interface CheckReport {
  readonly findings: readonly Finding[];
  /** A platform's document has no references to objects outside it. */
  readonly areReferencesChecked: boolean;
  readonly comparison: Comparison;
}

export function checkAndCompare(
  { format, issues, ticket: value }: ReadDocument,
  version: Result<ComparedVersion, string>,
  atWallMs: number,
): CheckReport {
  const known = version.unwrapOr(undefined);
  const current = known?.isComplete ? known.configuration : undefined;
  const { findings, ticket } = issues.length > 0
    ? {
      findings: issues.map((issue) => ({ severity: Severity.Error, ...issue })),
      ticket: undefined,
    }
    : checkDocument(value, { current, atWallMs });
  return {
    findings,
    areReferencesChecked: format === DocumentFormat.Platform ||
      current !== undefined,
    comparison: version.match(
      (compared): Comparison =>
        ticket
          ? compare(ticket, compared)
          : { status: "unavailable", reason: "the document is not valid" },
      (reason): Comparison => ({ status: "unavailable", reason }),
    ),
  };
}

/** Objects that a ticket does not name stay as they are. */
function compare(ticket: Ticket, version: ComparedVersion): Comparison {
  const { label, configuration: before, isComplete } = version;
  const differences = listObjectDifferences(
    before,
    applyChanges(before, ticket, before.revision),
    (kind) => Object.keys(ticket[kind] ?? {}),
  );
  const isNamed = (kind: typeof objectKinds[number], name: string) =>
    Object.hasOwn(ticket[kind] ?? {}, name);
  const onlyBefore = isComplete
    ? []
    : objectKinds.flatMap((kind) =>
      Object.entries(before[kind])
        .filter(([name]) => !isNamed(kind, name))
        .map(([name, state]): Difference => ({
          path: `${kind}.${name}`,
          before: state,
        }))
    );
  return {
    status: "compared",
    with: label,
    differences: [...differences, ...onlyBefore].flatMap(listFieldDifferences),
  };
}

export function formatCheck(
  file: string,
  { findings, areReferencesChecked, comparison }: CheckReport,
): string[] {
  const errors = findings.filter(({ severity }) => severity === Severity.Error);
  return [
    `${file}: ${errors.length} errors, ` +
    `${findings.length - errors.length} warnings`,
    ...findings.map(({ severity, path, message }) =>
      `${severity.padEnd(7)}  ${path || "(document)"}: ${message}`
    ),
    ...(areReferencesChecked
      ? []
      : ["references to objects outside the document were not checked"]),
    ...formatComparison(comparison),
  ];
}

function formatComparison(comparison: Comparison): string[] {
  if (comparison.status === "unavailable") {
    return [`not compared: ${comparison.reason}`];
  }
  const { differences } = comparison;
  return [
    `${differences.length} differences to ${comparison.with}`,
    ...differences.flatMap(({ path, before, after }) => [
      path,
      `  - ${JSON.stringify(before) ?? "(none)"}`,
      `  + ${JSON.stringify(after) ?? "(none)"}`,
    ]),
  ];
}
