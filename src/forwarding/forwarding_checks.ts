/**
 * Checks the constraints between the objects of a forwarding table, which the
 * schema of a single object cannot express.
 */
import type { FieldIssue } from "../core/strict_fields.ts";
import type { ForwardingTable } from "./forwarding_table.ts";

export function checkForwardingTable(table: ForwardingTable): FieldIssue[] {
  return [
    ...checkTargets(table),
    ...checkPrefixes(table),
    ...findDuplicates(
      table.services.map(({ name }) => name),
      (index) => `services.${index}.name`,
    ),
    ...checkApiKeys(table),
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
    const totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0);
    return totalWeight > 0 ? [] : [{ path, message: "all weights are 0" }];
  });
}

function checkPrefixes({ routes }: ForwardingTable): FieldIssue[] {
  const malformed = routes.flatMap(({ pathPrefix }, index) =>
    pathPrefix.startsWith("/") && pathPrefix.endsWith("/") ? [] : [{
      path: `routes.${index}.pathPrefix`,
      message: "must begin and end with a slash",
    }]
  );
  const repeated = findDuplicates(
    routes.map(({ host, pathPrefix }) => host.toLowerCase() + pathPrefix),
    (index) => `routes.${index}.pathPrefix`,
  );
  return [...malformed, ...repeated];
}

/** With a shared key, requests could be charged to the wrong customer. */
function checkApiKeys({ customers }: ForwardingTable): FieldIssue[] {
  const customerIdByKey = new Map<string, string>();
  const shared = customers.flatMap(({ customerId, apiKeys }, index) => {
    const isShared = apiKeys.some((key) =>
      (customerIdByKey.get(key) ?? customerId) !== customerId
    );
    for (const key of apiKeys) customerIdByKey.set(key, customerId);
    return isShared
      ? [{
        path: `customers.${index}.apiKeys`,
        message: "an API key is used by several customers",
      }]
      : [];
  });
  const repeated = findDuplicates(
    customers.map(({ customerId }) => customerId),
    (index) => `customers.${index}.customerId`,
  );
  return [...shared, ...repeated];
}

function findDuplicates(
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
