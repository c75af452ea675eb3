/**
 * Messages between instances: one request and one reply type per kind.
 *
 * Requests are validated against these schemas on arrival. Replies are
 * validated in the same way, although their sender holds the pre-shared key.
 */
import * as z from "zod";
import {
  configurationPullReplySchema,
  configurationPullSchema,
  configurationPushReplySchema,
  configurationPushSchema,
} from "../control/configuration_replica.ts";
import {
  syncRolloutsReplySchema,
  syncRolloutsSchema,
} from "../control/rollouts/rollout_messages.ts";
import { answerRecordSchema } from "../answers/answer_history.ts";
import { InstanceState } from "../core/types.ts";
import { FinishReason } from "../core/types.ts";
import { answerReportSchema } from "../control/moves/answer_reports.ts";
import {
  crashReportSchema,
  quarantineNoticeSchema,
} from "../quarantine/quarantine_types.ts";
import { RepeatUrgency } from "../limits/repeat_window.ts";
import { engineLoadSummarySchema } from "../upstreams/engine_load_summary.ts";
import { upstreamUpdateSchema } from "../upstreams/upstream_view.ts";
import { logEnvelopeSchema } from "./control_log_messages.ts";

const idSchema = z.string().min(1).max(200);
const positionSchema = z.int().min(0).max(10_000_000);
const tokensSchema = z.array(z.string().max(4_096)).max(100_000);

export enum PeerCallKind {
  Heartbeat = "heartbeat",
  CopyBatch = "copyBatch",
  ReadAnswer = "readAnswer",
  TakeOver = "takeOver",
  Propose = "propose",
  PushConfiguration = "pushConfiguration",
  PullConfiguration = "pullConfiguration",
  SyncRollouts = "syncRollouts",
  DescribeAnswer = "describeAnswer",
  LogMessage = "logMessage",
  PullUpstreams = "pullUpstreams",
  GrantRepeats = "grantRepeats",
}

export const attemptSchema = z.object({
  attemptNumber: z.int().min(0),
  instanceId: idSchema,
});

const spanSchema = z.object({
  ...attemptSchema.shape,
  fromPosition: positionSchema,
});

const endSchema = z.object({
  reason: z.enum(FinishReason),
  tokenCount: positionSchema,
  errorMessage: z.string().max(2_000),
});

export const generationRequestSchema = z.object({
  model: idSchema,
  adapter: z.string().max(200),
  prompt: z.string(),
  maxTokens: z.int().min(1),
  route: z.string().max(200),
  priority: z.int(),
});

export const answerMetaSchema = z.object({
  customerId: idSchema,
  request: generationRequestSchema,
  version: z.string().max(200),
  createdAtWallMs: z.number(),
  deadlineAtWallMs: z.number(),
  isStreaming: z.boolean(),
});

export const heartbeatSchema = z.object({
  instanceId: idSchema,
  domainId: idSchema,
  host: z.string().max(200),
  peerPort: z.int().min(0).max(65535),
  state: z.enum(InstanceState),
  incarnation: z.number(),
  revision: z.int().min(0),
  /** This and the following fields are used with membership through seeds. */
  isControl: z.boolean().optional(),
  /** Revision of the sender's upstream view. */
  upstreamsRevision: z.int().min(0).optional(),
  /** Time since the read of the list that last confirmed the view. */
  upstreamsAgeMs: z.number().min(0).optional(),
  /** Control instances that the sender can reach. */
  controlIds: z.array(idSchema).max(100).optional(),
  /** Number of entry instances that the sender can reach. */
  entryCount: z.int().min(0).optional(),
  /** The sender's load summary; in a reply, the sum of all other instances. */
  engineNews: engineLoadSummarySchema.optional(),
  /** Answers by version, while a service has several versions. */
  answerReport: answerReportSchema.optional(),
  /** Crashes of engines that an entry instance observed. */
  crashReport: crashReportSchema.optional(),
  /** Revision of the quarantine at an entry instance. */
  quarantineRevision: z.int().min(0).optional(),
  /** The reply of a control instance to these two fields. */
  quarantine: quarantineNoticeSchema.optional(),
});

/**
 * New tokens of one answer for its replica. `owner` fences off earlier owners.
 * `meta` and `lineage` are present if the replica may lack them.
 */
export const copyUpdateSchema = z.object({
  answerId: idSchema,
  owner: attemptSchema,
  /** Increases with every reset; a higher value replaces the copy. */
  generation: z.int().min(0),
  fromPosition: positionSchema,
  tokens: tokensSchema,
  lineage: z.array(spanSchema).max(10_000).optional(),
  meta: answerMetaSchema.optional(),
  end: endSchema.optional(),
});

export enum CopyStatus {
  Held = "held",
  /** The replica lacks earlier tokens, so the owner sends the complete copy. */
  Incomplete = "incomplete",
  Superseded = "superseded",
  Full = "full",
}

export const copyResultSchema = z.object({
  answerId: idSchema,
  /** Generation of the held copy. */
  generation: z.int().min(0),
  status: z.enum(CopyStatus),
  nextPosition: positionSchema,
  isEnded: z.boolean(),
});

export enum ReadStatus {
  Tokens = "tokens",
  /** The sender holds a copy of the answer, and `ownerId` names its owner. */
  HeldCopy = "heldCopy",
  NotHeld = "notHeld",
  Diverged = "diverged",
  Forbidden = "forbidden",
}

export const readAnswerSchema = z.object({
  answerId: idSchema,
  customerId: idSchema,
  fromPosition: positionSchema,
  /** Attempt of the last token that the caller has, to check the lineage. */
  lastAttempt: attemptSchema.optional(),
  waitMs: z.int().min(0).max(30_000),
});

export const readReplySchema = z.object({
  status: z.enum(ReadStatus),
  ownerId: z.string().max(200),
  /** Ownership epoch and number of tokens held, to choose the best copy. */
  ownerNumber: z.int().min(0),
  heldCount: positionSchema,
  tokens: tokensSchema,
  lineage: z.array(spanSchema),
  end: endSchema.optional(),
});

export const takeOverSchema = z.object({
  answerId: idSchema,
  customerId: idSchema,
});

export const takeOverReplySchema = z.object({
  isHeld: z.boolean(),
  ownerId: z.string().max(200),
});

export const proposeSchema = z.object({ command: z.unknown() });

/** `leaderId` is the instance to try next if the sender is not the leader. */
export const proposeReplySchema = z.object({
  isLeader: z.boolean(),
  leaderId: z.string().max(200),
  result: z.unknown(),
});

/** Asks the control leader for repeats of requests to a service. */
const grantRepeatsSchema = z.object({
  service: idSchema,
  units: z.int().min(1).max(1_000),
  urgency: z.enum(RepeatUrgency),
});

/** `leaderId` is the instance to ask if the sender is not the leader. */
const grantRepeatsReplySchema = z.object({
  isLeader: z.boolean(),
  leaderId: z.string().max(200),
  granted: z.int().min(0).max(1_000),
});

export const peerCalls = {
  [PeerCallKind.Heartbeat]: {
    request: heartbeatSchema,
    reply: heartbeatSchema,
  },
  [PeerCallKind.CopyBatch]: {
    request: z.object({ updates: z.array(copyUpdateSchema).max(10_000) }),
    reply: z.object({ results: z.array(copyResultSchema) }),
  },
  [PeerCallKind.ReadAnswer]: {
    request: readAnswerSchema,
    reply: readReplySchema,
  },
  [PeerCallKind.TakeOver]: {
    request: takeOverSchema,
    reply: takeOverReplySchema,
  },
  [PeerCallKind.Propose]: {
    request: proposeSchema,
    reply: proposeReplySchema,
  },
  [PeerCallKind.PushConfiguration]: {
    request: configurationPushSchema,
    reply: configurationPushReplySchema,
  },
  [PeerCallKind.PullConfiguration]: {
    request: configurationPullSchema,
    reply: configurationPullReplySchema,
  },
  [PeerCallKind.SyncRollouts]: {
    request: syncRolloutsSchema,
    reply: syncRolloutsReplySchema,
  },
  [PeerCallKind.DescribeAnswer]: {
    request: z.object({ answerId: idSchema }),
    reply: z.object({ records: z.array(answerRecordSchema).max(10) }),
  },
  [PeerCallKind.LogMessage]: {
    request: logEnvelopeSchema,
    reply: z.object({}),
  },
  [PeerCallKind.PullUpstreams]: {
    request: z.object({ revision: z.int().min(0) }),
    reply: z.object({ update: upstreamUpdateSchema }),
  },
  [PeerCallKind.GrantRepeats]: {
    request: grantRepeatsSchema,
    reply: grantRepeatsReplySchema,
  },
} as const;

export type PeerCalls = typeof peerCalls;
export type PeerRequest<K extends PeerCallKind> = z.output<
  PeerCalls[K]["request"]
>;
export type PeerReply<K extends PeerCallKind> = z.output<
  PeerCalls[K]["reply"]
>;

export type AnswerMeta = z.output<typeof answerMetaSchema>;
export type CopyUpdate = z.output<typeof copyUpdateSchema>;
export type CopyResult = z.output<typeof copyResultSchema>;
export type Heartbeat = z.output<typeof heartbeatSchema>;
export type ReadRequest = z.output<typeof readAnswerSchema>;
export type TakeOverReply = z.output<typeof takeOverReplySchema>;
export type ReadReply = z.output<typeof readReplySchema>;
