/**
 * Runs one answer at its owner: passes events to the answer state machine and
 * executes the resulting effects.
 */
import type { Clock } from "../core/clock.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import { assertNever } from "../core/assert_never.ts";
import type { InstanceId, UpstreamId } from "../core/types.ts";
import type { CopyUpdate } from "../peer/messages.ts";
import { applyAnswerEvent } from "./answer_state_machine.ts";
import {
  type AnswerEffect,
  AnswerEffectKind,
  type AnswerEvent,
  AnswerEventKind,
  type AnswerState,
} from "./answer_state.ts";
import {
  createAnswerHistory,
  type HistoryEntry,
  HistoryKind,
} from "./answer_history.ts";
import {
  type AnswerLatency,
  createAnswerLatencyRecorder,
} from "./answer_latency.ts";
import type { AttemptHandle, AttemptRunner } from "./attempt_runner.ts";

export interface OwnedAnswer {
  readonly state: AnswerState;
  isSuperseded(): boolean;
  getLatency(): AnswerLatency;
  listHistory(): HistoryEntry[];
  send(event: AnswerEvent): void;
  tick(options: { readonly mayHedge: boolean }): void;
  /** Resolves at the next change visible to readers, or after `waitMs`. */
  waitForChange(waitMs: number): Promise<void>;
}

export interface OwnedAnswerOptions {
  readonly state: AnswerState;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly attempts: AttemptRunner;
  chooseReplica(avoided: readonly InstanceId[]): InstanceId | undefined;
  sendCopy(replicaId: InstanceId, update: CopyUpdate): void;
  /** Longer gaps between tokens are counted as long gaps. */
  readonly longGapMs: number;
  onClosed(answer: OwnedAnswer): void;
}

interface RunningAttempt {
  handle: AttemptHandle | undefined;
  startTimer: ReturnType<typeof setTimeout> | undefined;
}

/** The most recently failed engines of this answer are tried last. */
const maxFailedUpstreams = 4;

export function createOwnedAnswer(options: OwnedAnswerOptions): OwnedAnswer {
  const { state, clock, attempts } = options;
  const logger = options.logger.with({ answer: state.answerId });
  const running = new Map<number, RunningAttempt>();
  const failedUpstreamIds: UpstreamId[] = [];
  const waiters = new Set<() => void>();
  let isSuperseded = false;
  const history = createAnswerHistory(clock);
  const latencyRecorder = createAnswerLatencyRecorder({
    openedAtMs: clock.nowMs(),
    longGapMs: options.longGapMs,
  });
  const answer: OwnedAnswer = {
    state,
    isSuperseded: () => isSuperseded,
    getLatency: latencyRecorder.getLatency,
    listHistory: history.list,
    send,
    tick,
    waitForChange,
  };
  return answer;

  function send(event: AnswerEvent): void {
    for (const effect of applyAnswerEvent(state, event, clock.nowMs())) {
      executeEffect(effect);
    }
  }

  function tick({ mayHedge }: { readonly mayHedge: boolean }): void {
    const silenceLimitMs = new Map<number, number>();
    for (const [attemptNumber, attempt] of running) {
      if (!attempt.handle || !mayHedge) continue;
      silenceLimitMs.set(attemptNumber, attempt.handle.getSilenceLimitMs());
    }
    send({ kind: AnswerEventKind.Ticked, silenceLimitMs });
  }

  function executeEffect(effect: AnswerEffect): void {
    switch (effect.kind) {
      case AnswerEffectKind.StartAttempt:
        scheduleAttempt(effect);
        break;
      case AnswerEffectKind.CancelAttempt:
        stopAttempt(effect.attemptNumber);
        break;
      case AnswerEffectKind.ChooseReplica:
        chooseReplica(effect.avoided);
        break;
      case AnswerEffectKind.SendCopy:
        options.sendCopy(effect.instanceId, effect.update);
        break;
      case AnswerEffectKind.Released:
        recordRelease();
        notifyReaders();
        break;
      case AnswerEffectKind.Reset:
        logger.log(logEvents.answerReset, { version: state.meta.version });
        recordHistory(HistoryKind.Reset, state.meta.version);
        notifyReaders();
        break;
      case AnswerEffectKind.Closed:
        recordRelease();
        logger.log(logEvents.answerFinished, { tokens: state.tokens.length });
        recordHistory(
          HistoryKind.Ended,
          state.end!.errorMessage || state.end!.reason,
        );
        notifyReaders();
        options.onClosed(answer);
        break;
      case AnswerEffectKind.Superseded:
        isSuperseded = true;
        logger.log(logEvents.answerSuperseded);
        recordHistory(HistoryKind.Superseded, "");
        notifyReaders();
        options.onClosed(answer);
        break;
      default:
        assertNever(effect);
    }
  }

  function chooseReplica(avoided: readonly InstanceId[]): void {
    const instanceId = options.chooseReplica(avoided);
    if (instanceId === undefined) {
      logger.log(logEvents.answerUnreplicated, {
        fromPosition: state.releasedCount,
      });
      recordHistory(HistoryKind.Unreplicated, "no other instance is reachable");
    } else recordHistory(HistoryKind.ReplicaChosen, instanceId);
    send({ kind: AnswerEventKind.ReplicaChosen, instanceId });
  }

  function scheduleAttempt(
    effect: Extract<AnswerEffect, { kind: AnswerEffectKind.StartAttempt }>,
  ): void {
    const { attemptNumber, isHedge, delayMs } = effect;
    const attempt: RunningAttempt = {
      handle: undefined,
      startTimer: undefined,
    };
    running.set(attemptNumber, attempt);
    if (isHedge) {
      logger.log(logEvents.attemptHedged, { attemptNumber });
      for (const other of running.values()) other.handle?.markSuspected();
    }
    attempt.startTimer = setTimeout(() => {
      attempt.startTimer = undefined;
      attempt.handle = run(attemptNumber, isHedge);
    }, delayMs);
  }

  function recordHistory(kind: HistoryKind, detail: string): void {
    history.add(kind, { position: state.tokens.length, detail });
  }

  function run(attemptNumber: number, isHedge: boolean): AttemptHandle {
    const handle = startOnEngine(attemptNumber, isHedge);
    recordHistory(
      isHedge ? HistoryKind.HedgeStarted : HistoryKind.AttemptStarted,
      `attempt ${attemptNumber} on ${handle.getUpstreamId() ?? "no engine"}`,
    );
    return handle;
  }

  function startOnEngine(
    attemptNumber: number,
    isHedge: boolean,
  ): AttemptHandle {
    const inUse = [...running.values()].flatMap((attempt) =>
      attempt.handle?.getUpstreamId() ?? []
    );
    return attempts.start({
      answerId: state.answerId,
      attemptNumber,
      meta: state.meta,
      tokens: state.tokens.slice(),
      isHedge,
      avoidedUpstreamIds: [...inUse, ...failedUpstreamIds],
      inUseUpstreamIds: inUse,
    }, {
      onTokens: (fromPosition, tokens) =>
        send({
          kind: AnswerEventKind.TokensReceived,
          attemptNumber,
          fromPosition,
          tokens,
        }),
      onEnded: (reason, tokenCount) => {
        running.delete(attemptNumber);
        send({
          kind: AnswerEventKind.AttemptEnded,
          attemptNumber,
          reason,
          tokenCount,
        });
      },
      onFailed: (error) => {
        const upstreamId = running.get(attemptNumber)?.handle?.getUpstreamId();
        running.delete(attemptNumber);
        if (upstreamId) recordFailedUpstream(upstreamId);
        recordHistory(
          HistoryKind.AttemptFailed,
          `attempt ${attemptNumber} on ${upstreamId ?? "no engine"}: ` +
            error.message,
        );
        logger.log(logEvents.answerAttemptFailed, {
          attemptNumber,
          upstream: upstreamId,
          position: state.tokens.length,
          reason: error.message,
        });
        send({
          kind: AnswerEventKind.AttemptFailed,
          attemptNumber,
          errorKind: error.kind,
          message: error.message,
        });
      },
    });
  }

  function recordFailedUpstream(upstreamId: UpstreamId): void {
    failedUpstreamIds.push(upstreamId);
    if (failedUpstreamIds.length > maxFailedUpstreams) {
      failedUpstreamIds.shift();
    }
  }

  function stopAttempt(attemptNumber: number): void {
    const attempt = running.get(attemptNumber);
    running.delete(attemptNumber);
    clearTimeout(attempt?.startTimer);
    attempt?.handle?.cancel();
  }

  function recordRelease(): void {
    latencyRecorder.recordRelease({
      nowMs: clock.nowMs(),
      releasedCount: state.releasedCount,
      attemptCount: state.lineage.length,
    });
  }

  function notifyReaders(): void {
    const current = [...waiters];
    waiters.clear();
    for (const resolveWaiter of current) resolveWaiter();
  }

  function waitForChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolveWaiter, waitMs);
      waiters.add(resolveWaiter);

      function resolveWaiter(): void {
        clearTimeout(timer);
        waiters.delete(resolveWaiter);
        resolve();
      }
    });
  }
}
