/**
 * Crashes of engines by a prompt part, beside crashes for other reasons, against
 * the decisions.
 */
import fc from "fast-check";
import { expect, test } from "vitest";
import {
  type Crash,
  type CrashEvidence,
  decideAfterCrash,
  decideOnSuspect,
  findCrashingParts,
  listSuspectedParts,
  listSuspectedRequests,
  PartStatus,
  type SoundRuns,
} from "./crash_decisions.ts";
import type { PartKey } from "./quarantine_types.ts";

const service = "model";
let nextEngine = 1;

interface CrashOptions {
  readonly domainId?: string;
  /** The parts of each request that may have just started. */
  readonly parts: readonly (readonly string[])[];
  readonly requests?: readonly string[];
}

function crash(atMs: number, options: CrashOptions): Crash {
  return {
    service,
    upstreamId: `engine-${nextEngine++}`,
    domainId: options.domainId ?? "domain-a",
    atMs,
    suspects: options.parts.map((partIds, index) => ({
      requestKey: options.requests?.[index] ?? `request-${atMs}-${index}`,
      partIds,
    })),
  };
}

function evidence(
  crashes: readonly Crash[],
  { sound = {}, status = {} }: {
    sound?: Readonly<Record<string, SoundRuns>>;
    status?: Readonly<Record<string, PartStatus>>;
  } = {},
): CrashEvidence {
  return {
    crashes,
    getSoundRuns: ([, partId]: PartKey) => sound[partId],
    getStatus: ([, partId]: PartKey) => status[partId] ?? PartStatus.Unknown,
  };
}

function find(
  ...[crashes, options, nowMs = 10_000]: [
    Parameters<typeof evidence>[0],
    Parameters<typeof evidence>[1]?,
    number?,
  ]
): string[] {
  return findCrashingParts(evidence(crashes, options), nowMs)
    .map(([, partId]) => partId);
}

const deadly = ["shared", "bad"];

test("a part that is present in three crashes of two requests is found", () => {
  const crashes = [
    crash(6_490, { parts: [deadly], requests: ["r-1"] }),
    crash(7_190, { parts: [deadly], requests: ["r-2"] }),
    crash(7_410, { parts: [deadly], requests: ["r-1"], domainId: "domain-b" }),
  ];
  expect(find(crashes, {}, 7_500)).toEqual([]);
  expect(find(crashes, {}, 8_100)).toEqual(["bad"]);
  expect(find(crashes.slice(0, 2))).toEqual([]);
});

test("a request that crashes engines on its own stands for itself until another one does", () => {
  const own = [6_000, 7_000, 8_000].map((atMs) =>
    crash(atMs, { parts: [deadly], requests: ["r-1"] })
  );
  expect(find(own)).toEqual(["r-1"]);
  expect(find(own.slice(1))).toEqual([]);
  const status = { "r-1": PartStatus.Quarantined };
  expect(find(own, { status })).toEqual([]);
  const next = crash(9_000, { parts: [deadly], requests: ["r-2"] });
  expect(find([...own, next], { status })).toEqual(["bad"]);
});

test("a request of sound parts is a neighbour of those that crash engines", () => {
  const crashes = [6_000, 7_000, 8_000].map((atMs) =>
    crash(atMs, { parts: [["shared"]], requests: ["r-1"] })
  );
  const sound = {
    shared: { lastAtMs: 9_000, ratePerS: 1 },
    "r-1": { lastAtMs: 9_000, ratePerS: 0.1 },
  };
  expect(find(crashes, { sound })).toEqual([]);
});

test("a shared part is cleared by its other runs", () => {
  const crashes = [6_000, 7_000, 8_000, 9_000].map((atMs) =>
    crash(atMs, { parts: [["shared"]] })
  );
  const sound = { shared: { lastAtMs: 8_500, ratePerS: 0.5 } };
  expect(find(crashes, { sound })).toEqual([]);
});

test("engines of a failure domain that crash together count once", () => {
  const burst = (atMs: number, domainId: string) =>
    Array.from(
      { length: 8 },
      (_, index) => crash(atMs + index, { domainId, parts: [["shared"]] }),
    );
  expect(find([...burst(2_000, "domain-a"), ...burst(4_000, "domain-b")]))
    .toEqual([]);
});

test("a part that was sound until now is found once its usual runs are missing", () => {
  const crashes = [2_000, 3_000, 4_000, 5_000].map((atMs) =>
    crash(atMs, { parts: [["shared", "known"]] })
  );
  const sound = (ratePerS: number) => ({
    shared: { lastAtMs: 9_000, ratePerS: 5 },
    known: { lastAtMs: 1_000, ratePerS },
  });
  expect(find(crashes, { sound: sound(0.1) })).toEqual([]);
  expect(find(crashes, { sound: sound(2) })).toEqual(["known"]);
  expect(find(crashes.slice(1), { sound: sound(2) })).toEqual([]);
});

test("a rare part that was sound until now is found by its requests, none of which ran", () => {
  const crashes = [2_000, 3_000, 4_000, 5_000, 6_000].map((atMs) =>
    crash(atMs, { parts: [["shared", "known"]] })
  );
  const sound = {
    shared: { lastAtMs: 9_000, ratePerS: 5 },
    known: { lastAtMs: 1_000, ratePerS: 0.05 },
  };
  expect(find(crashes, { sound })).toEqual(["known"]);
  expect(find(crashes.slice(1), { sound })).toEqual([]);
  const ofFewRequests = crashes.map((entry, index) => ({
    ...entry,
    suspects: [{
      requestKey: `request-${index % 3}`,
      partIds: ["shared", "known"],
    }],
  }));
  expect(find(ofFewRequests, { sound })).toEqual([]);
  expect(find(crashes, { sound }, 7_000)).toEqual(["known"]);
  expect(find(crashes, {
    sound: {
      ...sound,
      known: {
        lastAtMs: 4_500,
        ratePerS: 0.05,
      },
    },
  })).toEqual([]);
});

test("neighbours of requests with a found part are not suspected", () => {
  const crashes = [2_000, 3_000, 4_000].map((atMs) =>
    crash(atMs, { parts: [deadly, ["rare"]] })
  );
  expect(find(crashes)).toEqual(["bad"]);
  const status = { bad: PartStatus.Quarantined };
  expect(find(crashes, { status })).toEqual([]);
  expect(listSuspectedParts(evidence(crashes, { status }), 10)).toEqual([]);
});

test("two crashing parts are found beside each other", () => {
  const crashes = [2_000, 3_000, 4_000].flatMap((atMs) => [
    crash(atMs, { parts: [["shared", "bad-1"]] }),
    crash(atMs + 500, { parts: [["shared", "bad-2"]] }),
  ]);
  expect(find(crashes).sort()).toEqual(["bad-1", "bad-2"]);
});

test("a part that was released takes fewer crashes", () => {
  const crashes = [9_000, 9_500].map((atMs) =>
    crash(atMs, { parts: [deadly], requests: ["r-1"] })
  );
  const status = { bad: PartStatus.Released };
  expect(find(crashes, { status })).toEqual(["bad"]);
  expect(find(crashes.slice(1), { status })).toEqual([]);
});

test("a request of sound parts is resumed after each crash, another one thrice at most", () => {
  const decide = (crashCount: number, isOfSoundParts: boolean) =>
    decideAfterCrash({ crashCount, isOfSoundParts }).kind;
  expect([1, 2, 3].map((count) => decide(count, true)))
    .toEqual(["resume", "resume", "resume"]);
  expect([1, 2, 3].map((count) => decide(count, false)))
    .toEqual(["resume", "delay", "stop"]);
});

const badCall = "request:bad";

function crashOfCalls(
  atMs: number,
  calls: readonly string[],
  { domainId = "domain-a", upstreamId }: {
    domainId?: string;
    upstreamId?: string;
  } = {},
): Crash {
  const made = crash(atMs, {
    domainId,
    parts: calls.map(() => []),
    requests: calls,
  });
  return upstreamId === undefined ? made : { ...made, upstreamId };
}

/** Crashes a second or more apart, each with sound calls beside the bad one. */
const crashesOfBadCall = fc.array(
  fc.record({
    gapMs: fc.integer({ min: 1_000, max: 6_000 }),
    neighbours: fc.array(fc.nat(30).map((id) => `request:${id}`), {
      maxLength: 6,
    }),
    domain: fc.nat(2),
  }),
  { maxLength: 8 },
).map((steps) => {
  let atMs = 0;
  return steps.map(({ gapMs, neighbours, domain }) => {
    atMs += gapMs;
    return crashOfCalls(atMs, [badCall, ...neighbours], {
      domainId: `domain-${domain}`,
    });
  });
});

test("of calls that crashes ended, the one that never runs is found after three", () => {
  fc.assert(fc.property(crashesOfBadCall, (crashes) => {
    const nowMs = (crashes.at(-1)?.atMs ?? 0) + 2_000;
    // Each sound call, or its repetition, runs elsewhere.
    const sound = Object.fromEntries(
      crashes.flatMap(({ suspects }) => suspects)
        .filter(({ requestKey }) => requestKey !== badCall)
        .map((
          { requestKey },
        ) => [requestKey, { lastAtMs: nowMs, ratePerS: 1 }]),
    );
    expect(find(crashes, { sound }, nowMs))
      .toEqual(crashes.length >= 3 ? [badCall] : []);
    const suspected = listSuspectedRequests(
      evidence(crashes, { sound }),
      nowMs,
      100,
    );
    for (const { key: [, requestKey], crashCount } of suspected) {
      expect(crashCount).toBe(requestKey === badCall ? crashes.length : 0);
    }
  }));
});

test("calls that are present in fewer than three separate crashes are not found", () => {
  fc.assert(fc.property(crashesOfBadCall, (crashes) => {
    // A call that is not repeated is present in one crash only.
    const unrepeated = crashes.map((entry, index) => ({
      ...entry,
      suspects: entry.suspects.map((suspect) => ({
        ...suspect,
        requestKey: `${suspect.requestKey}-${index}`,
      })),
    }));
    expect(find(unrepeated, {}, 100_000)).toEqual([]);
    // A failure domain that ends at one moment counts once.
    const joint = crashes.slice(0, 2).flatMap((entry) =>
      [0, 10, 20].map((offsetMs) => ({
        ...entry,
        upstreamId: `${entry.upstreamId}-${offsetMs}`,
        atMs: entry.atMs + offsetMs,
      }))
    );
    expect(find(joint, {}, 100_000)).toEqual([]);
  }));
});

test("a call that was present in crashes of a single upstream needs five of them", () => {
  const crashes = [1_000, 3_000, 5_000, 7_000, 9_000].map((atMs) =>
    crashOfCalls(atMs, [badCall], { upstreamId: "engine-a" })
  );
  expect(find(crashes.slice(1), {}, 20_000)).toEqual([]);
  expect(find(crashes, {}, 20_000)).toEqual([badCall]);
});

interface SentCrash {
  readonly atMs: number;
  readonly sentBeforeMs: number;
  readonly reporterId?: string;
}

/** Crashes of upstreams in domains of their own, each with one equal request. */
function crashesOfSent(sent: readonly SentCrash[]): Crash[] {
  return sent.map(({ atMs, sentBeforeMs, reporterId }, index) => ({
    service,
    upstreamId: `upstream-${index}`,
    domainId: `domain-${index}`,
    atMs,
    suspects: [{
      requestKey: badCall,
      partIds: [],
      sentBeforeMs,
      ...(reporterId === undefined ? {} : { reporterId }),
    }],
  }));
}

function countCrashes(crashes: readonly Crash[]): number | undefined {
  return listSuspectedRequests(evidence(crashes), 10_000, 10)[0]?.crashCount;
}

// Guards against refusing sound requests when several upstreams are lost at one
// moment: equal ones were at all of them.
test("upstreams that are lost at one moment are one crash for the requests at them", () => {
  const lostTogether = crashesOfSent(
    [0, 3, 40, 70, 180].map((offsetMs) => ({
      atMs: 5_000 + offsetMs,
      sentBeforeMs: 200 + offsetMs,
    })),
  );
  expect(countCrashes(lostTogether)).toBe(1);
  expect(find(lostTogether)).toEqual([]);
  const lostTwice = [
    ...lostTogether,
    ...lostTogether.map((entry) => ({
      ...entry,
      upstreamId: `${entry.upstreamId}-later`,
      atMs: entry.atMs + 2_200,
    })),
  ];
  expect(countCrashes(lostTwice)).toBe(2);
  expect(find(lostTwice)).toEqual([]);
});

test("a shared part is not found when all domains are lost twice", () => {
  const crashes = [4_000, 6_200].flatMap((atMs) =>
    [0, 1, 2, 3].map((index) =>
      crash(atMs + 30 * index, {
        domainId: `domain-${index}`,
        parts: [["shared"]],
      })
    )
  );
  expect(find(crashes)).toEqual([]);
});

test("each crash after which a request was sent again is a further one", () => {
  const crashes = crashesOfSent([
    { atMs: 5_000, sentBeforeMs: 10 },
    { atMs: 5_012, sentBeforeMs: 10 },
    { atMs: 5_400, sentBeforeMs: 15 },
  ]);
  expect(countCrashes(crashes)).toBe(3);
  expect(find(crashes, {}, 5_850)).toEqual([]);
  expect(find(crashes, {}, 6_600)).toEqual([badCall]);
});

test("times that two instances reported are compared with their skew", () => {
  const report = (sentBeforeMs: number) =>
    crashesOfSent([
      { atMs: 5_000, sentBeforeMs: 60, reporterId: "entry-1" },
      { atMs: 5_070, sentBeforeMs, reporterId: "entry-2" },
    ]);
  expect(countCrashes(report(60))).toBe(1);
  expect(countCrashes(report(15))).toBe(2);
});

test("a quarantined call explains its crashes", () => {
  const crashes = [1_000, 3_000, 5_000].map((atMs) =>
    crashOfCalls(atMs, [badCall, "request:1"])
  );
  const status = { [badCall]: PartStatus.Quarantined };
  expect(find(crashes, { status })).toEqual([]);
  expect(listSuspectedRequests(evidence(crashes, { status }), 10_000, 10))
    .toEqual([]);
});

test("a request is held back after two crashes, until the upstreams are back", () => {
  fc.assert(fc.property(
    fc.nat(10),
    fc.nat(20_000),
    (crashCount, sinceLastCrashMs) => {
      const decision = decideOnSuspect({ crashCount, sinceLastCrashMs });
      if (crashCount < 2 || sinceLastCrashMs >= 5_000) {
        expect(decision).toEqual({ kind: "send" });
      } else {
        expect(decision).toEqual({
          kind: "hold",
          waitMs: 5_000 - sinceLastCrashMs,
          isCrashing: crashCount >= 3,
        });
      }
    },
  ));
});
