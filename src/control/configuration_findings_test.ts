/**
 * Guards against a configuration check that disagrees with the service: a
 * document without errors that is rejected, or one with errors that is accepted.
 */
import fc from "fast-check";
import { expect, test } from "vitest";
import { createTestTable } from "../../measure/forwarding_fakes.ts";
import { RequestKind } from "../forwarding/forwarding_table.ts";
import { applyChanges, getEmptyConfiguration } from "./configuration.ts";
import {
  checkDocument,
  findWarnings,
  Severity,
} from "./configuration_findings.ts";
import {
  listFieldDifferences,
  listObjectDifferences,
} from "./configuration_differences.ts";
import { parseTicket, type Ticket } from "./ticket.ts";
import { createTicketTable } from "./ticket_table.ts";

const atWallMs = Date.parse("2027-01-01T00:00:00Z");
const name = fc.constantFrom("a", "b");
const version = fc.constantFrom("v1", "v2");
const table = createTestTable();
const other = { customerId: "other", apiKeys: ["key-1"], priority: null };

function mapOf<T>(state: fc.Arbitrary<T>) {
  return fc.dictionary(name, fc.option(state, { freq: 4 }), { maxKeys: 2 });
}

const ticket = fc.record({
  number: fc.constantFrom(7, 7, 7, 0),
  services: mapOf(fc.oneof(
    fc.constant({ kind: "model" }),
    fc.constant({
      kind: "application",
      routes: [{ method: "GET", pathPrefix: "/", idempotent: true }],
    }),
    fc.constant({ kind: "application", routes: [] }),
  )),
  versions: mapOf(fc.oneof(
    fc.record({
      kind: fc.constant("stable"),
      stableVersion: version,
      candidateVersion: fc.option(version),
    }),
    fc.record({
      kind: fc.constant("weighted"),
      weights: fc.record({ v1: fc.nat(1) }),
    }),
  )),
  rollouts: mapOf(fc.record({
    candidateVersion: version,
    targetDate: fc.constantFrom(
      "2026-12-31T00:00:00Z",
      "2027-02-01T00:00:00Z",
      "soon",
    ),
  })),
  retryBudgets: mapOf(fc.record({ retryBudgetRatio: fc.constant(0.1) })),
  limits: mapOf(fc.constantFrom({ weight: 1 }, { weight: 0 }, { wieght: 1 })),
  forwarding: mapOf(fc.constantFrom<unknown>(
    table,
    { ...table, services: [] },
    { ...table, customers: [...table.customers, other] },
    { ...table, routes: [table.routes[0], table.routes[0]] },
  )),
}, { requiredKeys: ["number"] });

/** Bases against which some of the tickets are valid. */
const bases = [
  getEmptyConfiguration(),
  applyChanges(
    getEmptyConfiguration(),
    parseTicket({
      number: 1,
      services: { a: { kind: "model" }, b: { kind: "model" } },
      versions: {
        a: { kind: "stable", stableVersion: "v1", candidateVersion: "v2" },
        b: { kind: "stable", stableVersion: "v1" },
      },
    })._unsafeUnwrap(),
    0,
  ),
];

function hasErrors(value: unknown, current: typeof bases[0] | undefined) {
  return checkDocument(value, { current, atWallMs }).findings
    .some(({ severity }) => severity === Severity.Error);
}

test("the check has errors exactly for the tickets that the service rejects", () => {
  const seen = new Set<string>();
  fc.assert(
    fc.property(ticket, fc.constantFrom(...bases), (value, initial) => {
      const result = createTicketTable().submit({
        ticket: value,
        initial,
        atWallMs,
      });
      seen.add(result.status);
      expect(hasErrors(value, initial)).toBe(result.status === "invalid");
      // Without the configuration in force, fewer errors can be certain.
      if (result.status === "accepted") {
        expect(hasErrors(value, undefined)).toBe(false);
      }
    }),
    { numRuns: 2_000 },
  );
  expect([...seen].sort()).toEqual(["accepted", "invalid"]);
});

test("arbitrary JSON is checked without an exception", () => {
  fc.assert(fc.property(fc.jsonValue(), (value) => {
    expect(hasErrors(value, undefined)).toBe(parseTicket(value).isErr());
  }));
});

test.each<[string, Partial<Ticket>, string[]]>([
  ["a valid ticket", { forwarding: { default: table } }, []],
  ["a table that is never served", { forwarding: { spare: table } }, [
    "forwarding.spare",
  ]],
  ["a rate of a customer who may have no answers", {
    limits: { a: { weight: 1, maxOpenAnswers: 0, maxRateTokensPerS: 5 } },
  }, ["limits.a.maxRateTokensPerS"]],
  ["a repeated route of an application", {
    services: {
      a: {
        kind: "application",
        timeoutMs: 10,
        routes: ["/x/", "/", "/x/"].map((pathPrefix) => ({
          method: "GET",
          pathPrefix,
          idempotent: true,
        })),
      },
    },
  }, ["services.a.routes.2"]],
])("%s has the expected warnings", (_name, changes, paths) => {
  const warnings = findWarnings({ number: 1, comment: "", ...changes });
  expect(warnings.map(({ path }) => path)).toEqual(paths);
});

test("differences contain no API keys of added or removed customers", () => {
  const full = { ...getEmptyConfiguration(), forwarding: { default: table } };
  const without = {
    ...full,
    forwarding: { default: { ...table, customers: [] } },
  };
  for (const base of [without, getEmptyConfiguration()]) {
    for (const [before, after] of [[base, full], [full, base]] as const) {
      const text = JSON.stringify(
        listObjectDifferences(before, after, () => ["default"])
          .flatMap(listFieldDifferences),
      );
      expect(text).toContain("clinic");
      expect(text).not.toContain("key-1");
    }
  }
});

test("differences name changed fields, not moved elements, and hide API keys", () => {
  const route = table.routes[0]!;
  const added = { ...route, host: "b.example", kind: RequestKind.Unsafe };
  const next = {
    ...table,
    routes: [added, { ...route, timeoutMs: 9 }],
    customers: [{ ...table.customers[0]!, apiKeys: ["key-9"] }],
  };
  const [before, after] = [table, next].map((state) => ({
    ...getEmptyConfiguration(),
    forwarding: { default: state },
  }));
  const differences = listObjectDifferences(before!, after!, () => ["default"])
    .flatMap(listFieldDifferences);
  expect(differences).toEqual([
    {
      path: "forwarding.default.routes[app.example/app/].timeoutMs",
      before: 2_000,
      after: 9,
    },
    { path: "forwarding.default.routes[b.example/app/]", after: added },
    {
      path: "forwarding.default.customers[clinic].apiKeys",
      before: "1 keys",
      after: "1 keys",
    },
  ]);
});
