/**
 * The operator of a soak: submits valid and invalid configurations, one after
 * the other or concurrently, reads the configuration in force, and starts
 * version moves.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "../../src/core/random.ts";
import {
  appService,
  customerName,
  modelService,
  type SoakRecord,
} from "./soak_types.ts";

export interface SoakOperator {
  /** Retries until the configuration is answered or a timeout has passed. */
  submitConfiguration(): Promise<void>;
  /** Submits two configurations at once, each to a random control instance. */
  submitConcurrently(): Promise<void>;
  submitInvalid(): Promise<void>;
  readConfiguration(isFinal: boolean): Promise<void>;
  move(
    target: string,
    durationS: number,
  ): Promise<void>;
  /** Returns the state of the latest move, or "" without an answer in time. */
  readMove(): Promise<string>;
}

export const soakHost = "soak.example";
export const soakApiKey = "key-of-the-clinic";

const requestTimeoutMs = 1_500;
const retryTimeoutMs = 12_000;
const retryDelayMs = 200;
const attemptCount = 3;

export function createSoakOperator(
  { random, record, operatorUrls, isRanked = false }: {
    readonly random: Random;
    /** Whether the streaming routes differ in priority. */
    readonly isRanked?: boolean;
    readonly record: SoakRecord;
    readonly operatorUrls: readonly string[];
  },
): SoakOperator {
  let nextNumber = 1;
  return {
    submitConfiguration: () => putConfiguration(allocateNumber(), true),
    submitConcurrently: async () => {
      await Promise.all([
        putConfiguration(allocateNumber(), true),
        putConfiguration(allocateNumber(), true),
      ]);
    },
    submitInvalid: () => putConfiguration(allocateNumber(), false),
    readConfiguration,
    move: async (target, durationS) => {
      await requestUntilAnswered(
        "/rollouts",
        {
          method: "POST",
          body: JSON.stringify({
            service: appService,
            target,
            duration_s: durationS,
          }),
        },
      );
    },
    readMove: async () => {
      const answer = await requestUntilAnswered(`/rollouts/${appService}`, {});
      return answer?.status === 200
        ? (JSON.parse(answer.text) as { state: string }).state
        : "";
    },
  };

  function allocateNumber(): number {
    nextNumber += 1 + random.nextInt(3);
    return nextNumber;
  }

  async function putConfiguration(
    number: number,
    isValid: boolean,
  ): Promise<void> {
    const sentAtMs = performance.now();
    const body = JSON.stringify(
      createConfigurationDocument(number, { isValid, isRanked }),
    );
    const answer = await requestUntilAnswered("/config", {
      method: "PUT",
      body,
    });
    record.submissions.push({
      number,
      isValid,
      sentAtMs,
      endedAtMs: performance.now(),
      status: answer?.status ?? 0,
    });
  }

  async function readConfiguration(isFinal: boolean): Promise<void> {
    const sentAtMs = performance.now();
    const answer = isFinal
      ? await requestUntilAnswered("/config", {})
      : await requestOnce("/config", {});
    const number = answer?.status === 200
      ? (JSON.parse(answer.text) as { version: number }).version
      : 0;
    record.reads.push({
      sentAtMs,
      status: answer?.status ?? 0,
      number,
      isFinal,
    });
  }

  async function requestUntilAnswered(path: string, init: RequestInit) {
    const deadlineAtMs = performance.now() + retryTimeoutMs;
    while (performance.now() < deadlineAtMs) {
      const answer = await requestOnce(path, init);
      if (answer && answer.status < 500) return answer;
      await sleep(retryDelayMs);
    }
    return undefined;
  }

  async function requestOnce(path: string, init: RequestInit) {
    const url = operatorUrls[random.nextInt(operatorUrls.length)]! + path;
    try {
      const response = await fetch(url, {
        ...init,
        signal: AbortSignal.timeout(requestTimeoutMs),
      });
      return { status: response.status, text: await response.text() };
    } catch {
      return undefined; // the instance is down or paused, or knows no leader
    }
  }
}

function createConfigurationDocument(
  number: number,
  { isValid, isRanked }: {
    readonly isValid: boolean;
    readonly isRanked: boolean;
  },
) {
  const route = (
    name: string,
    kind: string,
    service: string,
    priority = 1,
  ) => ({
    name,
    host: soakHost,
    path_prefix: `/${name}/`,
    kind,
    timeout_ms: kind === "streaming" ? 12_000 : 2_000,
    slo_ms: 500,
    priority,
    service,
    attempts: attemptCount,
    public: false,
    resumable: kind === "streaming",
  });
  return {
    version: number,
    routes: [
      route("safe", "safe", appService),
      route("unsafe", "unsafe", isValid ? appService : "unknown"),
      route("gen", "streaming", modelService),
      ...(isRanked ? [route("urgent", "streaming", modelService, 0)] : []),
      route(`idle-${number}`, "safe", appService),
    ],
    services: [
      { name: appService, health_path: "/healthz" },
      {
        name: modelService,
        health_path: "/healthz",
        engine: {
          slots: 8,
          kv_tokens: 88_000,
          kv_token_bytes: 1_000,
          link_mbps: 10_000,
          moves: true,
          backups: true,
          handle_s: 4,
        },
      },
    ],
    limits: {},
    tenants: [{ name: customerName, api_keys: [soakApiKey] }],
  };
}
