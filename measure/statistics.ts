/**
 * Helpers for the figures of a measurement: sums, percentiles, and token totals
 * read from the instances.
 */
import type { Cluster } from "./launcher.ts";

export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

export function getPercentile(
  values: readonly number[],
  quantile: number,
): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.ceil(quantile * sorted.length) - 1;
  return sorted[Math.max(0, index)]!;
}

interface InstanceStatus {
  readonly answers: {
    readonly droppedTokens: number;
    readonly refilledTokens: number;
  };
}

/** Reads JSON from a process; returns the fallback if it does not answer. */
export async function readJson<T>(
  url: string,
  fallback: T,
  headers: Record<string, string> = {},
): Promise<T> {
  try {
    const signal = AbortSignal.timeout(1_000);
    const response = await fetch(url, { headers, signal });
    return await response.json() as T;
  } catch {
    return fallback;
  }
}

/** Sums the token counts of all instances that still run. */
export async function getTokenTotals(cluster: Cluster) {
  const headers = { authorization: `Bearer ${cluster.operatorToken}` };
  const statuses = await Promise.all(
    cluster.instances.map(({ callerUrl }) =>
      readJson<InstanceStatus | undefined>(
        `${callerUrl}/admin/status`,
        undefined,
        headers,
      )
    ),
  );
  const answers = statuses.flatMap((status) => status ? [status.answers] : []);
  return {
    droppedTokens: sum(answers.map((entry) => entry.droppedTokens)),
    refilledTokens: sum(answers.map((entry) => entry.refilledTokens)),
  };
}
