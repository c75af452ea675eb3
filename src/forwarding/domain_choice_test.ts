import { expect, test } from "vitest";
import {
  type DomainFigures,
  DomainPlanKind,
  drawDomain,
  getCallHold,
  getLeavingCost,
  getStreamHoldMs,
  planDomains,
  stepShares,
} from "./domain_choice.ts";

function createFigures(
  domainId: string,
  change: Partial<DomainFigures> = {},
): DomainFigures {
  return {
    domainId,
    demandPerS: 10,
    capacityPerS: 20,
    backlogMs: 0,
    serviceMs: 1_000,
    ...change,
  };
}

function plan(domains: readonly DomainFigures[], priceMs = 0) {
  return planDomains({
    homeId: "a",
    domains,
    objectiveMs: 4_000,
    priceMs,
    isLeaving: false,
  });
}

const overloaded = createFigures("a", { demandPerS: 30, backlogMs: 1_500 });

test.each<[string, DomainFigures[], DomainPlanKind]>([
  ["room at home", [createFigures("a"), createFigures("b")], "homeHasRoom"],
  ["an unknown home", [createFigures("b")], "figuresUnknown"],
  ["one domain", [overloaded], "figuresUnknown"],
  ["home overloaded", [overloaded, createFigures("b")], "leave"],
  [
    "home lost",
    [createFigures("a", { capacityPerS: 0 }), createFigures("b")],
    "leave",
  ],
  [
    "all domains full",
    [overloaded, { ...overloaded, domainId: "b" }],
    "nothingGained",
  ],
  [
    "a way out that costs more than home",
    [overloaded, createFigures("b", { backlogMs: 900 })],
    "nothingGained",
  ],
  [
    "home much worse than a domain without room",
    [
      createFigures("a", { backlogMs: 9_000 }),
      createFigures("b", { backlogMs: 1_500 }),
    ],
    "unbalanced",
  ],
] as [string, DomainFigures[], DomainPlanKind][])(
  "%s is recognised",
  (name, domains, kind) => {
    const priceMs = name.startsWith("a way out") ? 2_000 : 0;
    expect(plan(domains, priceMs).kind).toBe(kind);
  },
);

test("no more leaves than what the other domains' own callers leave free", () => {
  const busy = createFigures("b", { demandPerS: 16 });
  const { shares } = plan([overloaded, busy]);
  const sentPerS = shares.get("b")! * 30;
  expect(sentPerS).toBeGreaterThan(0);
  expect(sentPerS).toBeLessThanOrEqual(20 * 0.9 - 16 + 1e-9);
});

test("two overloaded domains do not both use the whole spare capacity", () => {
  const domains = [
    overloaded,
    { ...overloaded, domainId: "b" },
    createFigures("c", { demandPerS: 14 }),
  ];
  const alone = plan([overloaded, domains[2]!]).shares.get("c")!;
  expect(plan(domains).shares.get("c")).toBeCloseTo(alone / 2);
});

test("a wrong plan changes the share by a bounded step per age of the figures", () => {
  const all = new Map([["b", 1]]);
  const limits = { elapsedMs: 60_000, maxShare: 1 };
  const first = stepShares(new Map(), all, limits);
  expect(first.get("b")).toBe(0.25);
  const early = stepShares(new Map(), all, { ...limits, elapsedMs: 75 });
  expect(early.get("b")).toBeCloseTo(0.025);
  expect(stepShares(first, new Map(), limits).size).toBe(0);
  const bounded = stepShares(first, all, { ...limits, maxShare: 0.25 });
  expect(bounded.get("b")).toBe(0.25);
});

test("requests are drawn in proportion to the shares", () => {
  const shares = new Map([["b", 0.2], ["c", 0.3]]);
  expect(drawDomain(shares, 0.19)).toBe("b");
  expect(drawDomain(shares, 0.49)).toBe("c");
  expect(drawDomain(shares, 0.5)).toBeUndefined();
});

test("calls are held by up to one call's time, and not without a known demand", () => {
  expect(getCallHold(createFigures("a"))).toBe(0.5);
  expect(getCallHold(createFigures("a", { demandPerS: 90 }))).toBe(1);
  expect(getCallHold(createFigures("a", { demandPerS: undefined }))).toBe(0);
  expect(getCallHold(createFigures("a", { capacityPerS: 0 }))).toBe(0);
});

test("without load the cost is the constant, exactly", () => {
  for (const kind of Object.values(DomainPlanKind)) {
    expect(getLeavingCost({
      kind,
      constant: 700,
      price: 0,
      isDrawn: false,
      hold: getStreamHoldMs({ backlogMs: 0 }, 4_000),
    })).toBe(700);
  }
});
