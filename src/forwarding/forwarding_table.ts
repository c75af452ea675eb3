/**
 * The forwarding table: which requests the entry instances accept, where they
 * may run, and on whose behalf. It is one object of the configuration, so a
 * change replaces all of it at once.
 */
import * as z from "zod";
import { intInRange, strictFields } from "../core/strict_fields.ts";

export enum RequestKind {
  /** May run more than once. */
  Safe = "safe",
  /** Runs at most once. */
  Unsafe = "unsafe",
  /** Answered by a stream of numbered events. */
  Streaming = "streaming",
}

const nameSchema = z.string().min(1).max(200);
const dayMs = 86_400_000;

export const routeTargetSchema = strictFields({
  service: nameSchema,
  weight: z.number().min(0).max(1_000_000),
});

export const forwardingRouteSchema = strictFields({
  name: z.string().max(200),
  host: nameSchema,
  /** Begins and ends with a slash. */
  pathPrefix: z.string().min(1).max(2_000),
  kind: z.enum(RequestKind),
  /** Longest time that a caller is kept waiting. */
  timeoutMs: intInRange(1, dayMs),
  /** Time within which an answer has its full value. */
  objectiveMs: z.number().min(0).max(dayMs),
  /** 0 is the most urgent. */
  priority: z.int().min(0).max(1_000),
  targets: z.array(routeTargetSchema).min(1).max(100),
  /** Upstreams that one request may be sent to. */
  maxAttempts: z.int().min(1).max(1_000),
  /** Served without a key. */
  isPublic: z.boolean(),
  /** A stream may go on at another upstream behind the last event. */
  isResumable: z.boolean(),
  /** Longest pause between two events of an answer that is on time. */
  maxEventGapMs: z.number().min(0).max(dayMs).nullable(),
});

/** What model engines of a service can do, and how large they are. */
export const engineTraitsSchema = strictFields({
  maxRunning: z.int().min(1),
  memoryTokens: z.number().positive(),
  tokenBytes: z.number().min(0),
  linkMbps: z.number().min(0),
  canMove: z.boolean(),
  canBackUp: z.boolean(),
  tokensPerEvent: z.number().positive(),
  /** How long a copy of a run's memory is kept after the last update. */
  copyTtlMs: z.number().min(0),
});

export const forwardingServiceSchema = strictFields({
  name: nameSchema,
  healthPath: z.string().max(2_000),
  maxConnections: z.int().min(1).max(1_000_000),
  engine: engineTraitsSchema.nullable(),
});

export const forwardingCustomerSchema = strictFields({
  customerId: nameSchema,
  apiKeys: z.array(z.string().min(1).max(1_000)).max(10_000),
  /** Goes before the route's priority; null leaves that in force. */
  priority: z.int().min(0).max(1_000).nullable(),
});

export const callerLimitsSchema = strictFields({
  maxHeaderBytes: z.int().min(1),
  maxBodyBytes: z.int().min(0),
  headerTimeoutMs: z.int().min(1),
  idleTimeoutMs: z.int().min(1),
});

export const forwardingTableSchema = strictFields({
  routes: z.array(forwardingRouteSchema).max(20_000),
  services: z.array(forwardingServiceSchema).max(10_000),
  /** Empty when requests need no key. */
  customers: z.array(forwardingCustomerSchema).max(100_000),
  limits: callerLimitsSchema,
});

export type ForwardingRoute = z.output<typeof forwardingRouteSchema>;
export type ForwardingService = z.output<typeof forwardingServiceSchema>;
export type EngineTraits = z.output<typeof engineTraitsSchema>;
export type ForwardingCustomer = z.output<typeof forwardingCustomerSchema>;
export type CallerLimits = z.output<typeof callerLimitsSchema>;
export type ForwardingTable = z.output<typeof forwardingTableSchema>;

/** Name of the table in the configuration that entry instances serve. */
export const forwardingTableName = "default";
