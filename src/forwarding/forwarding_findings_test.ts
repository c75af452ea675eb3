/**
 * Guards against warnings about routes that requests do reach, and against
 * missing ones for entries without effect.
 */
import fc from "fast-check";
import { expect, test } from "vitest";
import { createTestTable } from "../../measure/forwarding_fakes.ts";
import { findTableWarnings } from "./forwarding_findings.ts";
import { type ForwardingTable, RequestKind } from "./forwarding_table.ts";
import { createRouteTable } from "./route_table.ts";

const table = createTestTable();
const hosts = ["a.example", "A.example", "a.example:80", "[::1]", "[::1]:80"];
const prefixes = ["/", "/x/", "/x/y/", "/x?y/", "/x y/"];

test("a route is reported as never matching exactly if no request reaches it", () => {
  const route = fc.record({
    host: fc.constantFrom(...hosts),
    pathPrefix: fc.constantFrom(...prefixes),
  });
  const routes = fc.uniqueArray(route, {
    minLength: 1,
    maxLength: 6,
    selector: ({ host, pathPrefix }) => host.toLowerCase() + pathPrefix,
  });
  // A request target has no white space.
  const paths = prefixes.filter((prefix) => !prefix.includes(" "))
    .flatMap((prefix) => [prefix, `${prefix}1?q=/x/`]);
  fc.assert(fc.property(routes, (listed) => {
    const changed = {
      ...table,
      routes: listed.map((entry) => ({ ...table.routes[0]!, ...entry })),
    };
    const { findRoute } = createRouteTable(changed, 1);
    const reached = new Set(
      hosts.flatMap((host) => paths.map((path) => findRoute(host, path))),
    );
    const reported = findTableWarnings(changed)
      .filter(({ message }) => message.startsWith("never matches"))
      .map(({ path }) => path.split(".")[1]);
    changed.routes.forEach((entry, index) => {
      expect(reported.includes(String(index))).toBe(!reached.has(entry));
    });
  }));
});

const route = table.routes[0]!;
const streaming = { kind: RequestKind.Streaming, isResumable: true };

test.each<[string, Partial<ForwardingTable>, string[]]>([
  ["a valid table", {}, []],
  ["a timeout under the objective", {
    routes: [{ ...route, objectiveMs: 2_001 }],
  }, ["routes.0.timeoutMs"]],
  ["a timeout equal to the objective", {
    routes: [{ ...route, objectiveMs: 2_000 }],
  }, []],
  ["attempts of an unsafe route", {
    routes: [{ ...route, kind: RequestKind.Unsafe }],
  }, ["routes.0.maxAttempts"]],
  ["attempts of a stream that is not resumable", {
    routes: [{ ...route, kind: RequestKind.Streaming }],
  }, ["routes.0.maxAttempts"]],
  ["a resumable stream with one attempt", {
    routes: [{ ...route, ...streaming, maxAttempts: 1 }],
  }, ["routes.0.maxAttempts"]],
  ["a resumable call with a gap limit", {
    routes: [{ ...route, isResumable: true, maxEventGapMs: 700 }],
  }, ["routes.0.maxEventGapMs", "routes.0.isResumable"]],
  ["a gap limit above the timeout", {
    routes: [{ ...route, ...streaming, maxEventGapMs: 2_001 }],
  }, ["routes.0.maxEventGapMs"]],
  ["an unused service", {
    services: [...table.services, { ...table.services[0]!, name: "spare" }],
  }, ["services.1.name"]],
  ["a service whose only targets have no weight", {
    services: [...table.services, { ...table.services[0]!, name: "spare" }],
    routes: [{
      ...route,
      targets: [
        ...route.targets,
        { ...route.targets[0]!, service: "spare", weight: 0 },
      ],
    }],
  }, ["services.1.name"]],
  ["customers without keys and with a repeated key", {
    customers: [[], ["k", "k"]].map((apiKeys, index) => ({
      customerId: `c${index}`,
      apiKeys,
      priority: null,
    })),
  }, ["customers.0.apiKeys", "customers.1.apiKeys"]],
  ["more header bytes than are parsed", {
    limits: { ...table.limits, maxHeaderBytes: 65_537 },
  }, ["limits.maxHeaderBytes"]],
])("%s has the expected warnings", (_name, changes, paths) => {
  const warnings = findTableWarnings({ ...table, ...changes });
  expect(warnings.map(({ path }) => path)).toEqual(paths);
});

test("more slots than connections are reported", () => {
  const engine = {
    maxRunning: 101,
    memoryTokens: 1,
    tokenBytes: 0,
    linkMbps: 0,
    canMove: false,
    canBackUp: false,
    tokensPerEvent: 1,
    copyTtlMs: 0,
  };
  const paths = [100, 101].map((maxRunning) =>
    findTableWarnings(createTestTable({}, { ...engine, maxRunning }))
      .map(({ path }) => path)
  );
  expect(paths).toEqual([[], ["services.0.engine.maxRunning"]]);
});
