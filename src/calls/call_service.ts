/**
 * Executes calls to application services. Idempotent calls are retried on other
 * workers. Non-idempotent calls first claim their key in the control log and
 * are then dispatched at most once.
 */
import { createHash, randomUUID } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import type { ControlClient } from "../control/control_client.ts";
import {
  type ClaimKey,
  type ClaimResult,
  claimResultSchema,
  ClaimStatus,
  CommandKind,
  type Outcome,
  OutcomeKind,
  type StoredResponse,
} from "../control/commands.ts";
import { assertNever } from "../core/assert_never.ts";
import type { Clock } from "../core/clock.ts";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import { type UpstreamId, UpstreamKind } from "../core/types.ts";
import type { RetryBudget } from "../limits/retry_budget.ts";
import type { ApplicationService } from "../settings/schema.ts";
import type {
  ApplicationCall,
  ApplicationClient,
  SendOptions,
} from "../upstreams/application_client.ts";
import type {
  UpstreamRegistry,
  UpstreamStatus,
} from "../upstreams/upstream_registry.ts";

export interface ServiceCall extends ApplicationCall {
  readonly customerId: string;
  readonly service: ApplicationService;
  /** Time left until the caller's deadline; the service's timeout bounds it. */
  readonly remainingMs: number;
}

export interface CallService {
  execute(call: ServiceCall): Promise<Result<StoredResponse, SystemError>>;
}

export interface CallServiceOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  readonly control: ControlClient;
  readonly registry: UpstreamRegistry;
  readonly client: ApplicationClient;
  readonly budget: RetryBudget;
}

enum AttemptKind {
  Answered = "answered",
  /** No byte reached a worker, or the worker refused to execute the call. */
  NotRun = "notRun",
  Unknown = "unknown",
}

type AttemptOutcome =
  | { readonly kind: AttemptKind.Answered; readonly response: StoredResponse }
  | { readonly kind: AttemptKind.NotRun; readonly message: string }
  | { readonly kind: AttemptKind.Unknown; readonly message: string };

const claimTimeoutMs = 4_000;
const settleTimeoutMs = 10_000;
/**
 * Interval between attempts to withdraw a claim that timed out. It may still be
 * committed after a partition, and until it is withdrawn a resend gets the
 * error that the outcome is unknown.
 */
const withdrawalRetryMs = 1_000;
const maxWithdrawals = 10_000;
/** How long a resend waits for the response to the first request. */
const pendingClaimWaitMs = 3_000;
const pendingClaimPollMs = 200;
const maxCallAttempts = 4;
const minRetryAfterMs = 100;
/** Time for which a failed worker is chosen only if there is no other. */
const avoidWorkerMs = 3_000;

export function createCallService(options: CallServiceOptions): CallService {
  const { clock, logger, random, control, registry, client, budget } = options;
  const toWithdraw: { key: ClaimKey; claimId: string }[] = [];
  let isWithdrawing = false;
  const avoidedUntilMs = new Map<UpstreamId, number>();
  return { execute };

  function execute(
    call: ServiceCall,
  ): Promise<Result<StoredResponse, SystemError>> {
    if (call.remainingMs <= 0) {
      return Promise.resolve(err(createError(
        ErrorKind.Overloaded,
        "the deadline of the call passed before it was dispatched",
        { retryAfterMs: minRetryAfterMs },
      )));
    }
    return isIdempotent(call)
      ? executeIdempotent(call)
      : executeAtMostOnce(call);
  }

  /** Draws one attempt from the retry budget; false if that is refused. */
  function tryDrawRetry(call: ServiceCall): boolean {
    const key = {
      service: call.service.service,
      customerId: call.customerId,
    };
    const isAllowed = budget.tryDraw(key, 1);
    if (!isAllowed) {
      logger.log(logEvents.retryRefused, {
        service: key.service,
        customer: key.customerId,
      });
    }
    return isAllowed;
  }

  function recordUseful(call: ServiceCall): void {
    const { service: { service }, customerId } = call;
    budget.recordUseful({ service, customerId }, 1);
  }

  function getTimeoutMs(call: ServiceCall): number {
    return Math.min(call.service.timeoutMs, call.remainingMs);
  }

  async function executeIdempotent(
    call: ServiceCall,
  ): Promise<Result<StoredResponse, SystemError>> {
    const deadlineMs = clock.nowMs() + getTimeoutMs(call);
    let last: AttemptOutcome = {
      kind: AttemptKind.NotRun,
      message: "no worker",
    };
    const triedIds: UpstreamId[] = [];
    for (let attempt = 0; attempt < maxCallAttempts; attempt++) {
      const worker = chooseWorker(call.service.service, triedIds);
      const remainingMs = deadlineMs - clock.nowMs();
      if (!worker || remainingMs <= 0) break;
      if (attempt > 0 && !tryDrawRetry(call)) break;
      triedIds.push(worker.info.upstreamId);
      // Leaves time for a second attempt when the first worker is paused.
      const timeoutMs = Math.min(remainingMs, getTimeoutMs(call) / 2);
      last = await sendAttempt(worker, call, {
        timeoutMs,
        isNewConnection: false,
      });
      if (last.kind === AttemptKind.Answered) {
        recordUseful(call);
        return ok(last.response);
      }
    }
    return last.kind === AttemptKind.NotRun
      ? err(createNoWorkerError(call, last.message))
      : err(createError(ErrorKind.UpstreamFailed, getFailureMessage(last)));
  }

  async function executeAtMostOnce(
    call: ServiceCall,
  ): Promise<Result<StoredResponse, SystemError>> {
    if (call.idempotencyKey === "") {
      return err(createError(
        ErrorKind.InvalidRequest,
        "this route is not idempotent and needs an Idempotency-Key header",
        { fieldPath: "headers.Idempotency-Key" },
      ));
    }
    const key: ClaimKey = {
      customerId: call.customerId,
      service: call.service.service,
      idempotencyKey: call.idempotencyKey,
    };
    const claimId = randomUUID();
    const claim = await claimKey(key, { claimId, call });
    if (claim.isErr()) {
      // The claim may still be committed. Withdrawing it is safe because no
      // call is dispatched under this claim id.
      withdrawClaim(key, claimId);
      logger.log(logEvents.claimFailed, { reason: claim.error.message });
      return err(claim.error);
    }
    switch (claim.value.status) {
      case ClaimStatus.Granted:
        return executeClaimed(call, key, claimId);
      case ClaimStatus.Answered:
        return ok(claim.value.response!);
      case ClaimStatus.KeyReused:
        return err(createError(
          ErrorKind.KeyReused,
          "the Idempotency-Key was used with another request",
        ));
      case ClaimStatus.Withdrawn:
        return err(createError(
          ErrorKind.NoQuorum,
          "the claim was withdrawn before it was committed",
          { retryAfterMs: minRetryAfterMs },
        ));
      case ClaimStatus.Pending:
        return err(createError(
          ErrorKind.OutcomeUnknown,
          "an earlier request with this key was dispatched without an answer",
        ));
      default:
        return assertNever(claim.value.status);
    }
  }

  /** Claims the key; waits for a pending claim that holds it. */
  async function claimKey(
    key: ClaimKey,
    { claimId, call }: { claimId: string; call: ServiceCall },
  ): Promise<Result<ClaimResult, SystemError>> {
    const waitUntilMs = clock.nowMs() + pendingClaimWaitMs;
    while (true) {
      const result = await control.propose({
        kind: CommandKind.Claim,
        key,
        bodySha256: getRequestHash(call),
        claimId,
        atWallMs: clock.wallMs(),
      }, claimTimeoutMs);
      if (result.isErr()) return err(result.error);
      const claim = claimResultSchema.parse(result.value);
      const isPending = claim.status === ClaimStatus.Pending;
      if (!isPending || clock.nowMs() > waitUntilMs) return ok(claim);
      await clock.sleep(pendingClaimPollMs);
    }
  }

  async function executeClaimed(
    call: ServiceCall,
    key: ClaimKey,
    claimId: string,
  ): Promise<Result<StoredResponse, SystemError>> {
    const result = await attemptUntilSent(call);
    switch (result.kind) {
      case AttemptKind.Answered:
        recordUseful(call);
        // Without the stored outcome a resend would get an unknown outcome.
        await settle(key, claimId, {
          kind: OutcomeKind.Answered,
          response: result.response,
        });
        return ok(result.response);
      case AttemptKind.NotRun:
        await settle(key, claimId, { kind: OutcomeKind.NotRun });
        return err(createNoWorkerError(call, result.message));
      case AttemptKind.Unknown:
        logger.log(logEvents.callOutcomeUnknown, {
          service: call.service.service,
          reason: result.message,
        });
        return err(createError(
          ErrorKind.OutcomeUnknown,
          `the call was dispatched without an answer: ${result.message}`,
        ));
      default:
        return assertNever(result);
    }
  }

  /** Tries one worker after another until one may have received the call. */
  async function attemptUntilSent(
    call: ServiceCall,
  ): Promise<AttemptOutcome> {
    const triedIds: UpstreamId[] = [];
    const deadlineMs = clock.nowMs() + getTimeoutMs(call);
    let last: AttemptOutcome = {
      kind: AttemptKind.NotRun,
      message: "no worker",
    };
    for (let attempt = 0; attempt < maxCallAttempts; attempt++) {
      const worker = chooseWorker(call.service.service, triedIds);
      const remainingMs = deadlineMs - clock.nowMs();
      if (!worker || remainingMs <= 0) break;
      if (attempt > 0 && !tryDrawRetry(call)) break;
      triedIds.push(worker.info.upstreamId);
      last = await sendAttempt(worker, call, {
        timeoutMs: remainingMs,
        isNewConnection: true,
      });
      if (last.kind !== AttemptKind.NotRun) break;
    }
    return last;
  }

  async function sendAttempt(
    worker: UpstreamStatus,
    call: ServiceCall,
    sendOptions: SendOptions,
  ): Promise<AttemptOutcome> {
    const { upstreamId, baseUrl } = worker.info;
    registry.adjustInFlight(upstreamId, 1);
    const result = await client.send(baseUrl, call, sendOptions);
    registry.adjustInFlight(upstreamId, -1);
    if (result.isOk()) avoidedUntilMs.delete(upstreamId);
    else avoidedUntilMs.set(upstreamId, clock.nowMs() + avoidWorkerMs);
    return result.match<AttemptOutcome>(
      (response) => {
        if (response.isNotRun) {
          return { kind: AttemptKind.NotRun, message: response.body };
        }
        const { status, contentType, body } = response;
        return {
          kind: AttemptKind.Answered,
          response: { status, contentType, body },
        };
      },
      ({ mayHaveRun, message }) => ({
        kind: mayHaveRun ? AttemptKind.Unknown : AttemptKind.NotRun,
        message,
      }),
    );
  }

  async function settle(
    key: ClaimKey,
    claimId: string,
    outcome: Outcome,
  ): Promise<boolean> {
    const result = await control.propose({
      kind: CommandKind.SettleClaim,
      key,
      claimId,
      outcome,
      atWallMs: clock.wallMs(),
    }, settleTimeoutMs);
    if (result.isErr()) {
      logger.log(logEvents.claimFailed, { reason: result.error.message });
    }
    return result.isOk() || result.error.kind !== ErrorKind.NoQuorum;
  }

  function withdrawClaim(key: ClaimKey, claimId: string): void {
    if (toWithdraw.length < maxWithdrawals) toWithdraw.push({ key, claimId });
    if (!isWithdrawing) void withdrawClaims();
  }

  /**
   * Withdraws claims one at a time, so that proposals do not accumulate during
   * a long partition.
   */
  async function withdrawClaims(): Promise<void> {
    isWithdrawing = true;
    while (toWithdraw.length > 0) {
      const { key, claimId } = toWithdraw[0]!;
      const isSettled = await settle(key, claimId, {
        kind: OutcomeKind.NotRun,
      });
      if (isSettled) toWithdraw.shift();
      else await clock.sleep(withdrawalRetryMs);
    }
    isWithdrawing = false;
  }

  function chooseWorker(
    service: string,
    triedIds: readonly UpstreamId[],
  ): UpstreamStatus | undefined {
    const untried = registry.listUsable(UpstreamKind.Application, service)
      .filter((worker) => !triedIds.includes(worker.info.upstreamId));
    const nowMs = clock.nowMs();
    const preferred = untried.filter(({ info }) =>
      (avoidedUntilMs.get(info.upstreamId) ?? 0) < nowMs
    );
    const workers = preferred.length > 0 ? preferred : untried;
    if (workers.length === 0) return undefined;
    const first = workers[random.nextInt(workers.length)]!;
    const second = workers[random.nextInt(workers.length)]!;
    return second.inFlightCount < first.inFlightCount ? second : first;
  }
}

/** Routes without a rule are treated as non-idempotent. */
function isIdempotent(call: ServiceCall): boolean {
  const matching = call.service.routes
    .filter((route) =>
      route.method === call.method && call.path.startsWith(route.pathPrefix)
    )
    .sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
  return matching[0]?.idempotent ?? false;
}

function getRequestHash(call: ServiceCall): string {
  return createHash("sha256")
    .update(JSON.stringify([call.method, call.path, call.body]))
    .digest("hex");
}

function createNoWorkerError(call: ServiceCall, message: string): SystemError {
  return createError(
    ErrorKind.NoUpstream,
    `no worker of ${call.service.service} accepted the call: ${message}`,
    { retryAfterMs: 1_000 },
  );
}

function getFailureMessage(result: AttemptOutcome): string {
  return result.kind === AttemptKind.Answered ? "" : result.message;
}
