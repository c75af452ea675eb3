/**
 * Settings of instances that a measurement or the soak starts. Each instance
 * has a loopback address of its own, since it is known by its address; the
 * whole loopback network is local.
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
  /** Control instances have one. */
  readonly dataFolder: string;
  readonly toleratedLosses: number;
  readonly upstreamList: string;
}

const keyHex = "5a".repeat(16);
const pollMs = 2;

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

/** Rejects when the address gives no success in time. */
export async function waitUntilOk(
  url: string,
  timeoutMs: number,
): Promise<void> {
  const endsAtMs = performance.now() + timeoutMs;
  while (performance.now() < endsAtMs) {
    try {
      const response = await fetch(url, {
        signal: AbortSignal.timeout(timeoutMs),
      });
      if (response.ok) return;
    } catch {
      // It does not listen yet.
    }
    await sleep(pollMs);
  }
  throw new Error(`${url} gave no success within ${timeoutMs} ms`);
}
