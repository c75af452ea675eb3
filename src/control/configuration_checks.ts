/**
 * Checks a ticket across objects: references and combinations that the schema
 * of a single object cannot check. The checks run on the configuration that the
 * ticket would produce.
 */
import type { FieldIssue } from "../core/strict_fields.ts";
import { checkForwardingTable } from "../forwarding/forwarding_checks.ts";
import {
  applyChanges,
  type Configuration,
  getEmptyConfiguration,
  getTargetWallMs,
  lookUp,
  objectKinds,
  type Rollout,
} from "./configuration.ts";
import type { Ticket } from "./ticket.ts";

export interface TicketCheck {
  readonly ticket: Ticket;
  readonly current: Configuration;
  /** The current configuration with the ticket applied. */
  readonly next: Configuration;
  readonly atWallMs: number;
}

export function checkTicket(check: TicketCheck): FieldIssue[] {
  const { next } = check;
  return [
    ...checkRemovals(check),
    ...checkServices(next),
    ...checkReferences(next),
    ...checkStates(check),
  ];
}

/**
 * Checks what does not depend on objects that the ticket does not name. An issue
 * found here makes the ticket invalid in any configuration.
 */
export function checkTicketAlone(
  ticket: Ticket,
  atWallMs: number,
): FieldIssue[] {
  const next = applyChanges(getEmptyConfiguration(), ticket, 0);
  return checkStates({ ticket, next, atWallMs });
}

function checkStates(
  { ticket, next, atWallMs }: Omit<TicketCheck, "current">,
): FieldIssue[] {
  return [
    ...checkVersions(next),
    ...Object.entries(next.rollouts).flatMap(([service, rollout]) =>
      checkRollout(next, service, rollout)
    ),
    ...checkTargetDates({ ticket, atWallMs }),
    ...checkForwarding(ticket),
  ];
}

function checkRemovals({ ticket, current }: TicketCheck): FieldIssue[] {
  return objectKinds.flatMap((kind) =>
    Object.entries(ticket[kind] ?? {})
      .filter(([name, state]) =>
        state === null && !Object.hasOwn(current[kind], name)
      )
      .map(([name]) => ({
        path: `${kind}.${name}`,
        message: "does not exist, so it cannot be removed",
      }))
  );
}

function checkServices(next: Configuration): FieldIssue[] {
  return Object.entries(next.services)
    .filter(([name, service]) =>
      service.kind === "model" && !Object.hasOwn(next.versions, name)
    )
    .map(([name]) => ({
      path: `versions.${name}`,
      message: `is required: "${name}" is a model service`,
    }));
}

function checkReferences(next: Configuration): FieldIssue[] {
  const names = Object.keys(next.services).join(", ") || "none";
  return (["versions", "rollouts", "retryBudgets"] as const).flatMap((kind) =>
    Object.keys(next[kind])
      .filter((name) => !Object.hasOwn(next.services, name))
      .map((name) => ({
        path: `${kind}.${name}`,
        message: `service "${name}" does not exist; services: ${names}`,
      }))
  );
}

function checkVersions(next: Configuration): FieldIssue[] {
  return Object.entries(next.versions).flatMap(([name, versions]) => {
    const path = `versions.${name}`;
    if (lookUp(next.services, name)?.kind === "application") {
      const message =
        `"${name}" is an application service, which has no versions`;
      return [{ path, message }];
    }
    if (versions.kind === "weighted") {
      const total = Object.values(versions.weights).reduce((a, b) => a + b, 0);
      if (total > 0) return [];
      const message = "at least one weight must be above 0";
      return [{ path: `${path}.weights`, message }];
    }
    if (versions.candidateVersion !== versions.stableVersion) return [];
    return [{
      path: `${path}.candidateVersion`,
      message: "must differ from stableVersion, or be null",
    }];
  });
}

function checkRollout(
  next: Configuration,
  service: string,
  rollout: Rollout,
): FieldIssue[] {
  const versions = lookUp(next.versions, service);
  const path = `rollouts.${service}`;
  if (!versions) return [];
  if (versions.kind === "weighted") {
    const message = `versions.${service} is weighted; a rollout needs kind ` +
      '"stable" with a candidateVersion';
    return [{ path, message }];
  }
  if (versions.candidateVersion === rollout.candidateVersion) return [];
  return [{
    path: `${path}.candidateVersion`,
    message: `must be the candidateVersion of versions.${service}, which is ` +
      `${JSON.stringify(versions.candidateVersion)}`,
  }];
}

/**
 * Checks only the dates in the ticket: the target dates of running rollouts may
 * have passed.
 */
function checkTargetDates(
  { ticket, atWallMs }: Pick<TicketCheck, "ticket" | "atWallMs">,
): FieldIssue[] {
  return Object.entries(ticket.rollouts ?? {}).flatMap(([service, rollout]) => {
    if (!rollout) return [];
    const earliestMs = atWallMs + rollout.soakMs;
    if (getTargetWallMs(rollout) > earliestMs) return [];
    return [{
      path: `rollouts.${service}.targetDate`,
      message: "must be later than the time of submission plus soakMs, " +
        new Date(earliestMs).toISOString(),
    }];
  });
}

/**
 * Checks only the tables in the ticket: the tables in force were checked with
 * their tickets.
 */
function checkForwarding({ forwarding }: Ticket): FieldIssue[] {
  return Object.entries(forwarding ?? {}).flatMap(([name, table]) =>
    (table ? checkForwardingTable(table) : []).map(({ path, message }) => ({
      path: `forwarding.${name}.${path}`,
      message,
    }))
  );
}
