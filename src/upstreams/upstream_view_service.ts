/**
 * Maintains the upstream view of one instance: the control leader reads the
 * platform's list, and every other instance pulls the view from a control
 * instance that has a newer one.
 *
 * All instances share one rate limit for reading the list, so an instance reads
 * it directly only when no control instance has confirmed the view for some
 * time.
 */
import { ok, type Result, type ResultAsync } from "neverthrow";
import { assignFallbackShares } from "../control/moves/version_shares.ts";
import type { Clock } from "../core/clock.ts";
import type { SystemError } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import { createPeriodicTask, type Task } from "../core/supervisor.ts";
import type { InstanceId } from "../core/types.ts";
import { type Heartbeat, PeerCallKind } from "../peer/messages.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import {
  createUpstreamView,
  type ListedUpstream,
  type UpstreamUpdate,
} from "./upstream_view.ts";

export interface UpstreamViewService {
  readonly tasks: readonly Task[];
  /** Revision of the view, and the time since a read confirmed it. */
  getState(): { readonly revision: number; readonly ageMs: number };
  list(): readonly ListedUpstream[];
  handleHeartbeat(heartbeat: Heartbeat): void;
  handlePull(
    pull: { readonly revision: number },
  ): Result<{ update: UpstreamUpdate }, SystemError>;
}

export interface UpstreamViewServiceOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  readonly pollIntervalMs: number;
  /** Entry instances read the list if the view is unconfirmed for this long. */
  readonly staleAfterMs: number;
  readonly isControl: boolean;
  getPeers(): Pick<PeerClient, "call">;
  /** The term in which this instance is the control leader, if it is. */
  getLeaderTerm(): number | undefined;
  readList(): ResultAsync<readonly ListedUpstream[], SystemError>;
  onChanged(upstreams: readonly ListedUpstream[]): void;
  /** Sets the version shares that the leader distributes with the view. */
  assignShares(upstreams: readonly ListedUpstream[]): ListedUpstream[];
}

const pullTimeoutMs = 1_000;
/**
 * Spreads the reads of many instances that lose contact with the control
 * instances at the same time.
 */
const fallbackSpreadFactor = 3;

export function createUpstreamViewService(
  options: UpstreamViewServiceOptions,
): UpstreamViewService {
  const { clock, logger, random } = options;
  const view = createUpstreamView();
  let pullingFromId: InstanceId | undefined;
  let confirmedAtMs = clock.nowMs();
  let nextDirectReadAtMs = 0;
  return {
    tasks: [createPeriodicTask({
      name: "upstream-list",
      clock,
      intervalMs: options.pollIntervalMs,
      action: poll,
    })],
    getState: () => ({
      revision: view.getRevision(),
      ageMs: Math.max(0, clock.nowMs() - confirmedAtMs),
    }),
    list: view.list,
    handleHeartbeat,
    handlePull: ({ revision }) => ok({ update: view.getUpdate(revision) }),
  };

  async function poll(): Promise<void> {
    const term = options.getLeaderTerm();
    if (term !== undefined) await readAsLeader(term);
    // After a restart of all instances no instance has a view, so control
    // instances read the list before one of them is the leader.
    else if (options.isControl && view.getRevision() === 0) await readInitial();
    else if (!options.isControl && isDirectReadDue()) await readDirectly();
  }

  /** Records the list with term 0, so that any leader's view replaces it. */
  async function readInitial(): Promise<void> {
    const list = await options.readList();
    if (list.isErr() || view.getRevision() > 0) return;
    view.recordList(options.assignShares(list.value), 0);
    publish("first read");
  }

  async function readAsLeader(term: number): Promise<void> {
    const list = await options.readList();
    if (list.isErr()) {
      logger.log(logEvents.platformListFailed, { reason: list.error.message });
      return;
    }
    // This instance may have lost its leadership during the read.
    if (options.getLeaderTerm() !== term) return;
    confirmedAtMs = clock.nowMs();
    if (view.recordList(options.assignShares(list.value), term)) {
      publish("list");
    }
  }

  function isDirectReadDue(): boolean {
    const nowMs = clock.nowMs();
    if (nowMs - confirmedAtMs < options.staleAfterMs) return false;
    return nowMs >= nextDirectReadAtMs;
  }

  /**
   * The view keeps its revision, so that the next view of a control instance
   * replaces the list that was read here.
   */
  async function readDirectly(): Promise<void> {
    const spread = 1 + random.next() * fallbackSpreadFactor;
    nextDirectReadAtMs = clock.nowMs() + spread * options.pollIntervalMs;
    const list = await options.readList();
    if (list.isErr()) {
      logger.log(logEvents.platformListFailed, { reason: list.error.message });
      return;
    }
    logger.log(logEvents.upstreamListReadDirectly, {
      upstreams: list.value.length,
      silentMs: Math.round(clock.nowMs() - confirmedAtMs),
    });
    options.onChanged(assignFallbackShares(list.value, view.list()));
  }

  function handleHeartbeat(heartbeat: Heartbeat): void {
    if (!heartbeat.isControl) return;
    const revision = heartbeat.upstreamsRevision ?? 0;
    const ageMs = heartbeat.upstreamsAgeMs ?? 0;
    if (revision === view.getRevision()) recordConfirmation(ageMs);
    if (revision <= view.getRevision() || pullingFromId !== undefined) return;
    void pull(heartbeat.instanceId, ageMs);
  }

  function recordConfirmation(ageMs: number): void {
    confirmedAtMs = Math.max(confirmedAtMs, clock.nowMs() - ageMs);
  }

  async function pull(from: InstanceId, ageMs: number): Promise<void> {
    pullingFromId = from;
    const reply = await options.getPeers().call(
      from,
      PeerCallKind.PullUpstreams,
      { body: { revision: view.getRevision() }, timeoutMs: pullTimeoutMs },
    );
    pullingFromId = undefined;
    if (reply.isErr()) return; // the next heartbeat triggers a retry
    if (!view.tryApply(reply.value.update)) return;
    recordConfirmation(ageMs);
    publish(from);
  }

  function publish(source: string): void {
    const upstreams = view.list();
    logger.log(logEvents.upstreamViewChanged, {
      revision: view.getRevision(),
      source,
      upstreams: upstreams.length,
    });
    options.onChanged(upstreams);
  }
}
