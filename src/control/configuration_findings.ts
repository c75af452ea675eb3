/**
 * Checks a document before it is submitted: the errors for which the service
 * would reject it, entries that have no effect, and limits that contradict each
 * other.
 */
import type { FieldIssue } from "../core/strict_fields.ts";
import { findTableWarnings } from "../forwarding/forwarding_findings.ts";
import { forwardingTableName } from "../forwarding/forwarding_table.ts";
import {
  applyChanges,
  type Configuration,
  type ServiceConfiguration,
} from "./configuration.ts";
import { checkTicket, checkTicketAlone } from "./configuration_checks.ts";
import { parseTicket, type Ticket } from "./ticket.ts";

export enum Severity {
  /** The service rejects the document. */
  Error = "error",
  /** The service accepts the document. */
  Warning = "warning",
}

export interface Finding extends FieldIssue {
  readonly severity: Severity;
}

export interface CheckedTicket {
  readonly findings: readonly Finding[];
  /** Undefined if the document is not a ticket. */
  readonly ticket: Ticket | undefined;
}

export interface CheckOptions {
  /**
   * The complete configuration in force; undefined if it is not known. Then
   * references to objects outside the document are not checked.
   */
  readonly current: Configuration | undefined;
  readonly atWallMs: number;
}

export function checkDocument(
  value: unknown,
  { current, atWallMs }: CheckOptions,
): CheckedTicket {
  const parsed = parseTicket(value);
  if (parsed.isErr()) {
    return {
      findings: withSeverity(Severity.Error, parsed.error),
      ticket: undefined,
    };
  }
  const ticket = parsed.value;
  const errors = current
    ? checkTicket({
      ticket,
      current,
      next: applyChanges(current, ticket, current.revision),
      atWallMs,
    })
    : checkTicketAlone(ticket, atWallMs);
  return {
    findings: [
      ...withSeverity(Severity.Error, errors),
      ...withSeverity(Severity.Warning, findWarnings(ticket)),
    ],
    ticket,
  };
}

export function findWarnings(ticket: Ticket): FieldIssue[] {
  return [
    ...listStates(ticket.services).flatMap(([name, service]) =>
      findRepeatedRoutes(`services.${name}`, service)
    ),
    ...listStates(ticket.limits).flatMap(([customerId, limits]) => {
      const { maxOpenAnswers, maxRateTokensPerS } = limits;
      if (maxOpenAnswers !== 0 || !maxRateTokensPerS) return [];
      return [{
        path: `limits.${customerId}.maxRateTokensPerS`,
        message: "has no effect: maxOpenAnswers is 0",
      }];
    }),
    ...listStates(ticket.forwarding).flatMap(([name, table]) => [
      ...(name === forwardingTableName ? [] : [{
        path: `forwarding.${name}`,
        message: `is never used: instances serve "${forwardingTableName}"`,
      }]),
      ...findTableWarnings(table).map(({ path, message }) => ({
        path: `forwarding.${name}.${path}`,
        message,
      })),
    ]),
  ];
}

/** Of two routes that match equally well, the first one is used. */
function findRepeatedRoutes(
  path: string,
  service: ServiceConfiguration,
): FieldIssue[] {
  if (service.kind !== "application") return [];
  const seen = new Map<string, number>();
  return service.routes.flatMap(({ method, pathPrefix }, index) => {
    const key = `${method} ${pathPrefix}`;
    const first = seen.get(key);
    if (first === undefined) {
      seen.set(key, index);
      return [];
    }
    return [{
      path: `${path}.routes.${index}`,
      message: `never matches: routes.${first} has the same method and prefix`,
    }];
  });
}

/** Returns the new states of one kind, without the objects to remove. */
function listStates<T>(
  objects: Readonly<Record<string, T | null>> | undefined,
): [string, T][] {
  return Object.entries(objects ?? {}).flatMap(([name, state]) =>
    state === null ? [] : [[name, state] as [string, T]]
  );
}

function withSeverity(
  severity: Severity,
  issues: readonly FieldIssue[],
): Finding[] {
  return issues.map(({ path, message }) => ({ severity, path, message }));
}
