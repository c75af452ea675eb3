import { expect, test } from "vitest";
import { createSystemClock } from "../core/clock.ts";
import { createSilentLogger } from "../core/logger.ts";
import { createRandom } from "../core/random.ts";
import type { ListedUpstream } from "../upstreams/upstream_view.ts";
import { createUpstreamDirectory } from "./upstream_directory.ts";

function createListed(version: string, versionShare: number): ListedUpstream {
  return {
    upstreamId: `i-${version}`,
    service: "app",
    host: "10.0.0.1",
    port: 80,
    domainId: "domain-a",
    version,
    maxRunning: 6,
    isLeaving: false,
    isCold: false,
    versionShare,
  };
}

function countCandidateChoices(
  listed: readonly ListedUpstream[],
  canRouteToCandidates: boolean,
): number {
  const directory = createUpstreamDirectory({
    clock: createSystemClock(),
    logger: createSilentLogger(),
    random: createRandom(5),
    onUpstreamLost: () => {},
    canRouteToCandidates: () => canRouteToCandidates,
  });
  directory.update(listed);
  return Array.from({ length: 2_000 }, () => directory.listUsable("app"))
    .filter((usable) => usable.some(({ info }) => info.version === "v2"))
    .length;
}

test("a candidate version gets its share of the requests", () => {
  const listed = [createListed("v1", 1), createListed("v2", 0.1)];
  const count = countCandidateChoices(listed, true);
  expect(count).toBeGreaterThan(140);
  expect(count).toBeLessThan(260);
});

test("a candidate version gets no requests without recent updates from control", () => {
  const listed = [createListed("v1", 1), createListed("v2", 0.1)];
  expect(countCandidateChoices(listed, false)).toBe(0);
});

test("a version that was rolled back gets no requests", () => {
  const listed = [createListed("v1", 1), createListed("v2", 0)];
  expect(countCandidateChoices(listed, true)).toBe(0);
});
