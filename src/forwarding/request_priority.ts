/**
 * The order of requests by priority. A customer's priority goes before that of
 * the route; among customers of the same priority the route decides. Without
 * that, the routes of a deployment whose customers all have one priority would
 * be equal.
 */
import type { ForwardingTable } from "./forwarding_table.ts";

/** The highest priority that a table may hold. */
export const maxPriority = 1_000;

/** Lower numbers go first. A customer without a priority takes the route's. */
export function combinePriorities(
  customerPriority: number | null,
  routePriority: number,
): number {
  return (customerPriority ?? routePriority) * (maxPriority + 1) +
    routePriority;
}

/** For metrics and logs, which name the priority of the route. */
export function getRoutePriority(combinedPriority: number): number {
  return combinedPriority % (maxPriority + 1);
}

/**
 * Lists the combined priorities that requests of these routes can have, the most
 * urgent first.
 */
export function listCombinedPriorities(
  { customers }: Pick<ForwardingTable, "customers">,
  routePriorities: Iterable<number>,
): number[] {
  // Requests on public routes have no customer.
  const customerPriorities = new Set(
    customers.length > 0 ? customers.map(({ priority }) => priority) : [null],
  );
  const combined = new Set<number>();
  for (const routePriority of routePriorities) {
    for (const customerPriority of customerPriorities) {
      combined.add(combinePriorities(customerPriority, routePriority));
    }
  }
  return [...combined].sort((left, right) => left - right);
}
