/**
 * Checks across the objects of a forwarding table.
 */
import type { FieldIssue } from "../core/strict_fields.ts";
import type { ForwardingTable } from "./forwarding_table.ts";

export function checkForwardingTable(table: ForwardingTable): FieldIssue[] {
  return [
    ...checkTargets(table),
    ...checkPrefixes(table),
    ...findRepeated(
      table.services.map(({ name }) => name),
      (index) => `services.${index}.name`,
    ),
    ...checkKeys(table),
  ];
}

function checkTargets({ routes, services }: ForwardingTable): FieldIssue[] {
  const names = new Set(services.map(({ name }) => name));
  return routes.flatMap(({ targets }, index) => {
    const path = `routes.${index}.targets`;
    const unknown = targets.find(({ service }) => !names.has(service));
    if (unknown) {
      return [{ path, message: `service "${unknown.service}" is unknown` }];
    }
    const total = targets.reduce((sum, { weight }) => sum + weight, 0);
    return total > 0 ? [] : [{ path, message: "all weights are 0" }];
  });
}

function checkPrefixes({ routes }: ForwardingTable): FieldIssue[] {
  const malformed = routes.flatMap(({ pathPrefix }, index) =>
    pathPrefix.startsWith("/") && pathPrefix.endsWith("/") ? [] : [{
      path: `routes.${index}.pathPrefix`,
      message: "must begin and end with a slash",
    }]
  );
  const repeated = findRepeated(
    routes.map(({ host, pathPrefix }) => host.toLowerCase() + pathPrefix),
    (index) => `routes.${index}.pathPrefix`,
  );
  return [...malformed, ...repeated];
}

/** A key must name one customer, or requests could be charged to another. */
function checkKeys({ customers }: ForwardingTable): FieldIssue[] {
  const owners = new Map<string, string>();
  const shared = customers.flatMap(({ customerId, apiKeys }, index) => {
    const isShared = apiKeys.some((key) =>
      (owners.get(key) ?? customerId) !== customerId
    );
    for (const key of apiKeys) owners.set(key, customerId);
    return isShared
      ? [{ path: `customers.${index}.apiKeys`, message: "a key is shared" }]
      : [];
  });
  const repeated = findRepeated(
    customers.map(({ customerId }) => customerId),
    (index) => `customers.${index}.customerId`,
  );
  return [...shared, ...repeated];
}

function findRepeated(
  values: readonly string[],
  getPath: (index: number) => string,
): FieldIssue[] {
  const seen = new Set<string>();
  return values.flatMap((value, index) => {
    if (!seen.has(value)) {
      seen.add(value);
      return [];
    }
    return [{ path: getPath(index), message: `"${value}" is listed twice` }];
  });
}
