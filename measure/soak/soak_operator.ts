/**
 * The operator of a soak: configurations in series, in races and invalid ones,
 * reads of the configuration in force, and version moves.
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
  /** Sends until it is acknowledged or the patience is over. */
  configure(): Promise<void>;
  /** Two configurations at once, to two instances. */
  race(): Promise<void>;
  sendInvalid(): Promise<void>;
  readOnce(isFinal: boolean): Promise<void>;
  move(
    target: string,
    durationS: number,
  ): Promise<void>;
  /** The state of the newest move, or "" without an answer in time. */
  readMove(): Promise<string>;
}

export const soakHost = "soak.example";
export const soakKey = "key-of-the-clinic";

const requestTimeoutMs = 1_500;
const patienceMs = 12_000;
const pauseMs = 200;
const attemptCount = 3;

export function createSoakOperator(
  { random, record, operatorUrls }: {
    readonly random: Random;
    readonly record: SoakRecord;
    readonly operatorUrls: readonly string[];
  },
): SoakOperator {
  let nextNumber = 1;
  return {
    configure: () => put(takeNumber(), true),
    race: async () => {
      await Promise.all([put(takeNumber(), true), put(takeNumber(), true)]);
    },
    sendInvalid: () => put(takeNumber(), false),
    readOnce,
    move: async (target, durationS) => {
      await untilAnswered(
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
      const answer = await untilAnswered(`/rollouts/${appService}`, {});
      return answer?.status === 200
        ? (JSON.parse(answer.text) as { state: string }).state
        : "";
    },
  };

  function takeNumber(): number {
    nextNumber += 1 + random.nextInt(3);
    return nextNumber;
  }

  async function put(number: number, isValid: boolean): Promise<void> {
    const sentAtMs = performance.now();
    const body = JSON.stringify(createDocument(number, isValid));
    const answer = await untilAnswered("/config", { method: "PUT", body });
    record.orders.push({
      number,
      isValid,
      sentAtMs,
      endedAtMs: performance.now(),
      status: answer?.status ?? 0,
    });
  }

  async function readOnce(isFinal: boolean): Promise<void> {
    const sentAtMs = performance.now();
    const answer = isFinal
      ? await untilAnswered("/config", {})
      : await ask("/config", {});
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

  async function untilAnswered(path: string, init: RequestInit) {
    const endsAtMs = performance.now() + patienceMs;
    while (performance.now() < endsAtMs) {
      const answer = await ask(path, init);
      if (answer && answer.status < 500) return answer;
      await sleep(pauseMs);
    }
    return undefined;
  }

  async function ask(path: string, init: RequestInit) {
    const url = operatorUrls[random.nextInt(operatorUrls.length)]! + path;
    try {
      const response = await fetch(url, {
        ...init,
        signal: AbortSignal.timeout(requestTimeoutMs),
      });
      return { status: response.status, text: await response.text() };
    } catch {
      return undefined; // the instance is down, paused or has no leader
    }
  }
}

function createDocument(number: number, isValid: boolean) {
  const route = (name: string, kind: string, service: string) => ({
    name,
    host: soakHost,
    path_prefix: `/${name}/`,
    kind,
    timeout_ms: kind === "streaming" ? 12_000 : 2_000,
    slo_ms: 500,
    priority: 1,
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
    tenants: [{ name: customerName, api_keys: [soakKey] }],
  };
}
