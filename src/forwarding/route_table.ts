/**
 * Looks up the route of a request and the customer of an API key in the
 * forwarding table in force.
 */
import {
  type CallerLimits,
  type ForwardingCustomer,
  type ForwardingRoute,
  type ForwardingService,
  type ForwardingTable,
  RequestKind,
} from "./forwarding_table.ts";
import { listCombinedPriorities } from "./request_priority.ts";

export interface ServiceObjectives {
  readonly firstEventMs: number | undefined;
  readonly callMs: number | undefined;
}

export interface RouteTable {
  readonly revision: number;
  readonly limits: CallerLimits;
  /** Whether requests on routes that are not public need an API key. */
  readonly requiresApiKey: boolean;
  /** Returns the route with the longest prefix that matches the path. */
  findRoute(host: string, path: string): ForwardingRoute | undefined;
  findCustomer(apiKey: string): ForwardingCustomer | undefined;
  getService(name: string): ForwardingService | undefined;
  /** Whether the streaming routes to the service differ in priority. */
  hasRankedStreams(service: string): boolean;
  /**
   * The different priorities of streams of the service, the most urgent first;
   * see `combinePriorities`. Empty if its routes do not differ.
   */
  getStreamPriorities(service: string): readonly number[];
  /**
   * The shortest objective of the most urgent streaming routes to the service;
   * undefined without streaming routes.
   */
  getUrgentObjectiveMs(service: string): number | undefined;
  /** The strictest objectives of the routes to the service. */
  getObjectives(service: string): ServiceObjectives;
  /** The only service whose upstreams are model engines, if there is one. */
  readonly soleEngineService: string | undefined;
}

export function createRouteTable(
  table: ForwardingTable,
  revision: number,
): RouteTable {
  const routes = new Map<string, ForwardingRoute>();
  for (const route of table.routes) {
    routes.set(getRouteKey(route.host.toLowerCase(), route.pathPrefix), route);
  }
  const customers = new Map<string, ForwardingCustomer>();
  for (const customer of table.customers) {
    for (const key of customer.apiKeys) customers.set(key, customer);
  }
  const engineServices = table.services.filter(({ engine }) => engine !== null);
  const services = new Map(table.services.map((entry) => [entry.name, entry]));
  const objectives = listObjectives(table);
  const routePriorities = listStreamingRoutePriorities(table);
  const streamPriorities = new Map(
    [...routePriorities].filter(([, { length }]) => length > 1).map((
      [service, priorities],
    ) => [service, listCombinedPriorities(table, priorities)]),
  );
  const urgentObjectives = findUrgentObjectives(table, routePriorities);
  return {
    revision,
    limits: table.limits,
    requiresApiKey: table.customers.length > 0,
    findRoute,
    findCustomer: (apiKey) => customers.get(apiKey),
    getService: (name) => services.get(name),
    hasRankedStreams: (service) => streamPriorities.has(service),
    getStreamPriorities: (service) => streamPriorities.get(service) ?? [],
    getUrgentObjectiveMs: (service) => urgentObjectives.get(service),
    getObjectives: (service) => objectives.get(service) ?? noObjectives,
    soleEngineService: engineServices.length === 1
      ? engineServices[0]!.name
      : undefined,
  };

  function findRoute(host: string, path: string): ForwardingRoute | undefined {
    const hostName = getHostName(host);
    const queryStart = path.indexOf("?");
    const end = queryStart < 0 ? path.length : queryStart;
    let slash = path.lastIndexOf("/", end - 1);
    while (slash >= 0) {
      const prefix = path.slice(0, slash + 1);
      const route = routes.get(getRouteKey(hostName, prefix));
      if (route) return route;
      if (slash === 0) return undefined;
      slash = path.lastIndexOf("/", slash - 1);
    }
    return undefined;
  }
}

const noObjectives: ServiceObjectives = {
  firstEventMs: undefined,
  callMs: undefined,
};

function listObjectives(
  { routes }: ForwardingTable,
): Map<string, ServiceObjectives> {
  const byService = new Map<string, ServiceObjectives>();
  for (const { kind, targets, objectiveMs } of routes) {
    if (objectiveMs <= 0) continue;
    const field = kind === RequestKind.Streaming ? "firstEventMs" : "callMs";
    for (const { service } of targets) {
      const known = byService.get(service) ?? noObjectives;
      byService.set(service, {
        ...known,
        [field]: Math.min(known[field] ?? Infinity, objectiveMs),
      });
    }
  }
  return byService;
}

function listStreamingRoutePriorities(
  { routes }: ForwardingTable,
): Map<string, number[]> {
  const byService = new Map<string, Set<number>>();
  for (const { kind, targets, priority } of routes) {
    if (kind !== RequestKind.Streaming) continue;
    for (const { service } of targets) {
      const priorities = byService.get(service) ?? new Set();
      byService.set(service, priorities.add(priority));
    }
  }
  return new Map(
    [...byService].map(([service, priorities]) => [
      service,
      [...priorities].sort((left, right) => left - right),
    ]),
  );
}

function findUrgentObjectives(
  { routes }: ForwardingTable,
  routePriorities: ReadonlyMap<string, readonly number[]>,
): Map<string, number> {
  const objectives = new Map<string, number>();
  for (const { kind, targets, priority, objectiveMs } of routes) {
    if (kind !== RequestKind.Streaming) continue;
    for (const { service } of targets) {
      if (priority !== routePriorities.get(service)![0]) continue;
      const shortest = objectives.get(service) ?? Infinity;
      objectives.set(service, Math.min(shortest, objectiveMs));
    }
  }
  return objectives;
}

function getRouteKey(host: string, pathPrefix: string): string {
  return `${host}\0${pathPrefix}`;
}

/** Returns the host without its port, in lower case. */
export function getHostName(host: string): string {
  const lower = host.toLowerCase();
  const port = lower.lastIndexOf(":");
  const isPort = port > 0 && !lower.endsWith("]");
  return isPort ? lower.slice(0, port) : lower;
}
