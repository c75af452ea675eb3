/**
 * The forwarding table: the routes of requests that entry instances accept, the
 * services that run them, and the customers. It is one object of the
 * configuration, so a change replaces the table atomically.
 */
import * as z from "zod";
import { intInRange, strictFields } from "../core/strict_fields.ts";
import { maxPriority } from "./request_priority.ts";

export enum RequestKind {
  /** May run more than once. */
  Safe = "safe",
  /** Runs at most once. */
  Unsafe = "unsafe",
  /** The response is a stream of numbered events. */
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
  /** Maximum time from the arrival of a request to the end of its response. */
  timeoutMs: intInRange(1, dayMs),
  /** Latency objective: a response within this time has its full value. */
  objectiveMs: z.number().min(0).max(dayMs),
  /** 0 is the most urgent. */
  priority: z.int().min(0).max(maxPriority),
  targets: z.array(routeTargetSchema).min(1).max(100),
  /** Maximum number of attempts that run or may have run, per request. */
  maxAttempts: z.int().min(1).max(1_000),
  /** Served without an API key. */
  isPublic: z.boolean(),
  /** A stream may be resumed at another upstream after its last event. */
  isResumable: z.boolean(),
  /** Longest gap between two events that still meets the objective. */
  maxEventGapMs: z.number().min(0).max(dayMs).nullable(),
});

/** Capabilities and capacity of a service's model engines. */
export const engineTraitsSchema = strictFields({
  maxRunning: z.int().min(1),
  memoryTokens: z.number().positive(),
  tokenBytes: z.number().min(0),
  linkMbps: z.number().min(0),
  canMove: z.boolean(),
  canBackUp: z.boolean(),
  tokensPerEvent: z.number().positive(),
  /** How long an engine keeps a KV cache copy after its last update. */
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
  /** Goes before the route's priority unless null. */
  priority: z.int().min(0).max(maxPriority).nullable(),
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
  /** Empty if requests need no API key. */
  customers: z.array(forwardingCustomerSchema).max(100_000),
  limits: callerLimitsSchema,
});

export type ForwardingRoute = z.output<typeof forwardingRouteSchema>;
export type ForwardingService = z.output<typeof forwardingServiceSchema>;
export type EngineTraits = z.output<typeof engineTraitsSchema>;
export type ForwardingCustomer = z.output<typeof forwardingCustomerSchema>;
export type CallerLimits = z.output<typeof callerLimitsSchema>;
export type ForwardingTable = z.output<typeof forwardingTableSchema>;

/** Node rejects larger headers before the table's limit is checked. */
export const maxParsedHeaderBytes = 64 * 1024;

/** Name of the table in the configuration that entry instances serve. */
export const forwardingTableName = "default";
