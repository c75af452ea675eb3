/**
 * The listed upstreams as control instances distribute them: a full list with a
 * revision, and the changes between revisions. The high digits of a revision
 * are the term of the leader that read the list, so that it also increases when
 * another instance becomes leader and reads the list.
 */
import * as z from "zod";

const idSchema = z.string().min(1).max(200);

export const listedUpstreamSchema = z.object({
  upstreamId: idSchema,
  service: idSchema,
  host: z.string().min(1).max(200),
  port: z.int().min(1).max(65535),
  domainId: idSchema,
  version: z.string().max(200),
  /** Requests that the upstream runs concurrently; 0 if not listed. */
  maxRunning: z.int().min(0),
  isLeaving: z.boolean(),
  /** Whether the upstream is still slow after its start. */
  isCold: z.boolean(),
  /** Share of the service's requests that its version may receive, 0 to 1. */
  versionShare: z.number().min(0).max(1),
});

export type ListedUpstream = z.output<typeof listedUpstreamSchema>;

export const upstreamUpdateSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("full"),
    revision: z.int().min(0),
    upstreams: z.array(listedUpstreamSchema).max(100_000),
  }),
  z.object({
    kind: z.literal("changes"),
    fromRevision: z.int().min(0),
    revision: z.int().min(0),
    changed: z.array(listedUpstreamSchema).max(100_000),
    removedIds: z.array(idSchema).max(100_000),
  }),
]);

export type UpstreamUpdate = z.output<typeof upstreamUpdateSchema>;

export interface UpstreamView {
  getRevision(): number;
  list(): readonly ListedUpstream[];
  /** Applies a list that this instance read; returns whether it differs. */
  recordList(upstreams: readonly ListedUpstream[], term: number): boolean;
  /** Applies an update if it is newer and full or based on this revision. */
  tryApply(update: UpstreamUpdate): boolean;
  getUpdate(fromRevision: number): UpstreamUpdate;
}

interface Change {
  readonly fromRevision: number;
  readonly revision: number;
  readonly upstreamIds: readonly string[];
}

/** Upper bound of the number of revisions within one term. */
const revisionsPerTerm = 1_000_000;
/** Covers some minutes of changes; older receivers get the full list. */
const maxChangeCount = 200;

export function createUpstreamView(): UpstreamView {
  let upstreams = new Map<string, ListedUpstream>();
  let revision = 0;
  let changes: Change[] = [];
  return {
    getRevision: () => revision,
    list: () => [...upstreams.values()],
    recordList,
    tryApply,
    getUpdate,
  };

  function recordList(
    listed: readonly ListedUpstream[],
    term: number,
  ): boolean {
    const next = new Map(listed.map((entry) => [entry.upstreamId, entry]));
    const upstreamIds = [
      ...listed.filter((entry) =>
        !isSameUpstream(entry, upstreams.get(entry.upstreamId))
      ).map(({ upstreamId }) => upstreamId),
      ...[...upstreams.keys()].filter((id) => !next.has(id)),
    ];
    if (upstreamIds.length === 0 && revision > 0) return false;
    const fromRevision = revision;
    upstreams = next;
    revision = Math.max(revision + 1, term * revisionsPerTerm);
    recordChange({ fromRevision, revision, upstreamIds });
    return true;
  }

  function tryApply(update: UpstreamUpdate): boolean {
    if (update.revision <= revision) return false;
    if (update.kind === "full") {
      upstreams = new Map(
        update.upstreams.map((entry) => [entry.upstreamId, entry]),
      );
      revision = update.revision;
      changes = [];
      return true;
    }
    if (update.fromRevision !== revision) return false;
    for (const upstreamId of update.removedIds) upstreams.delete(upstreamId);
    for (const entry of update.changed) upstreams.set(entry.upstreamId, entry);
    revision = update.revision;
    recordChange({
      fromRevision: update.fromRevision,
      revision,
      upstreamIds: [
        ...update.removedIds,
        ...update.changed.map(({ upstreamId }) => upstreamId),
      ],
    });
    return true;
  }

  function recordChange(change: Change): void {
    changes.push(change);
    if (changes.length > maxChangeCount) changes.shift();
  }

  function getUpdate(fromRevision: number): UpstreamUpdate {
    const first = changes.findIndex((entry) =>
      entry.fromRevision === fromRevision
    );
    if (first < 0) {
      return { kind: "full", revision, upstreams: [...upstreams.values()] };
    }
    const ids = new Set(
      changes.slice(first).flatMap(({ upstreamIds }) => upstreamIds),
    );
    const changed = [...ids].flatMap((id) => upstreams.get(id) ?? []);
    const removedIds = [...ids].filter((id) => !upstreams.has(id));
    return { kind: "changes", fromRevision, revision, changed, removedIds };
  }
}

function isSameUpstream(
  left: ListedUpstream,
  right: ListedUpstream | undefined,
): boolean {
  return right !== undefined &&
    left.service === right.service && left.host === right.host &&
    left.port === right.port && left.domainId === right.domainId &&
    left.version === right.version && left.maxRunning === right.maxRunning &&
    left.isLeaving === right.isLeaving && left.isCold === right.isCold &&
    left.versionShare === right.versionShare;
}
