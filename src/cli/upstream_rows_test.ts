/**
 * Tests which state the operators' tool shows for an upstream.
 */
import { expect, test } from "vitest";
import { formatUpstreams } from "./upstream_rows.ts";

const upstream = {
  upstreamId: "worker-andina-a-0",
  kind: "engine",
  service: "model",
  version: "v1",
  domainId: "andina-a",
  state: "live",
  inFlightCount: 3,
  isLeavingReported: false,
  isMarkedLeaving: false,
};

test("an upstream is shown as leaving whichever way the word arrived", () => {
  const states = formatUpstreams([
    upstream,
    { ...upstream, isMarkedLeaving: true },
    { ...upstream, isLeavingReported: true },
    { ...upstream, state: "leaving" },
  ]).map((row) => row[5]);
  expect(states).toEqual(["live", "leaving", "leaving", "leaving"]);
});
