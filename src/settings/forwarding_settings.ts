/**
 * Settings of an instance in a deployment where entry instances forward
 * requests and a few control instances store the configuration. Instances
 * discover each other through seeds. Routes, services and customers are not
 * settings; they are submitted as tickets.
 */
import * as z from "zod";
import { callerLimitsSchema } from "../core/caller_limits.ts";
import type { ListenAddress } from "../core/listen_on.ts";
import { LogLevel } from "../core/log_events.ts";
import { strictFields } from "../core/strict_fields.ts";
import { durationMsSchema, peerKeySchema } from "./schema.ts";

export enum InstanceRole {
  Entry = "entry",
  Control = "control",
}

const addressSchema = z.string().regex(
  /^[^:\s]+:\d{1,5}$/,
  "must be an IPv4 address and a port, such as 10.0.0.1:8080",
).transform((text): ListenAddress => {
  const colon = text.lastIndexOf(":");
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
});

const durationSSchema = z.number().positive().max(86_400);

const boundsSchema = strictFields({
  /** A listed upstream that is leaving gets no new request after this time. */
  drainMs: durationMsSchema.default(3_000),
  /** A process is killed this long after it received the signal to stop. */
  graceS: durationSSchema.default(8),
  /** Maximum retries to a service as a ratio of its requests. */
  retryRatio: z.number().min(0).max(10).default(0.1),
  /** Retries within some seconds that are allowed in addition to the ratio. */
  retrySlack: z.number().min(0).default(0),
}).prefault({});

/** What the choice between failure domains takes into account. */
const domainTrafficSchema = strictFields({
  /** Additional time of a request that runs in another failure domain. */
  roundTripMs: z.number().min(0).max(60_000).default(0),
  /** Cost of a millisecond between domains, in milliseconds of a caller's wait. */
  priceMsPerMs: z.number().min(0).max(1_000).default(1),
  /** Cost of a megabyte between domains, in milliseconds of a caller's wait. */
  priceMsPerMegabyte: z.number().min(0).max(1_000_000).default(0),
}).prefault({});

/** When an entry instance that is short of capacity refuses requests. */
const overloadSchema = strictFields({
  isEnabled: z.boolean().default(false),
  /** Part of a route's objective that a request may spend at this instance. */
  objectiveRatio: z.number().min(0.05).max(1).default(0.5),
  /** Greatest part of the requests that is refused. */
  maxRefusedRatio: z.number().min(0).max(0.9).default(0.5),
  /** Heap in use after a full collection, as a part of its limit. */
  maxHeapRatio: z.number().min(0.1).max(1).default(0.85),
  /** Bytes held for callers, as a part of the sum of `callerLimits`. */
  maxHeldRatio: z.number().min(0.1).max(1).default(0.75),
  /** Capacity of the instance's link to callers; null if it is not known. */
  linkBytesPerS: z.int().min(1_000).max(2 ** 40).nullable().default(null),
}).prefault({});

export const forwardingSettingsSchema = strictFields({
  role: z.enum(InstanceRole),
  /** The name in logs; the host address identifies the instance. */
  instanceName: z.string().min(1).max(200),
  host: z.string().min(1).max(200),
  domainId: z.string().min(1).max(200),
  /** Must be the same on all instances. */
  peerPort: z.int().min(0).max(65_535),
  peerKeys: z.array(peerKeySchema).min(1).max(8),
  /** Control instances that an instance contacts first. */
  seeds: z.array(addressSchema).min(1).max(16),
  /** Whether the deployment starts for the first time (empty data folders). */
  isFirstStart: z.boolean(),
  callers: addressSchema.nullable(),
  readiness: addressSchema.nullable(),
  operators: addressSchema.nullable(),
  metricsPort: z.int().min(0).max(65_535).nullable().default(null),
  dataFolder: z.string().min(1).nullable(),
  /** Number of control instances whose disks may be lost at the same time. */
  toleratedLosses: z.int().min(0).max(3).default(1),
  upstreamList: strictFields({
    address: addressSchema,
  }),
  heartbeatIntervalMs: durationMsSchema.default(500),
  bounds: boundsSchema,
  domainTraffic: domainTrafficSchema,
  callerLimits: callerLimitsSchema,
  overload: overloadSchema,
  log: strictFields({
    level: z.enum(LogLevel).default(LogLevel.Info),
    format: z.enum(["json", "text"]).default("json"),
  }).prefault({}),
}).superRefine((settings, context) => {
  const required = settings.role === InstanceRole.Entry
    ? ["callers", "readiness"] as const
    : ["operators", "dataFolder"] as const;
  for (const field of required) {
    if (settings[field] !== null) continue;
    context.addIssue({
      code: "custom",
      path: [field],
      message: `is required for role "${settings.role}"`,
    });
  }
});

export type ForwardingSettings = z.output<typeof forwardingSettingsSchema>;
