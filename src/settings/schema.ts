/**
 * Schema of the daemon's settings file. `docs/settings.md` explains each field.
 *
 * Objects are strict: an unknown key is rejected, so that a misspelt field is
 * detected at start-up.
 */
import * as z from "zod";
import { callerLimitsSchema } from "../core/caller_limits.ts";
import { pricesSchema } from "../reports/usage.ts";
import { LogLevel } from "../core/log_events.ts";
import { strictFields } from "../core/strict_fields.ts";

export const idSchema = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "must be lower-case letters, digits and dashes, at most 63 characters",
);
const portSchema = z.int().min(0).max(65535);
export const durationMsSchema = z.int().min(1).max(86_400_000);
const hashSchema = z.string().regex(
  /^[0-9a-f]{64}$/,
  "must be a SHA-256 hash as 64 hexadecimal digits",
);

const listenSchema = strictFields({
  host: z.string().min(1),
  port: portSchema,
});

export const peerKeySchema = strictFields({
  keyId: idSchema,
  /** Hexadecimal pre-shared key of at least 128 bits. */
  keyHex: z.string().regex(
    /^([0-9a-f]{2}){16,64}$/,
    "must be 16 to 64 bytes in hexadecimal",
  ),
});

const customerSchema = strictFields({
  customerId: idSchema,
  tokenSha256: z.array(hashSchema).min(1),
  weight: z.number().positive().max(1000).default(1),
});

const operatorSchema = strictFields({
  operatorId: idSchema,
  tokenSha256: z.array(hashSchema).min(1),
});

export const routeSchema = strictFields({
  method: z.enum(["GET", "POST", "PUT", "PATCH", "DELETE"]),
  pathPrefix: z.string().startsWith("/"),
  idempotent: z.boolean(),
});

const modelServiceSchema = strictFields({
  kind: z.literal("model"),
  service: idSchema,
  stableVersion: idSchema,
  checksFencing: z.boolean().default(true),
});

const applicationServiceSchema = strictFields({
  kind: z.literal("application"),
  service: idSchema,
  routes: z.array(routeSchema).min(1),
  timeoutMs: durationMsSchema.default(10_000),
});

export const serviceSchema = z.discriminatedUnion("kind", [
  modelServiceSchema,
  applicationServiceSchema,
]);

const answersSchema = strictFields({
  retentionMs: durationMsSchema.default(600_000),
  maxCopyBytes: z.int().min(1_048_576).default(536_870_912),
  copyTimeoutMs: durationMsSchema.default(500),
  maxTokens: z.int().min(1).max(1_000_000).default(65_536),
  deadlineMs: durationMsSchema.default(1_800_000),
  /** A streamed answer that nobody has read for this long is cancelled. */
  abandonedAfterMs: durationMsSchema.default(120_000),
}).prefault({});

const limitsSchema = strictFields({
  maxOpenAnswers: z.int().min(1).default(2_000),
  maxBodyBytes: z.int().min(1024).max(16_777_216).default(1_048_576),
  /** Maximum retries, hedges and resumes as a ratio of useful work. */
  retryBudgetRatio: z.number().min(0).max(1).default(0.1),
  maxTokensPerS: z.number().positive().default(6_000),
  maxQueueLength: z.int().min(1).default(500),
  maxQueueWaitMs: durationMsSchema.default(5_000),
  /** Blocks in the cache index of all engines, about 100 bytes each. */
  maxCacheIndexBlocks: z.int().min(1_000).default(100_000),
}).prefault({});

const membershipSchema = strictFields({
  listUrl: z.url(),
  pollIntervalMs: durationMsSchema.default(500),
  heartbeatIntervalMs: durationMsSchema.default(250),
  lostAfterMs: durationMsSchema.default(1_200),
});

const controlSchema = strictFields({
  dataFolder: z.string().min(1),
  /** Target number of voters; by default 3, or all if there are fewer. */
  voterCount: z.int().min(1).max(7).optional(),
  electionTimeoutMs: durationMsSchema.min(100).default(600),
  /** An unreachable voter is replaced by a learner after this time. */
  replaceVoterAfterMs: durationMsSchema.default(10_000),
});

export const settingsSchema = strictFields({
  instanceId: idSchema,
  domainId: idSchema,
  callers: listenSchema,
  peers: strictFields({
    ...listenSchema.shape,
    /** The first key is used for outgoing connections; all are accepted. */
    keys: z.array(peerKeySchema).min(1).max(8),
  }),
  membership: membershipSchema,
  /** Instances with disks that store the control log. */
  controlInstanceIds: z.array(idSchema).min(1).max(16),
  control: controlSchema.optional(),
  customers: z.array(customerSchema).min(1),
  operators: z.array(operatorSchema).min(1),
  services: z.array(serviceSchema).min(1),
  answers: answersSchema,
  limits: limitsSchema,
  callerLimits: callerLimitsSchema,
  metrics: listenSchema.optional(),
  prices: pricesSchema.prefault({}),
  weightStore: strictFields({
    /** Total rate at which all engines together may load. */
    rateBytesPerS: z.number().positive().default(1_000_000_000),
    /** Size of the weights of one version. */
    weightBytes: z.number().positive().default(16_000_000_000),
  }).prefault({}),
  log: strictFields({
    level: z.enum(LogLevel).default(LogLevel.Info),
    format: z.enum(["json", "text"]).default("json"),
  }).prefault({}),
}).superRefine((settings, context) => {
  const isControl = settings.controlInstanceIds.includes(settings.instanceId);
  if (isControl && !settings.control) {
    context.addIssue({
      code: "custom",
      path: ["control"],
      message: "is required: controlInstanceIds names this instance",
    });
  }
  if (!isControl && settings.control) {
    context.addIssue({
      code: "custom",
      path: ["control"],
      message: "must be absent: controlInstanceIds does not name this instance",
    });
  }
  addControlIssues();
  const { heartbeatIntervalMs, lostAfterMs } = settings.membership;
  if (lostAfterMs < 3 * heartbeatIntervalMs) {
    context.addIssue({
      code: "custom",
      path: ["membership", "lostAfterMs"],
      message: "must be at least three times heartbeatIntervalMs",
    });
  }
  addDuplicateIssues(settings.customers.map((c) => c.customerId), "customers");
  addDuplicateIssues(settings.services.map((s) => s.service), "services");

  function addControlIssues(): void {
    const { control, controlInstanceIds } = settings;
    addDuplicateIssues(controlInstanceIds, "controlInstanceIds");
    if (!control) return;
    if ((control.voterCount ?? 1) > controlInstanceIds.length) {
      context.addIssue({
        code: "custom",
        path: ["control", "voterCount"],
        message: "must not exceed the number of controlInstanceIds",
      });
    }
    if (control.replaceVoterAfterMs < 3 * control.electionTimeoutMs) {
      context.addIssue({
        code: "custom",
        path: ["control", "replaceVoterAfterMs"],
        message: "must be at least three times electionTimeoutMs",
      });
    }
  }

  function addDuplicateIssues(names: readonly string[], path: string): void {
    names.forEach((name, index) => {
      if (names.indexOf(name) === index) return;
      context.addIssue({
        code: "custom",
        path: [path, index],
        message: `"${name}" is listed twice`,
      });
    });
  }
});

export type Settings = z.output<typeof settingsSchema>;
export type ServiceSettings = z.output<typeof serviceSchema>;
export type ModelService = z.output<typeof modelServiceSchema>;
export type ApplicationService = z.output<typeof applicationServiceSchema>;
