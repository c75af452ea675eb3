/**
 * Decides to which instances a new configuration is pushed, and from which
 * instance a missing one is pulled.
 *
 * The control leader pushes a revision to one relay in each failure domain,
 * including its own, and the relay forwards it inside its failure domain. In a
 * failure domain without a relay the leader pushes it to every instance. An
 * instance that learns of a revision above its own and does not receive it in
 * time pulls it.
 */
import type { Random } from "../core/random.ts";
import type { DomainId, InstanceId } from "../core/types.ts";

export interface PropagationMember {
  readonly instanceId: InstanceId;
  readonly domainId: DomainId;
  readonly isReachable: boolean;
  /** Whether it knows the other instances of its failure domain. */
  readonly isRelay: boolean;
}

export interface MemberRevision {
  readonly instanceId: InstanceId;
  readonly revision: number;
}

export type PropagationEvent =
  | { readonly kind: "tick" }
  /** A heartbeat or a reply contained the revision. */
  | ({ readonly kind: "revisionSeen" } & MemberRevision)
  /** Handled after the store has processed the update of the push. */
  | {
    readonly kind: "pushReceived";
    readonly from: InstanceId;
    readonly revision: number;
    readonly mustForward: boolean;
  }
  | {
    readonly kind: "pushEnded";
    readonly to: InstanceId;
    /** Absent if no reply came in time. */
    readonly reply?: readonly MemberRevision[] | undefined;
  }
  | {
    readonly kind: "pullEnded";
    readonly from: InstanceId;
    readonly revision?: number | undefined;
  };

export type PropagationEffect =
  | {
    readonly kind: "push";
    readonly to: InstanceId;
    readonly fromRevision: number;
    /** Whether the receiver must forward the update in its failure domain. */
    readonly mustForward: boolean;
  }
  | { readonly kind: "pull"; readonly from: InstanceId };

export interface Propagation {
  handle(event: PropagationEvent, nowMs: number): PropagationEffect[];
  /** Last known revisions of the instances in this failure domain. */
  listDomainRevisions(): MemberRevision[];
  /** Listed instances that are not known to have the revision. */
  listBehind(revision: number): PropagationMember[];
  getKnownRevision(instanceId: InstanceId): number;
}

export interface PropagationOptions {
  readonly selfId: InstanceId;
  readonly domainId: DomainId;
  readonly random: Random;
  isLeader(): boolean;
  /** Newest revision that this instance can send. */
  getRevision(): number;
  /** Revision in force here; may be lower than `getRevision()`. */
  getRevisionInForce(): number;
  /** All other listed instances. */
  listMembers(): readonly PropagationMember[];
}

/** Above the usual delay of a push, so that few pulls duplicate a push. */
const pullDelayMs = 300;
/** Limits the leader's pushes while tickets arrive in a burst. */
const minPushIntervalMs = 500;
const retryDelayMs = 2_000;
/**
 * Interval of pushes to a relay until its whole failure domain has the
 * revision.
 */
const relayRecheckIntervalMs = 1_000;
const removalIntervalMs = 60_000;

export function createPropagation(options: PropagationOptions): Propagation {
  const { selfId, domainId, random } = options;
  const knownRevisions = new Map<InstanceId, number>();
  const pending = new Set<InstanceId>();
  const lastPushes = new Map<InstanceId, { revision: number; atMs: number }>();
  const retryAtMs = new Map<InstanceId, number>();
  const relays = new Map<DomainId, InstanceId>();
  let revisionToForward = 0;
  let pullFrom: InstanceId | undefined;
  let behindSinceMs: number | undefined;
  let highestSeenRevision = 0;
  let lastRemovalAtMs = 0;
  return {
    handle,
    listDomainRevisions: () => [
      { instanceId: selfId, revision: options.getRevisionInForce() },
      ...options.listMembers().filter((member) => member.domainId === domainId)
        .map(({ instanceId }) => ({
          instanceId,
          revision: getKnownRevision(instanceId),
        })),
    ],
    listBehind: (revision) =>
      options.listMembers().filter(({ instanceId }) =>
        getKnownRevision(instanceId) < revision
      ),
    getKnownRevision,
  };

  function handle(event: PropagationEvent, nowMs: number): PropagationEffect[] {
    switch (event.kind) {
      case "tick":
        removeUnlisted(nowMs);
        break;
      case "revisionSeen":
        setKnownRevision(event.instanceId, event.revision);
        // Most heartbeats contain no newer revision and need no decision.
        if (event.revision <= options.getRevision()) return [];
        break;
      case "pushReceived":
        return receivePush(event, nowMs);
      case "pushEnded":
        pending.delete(event.to);
        if (!event.reply) retryAtMs.set(event.to, nowMs + retryDelayMs);
        for (const { instanceId, revision } of event.reply ?? []) {
          if (instanceId !== selfId) setKnownRevision(instanceId, revision);
        }
        break;
      case "pullEnded":
        if (pullFrom === event.from) pullFrom = undefined;
        if (event.revision === undefined) {
          retryAtMs.set(event.from, nowMs + retryDelayMs);
        } else setKnownRevision(event.from, event.revision);
        break;
    }
    return [...decidePushes(nowMs), ...decidePull(nowMs)];
  }

  function receivePush(
    event: Extract<PropagationEvent, { kind: "pushReceived" }>,
    nowMs: number,
  ): PropagationEffect[] {
    setKnownRevision(event.from, event.revision);
    if (event.mustForward) {
      revisionToForward = Math.max(revisionToForward, event.revision);
    }
    const isUpdateMissing = options.getRevision() < event.revision;
    if (!isUpdateMissing || pullFrom !== undefined) return decidePushes(nowMs);
    pullFrom = event.from;
    return [{ kind: "pull", from: event.from }];
  }

  function decidePushes(nowMs: number): PropagationEffect[] {
    const ownRevision = options.getRevision();
    const forwards = ownRevision >= revisionToForward
      ? listReachableBehind(revisionToForward)
        .filter((member) => member.domainId === domainId)
        .filter(({ instanceId }) =>
          mayPush(instanceId, revisionToForward, nowMs)
        )
        .map(({ instanceId }) => push(instanceId, false, nowMs))
      : [];
    if (!options.isLeader()) return forwards;
    const behind = listReachableBehind(ownRevision);
    const domains = new Set(behind.map((member) => member.domainId));
    const leaderPushes: PropagationEffect[] = [];
    for (const domain of domains) {
      const relay = chooseRelay(domain, nowMs);
      if (relay === undefined) {
        const direct = behind.filter(({ domainId, instanceId }) =>
          domainId === domain && mayPush(instanceId, ownRevision, nowMs)
        );
        leaderPushes.push(
          ...direct.map((to) => push(to.instanceId, false, nowMs)),
        );
      } else if (mayPush(relay, ownRevision, nowMs)) {
        leaderPushes.push(push(relay, true, nowMs));
      }
    }
    return [...forwards, ...leaderPushes];
  }

  function listReachableBehind(revision: number): PropagationMember[] {
    if (revision === 0) return [];
    return options.listMembers().filter((member) =>
      member.isReachable && getKnownRevision(member.instanceId) < revision
    );
  }

  function mayPush(
    to: InstanceId,
    requiredRevision: number,
    nowMs: number,
  ): boolean {
    if (pending.has(to)) return false;
    if ((retryAtMs.get(to) ?? 0) > nowMs) return false;
    const last = lastPushes.get(to);
    if (!last) return true;
    const intervalMs = last.revision < requiredRevision
      ? minPushIntervalMs
      : relayRecheckIntervalMs;
    return nowMs - last.atMs >= intervalMs;
  }

  function push(
    to: InstanceId,
    mustForward: boolean,
    nowMs: number,
  ): PropagationEffect {
    pending.add(to);
    lastPushes.set(to, { revision: options.getRevision(), atMs: nowMs });
    const fromRevision = getKnownRevision(to);
    return { kind: "push", to, fromRevision, mustForward };
  }

  function chooseRelay(
    domain: DomainId,
    nowMs: number,
  ): InstanceId | undefined {
    const usable = options.listMembers().filter((member) =>
      member.domainId === domain && member.isReachable && member.isRelay &&
      (retryAtMs.get(member.instanceId) ?? 0) <= nowMs
    );
    const current = relays.get(domain);
    if (usable.some((member) => member.instanceId === current)) return current;
    if (usable.length === 0) return undefined;
    const relay = usable[random.nextInt(usable.length)]!.instanceId;
    relays.set(domain, relay);
    return relay;
  }

  function decidePull(nowMs: number): PropagationEffect[] {
    const ownRevision = options.getRevision();
    if (highestSeenRevision <= ownRevision) {
      behindSinceMs = undefined;
      return [];
    }
    const sources = options.listMembers().filter((member) =>
      getKnownRevision(member.instanceId) > ownRevision
    );
    if (sources.length === 0) {
      behindSinceMs = undefined;
      return [];
    }
    behindSinceMs ??= nowMs;
    if (pullFrom !== undefined) return [];
    // An instance at revision 0 has nothing that a push of changes could
    // update, so it pulls at once.
    const delayMs = ownRevision === 0 ? 0 : pullDelayMs;
    if (nowMs - behindSinceMs < delayMs) return [];
    const usable = sources.filter((member) =>
      member.isReachable && (retryAtMs.get(member.instanceId) ?? 0) <= nowMs
    );
    const sameDomain = usable.filter((member) => member.domainId === domainId);
    const preferred = sameDomain.length > 0 ? sameDomain : usable;
    if (preferred.length === 0) return [];
    pullFrom = preferred[random.nextInt(preferred.length)]!.instanceId;
    return [{ kind: "pull", from: pullFrom }];
  }

  function getKnownRevision(instanceId: InstanceId): number {
    return knownRevisions.get(instanceId) ?? 0;
  }

  function setKnownRevision(instanceId: InstanceId, revision: number): void {
    knownRevisions.set(instanceId, revision);
    highestSeenRevision = Math.max(highestSeenRevision, revision);
  }

  function removeUnlisted(nowMs: number): void {
    if (nowMs - lastRemovalAtMs < removalIntervalMs) return;
    lastRemovalAtMs = nowMs;
    const listed = new Set(
      options.listMembers().map((member) => member.instanceId),
    );
    for (const instanceId of knownRevisions.keys()) {
      if (listed.has(instanceId)) continue;
      knownRevisions.delete(instanceId);
      lastPushes.delete(instanceId);
      retryAtMs.delete(instanceId);
    }
  }
}
