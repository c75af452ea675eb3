/**
 * Settings of instances that a measurement or the soak starts. Each instance
 * has a loopback address of its own, since instances are identified by their
 * address; all of 127.0.0.0/8 can be used locally.
 */
import { setTimeout as sleep } from "node:timers/promises";

export const forwardingPorts = {
  peer: 7200,
  operators: 7201,
  callers: 7202,
  readiness: 7203,
  metrics: 7204,
} as const;

export interface InstancePlan {
  readonly name: string;
  readonly role: "entry" | "control";
  readonly host: string;
  readonly domainId: string;
  readonly controlHosts: readonly string[];
  readonly isFirstStart: boolean;
  /** Used by control instances only. */
  readonly dataFolder: string;
  readonly toleratedLosses: number;
  readonly upstreamList: string;
}

const keyHex = "5a".repeat(16);
const pollIntervalMs = 2;

export function createForwardingSettings(
  plan: InstancePlan,
): Record<string, unknown> {
  const { host } = plan;
  const isEntry = plan.role === "entry";
  return {
    role: plan.role,
    instanceName: plan.name,
    host,
    domainId: plan.domainId,
    peerPort: forwardingPorts.peer,
    peerKeys: [{ keyId: "measure", keyHex }],
    seeds: plan.controlHosts.map((seed) =>
      `${seed}:${forwardingPorts.operators}`
    ),
    isFirstStart: plan.isFirstStart,
    callers: isEntry ? `${host}:${forwardingPorts.callers}` : null,
    readiness: isEntry ? `${host}:${forwardingPorts.readiness}` : null,
    operators: isEntry ? null : `${host}:${forwardingPorts.operators}`,
    metricsPort: forwardingPorts.metrics,
    dataFolder: isEntry ? null : plan.dataFolder,
    toleratedLosses: plan.toleratedLosses,
    upstreamList: { address: plan.upstreamList },
    bounds: { retryRatio: 0.8, retrySlack: 150 },
  };
}

/** Polls the URL until it answers with success; throws after the timeout. */
export async function waitUntilOk(
  url: string,
  timeoutMs: number,
): Promise<void> {
  const deadlineAtMs = performance.now() + timeoutMs;
  while (performance.now() < deadlineAtMs) {
    try {
      const response = await fetch(url, {
        signal: AbortSignal.timeout(timeoutMs),
      });
      if (response.ok) return;
    } catch {
      // The instance does not listen yet.
    }
    await sleep(pollIntervalMs);
  }
  throw new Error(`${url} did not answer with success in ${timeoutMs} ms`);
}
