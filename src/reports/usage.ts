/**
 * Usage that instances report to control: tokens by customer, service and
 * cause, and how many events met each service-level objective.
 */
import * as z from "zod";

/** Why tokens were spent. */
export enum TokenCause {
  /** Delivered to a caller. */
  Useful = "useful",
  /** Generated a second time, by a hedge or a stale attempt. */
  Duplicated = "duplicated",
  /** Discarded when an answer was reset. */
  Discarded = "discarded",
  /** Journal tokens that an engine prefilled again for a resume. */
  Refilled = "refilled",
}

export enum Objective {
  FirstToken = "firstToken",
  TokenGap = "tokenGap",
  Resume = "resume",
  WholeAnswer = "wholeAnswer",
  ApplicationCall = "applicationCall",
}

const nameSchema = z.string().min(1).max(200);
const countSchema = z.int().min(0);

export const tokenUsageSchema = z.object({
  customerId: nameSchema,
  service: nameSchema,
  cause: z.enum(TokenCause),
  tokens: countSchema,
});

export const objectiveUsageSchema = z.object({
  service: nameSchema,
  route: nameSchema,
  objective: z.enum(Objective),
  goodCount: countSchema,
  totalCount: countSchema,
});

/**
 * One usage batch of an instance. Within an incarnation the sequence number
 * increases by one per batch, so that a resent batch is counted once.
 */
export const usageBatchSchema = z.object({
  instanceId: nameSchema,
  incarnation: z.number(),
  sequence: z.int().min(1),
  atWallMs: z.number(),
  tokens: z.array(tokenUsageSchema).max(10_000),
  objectives: z.array(objectiveUsageSchema).max(10_000),
});

/** Prices of tokens in the currency of the bill. */
export const pricesSchema = z.strictObject({
  currency: z.string().regex(/^[A-Z]{3}$/).default("USD"),
  perMillionGeneratedTokens: z.number().min(0).default(0),
  perMillionPrefilledTokens: z.number().min(0).default(0),
});

export type Prices = z.output<typeof pricesSchema>;
export type TokenUsage = z.output<typeof tokenUsageSchema>;
export type ObjectiveUsage = z.output<typeof objectiveUsageSchema>;
export type UsageBatch = z.output<typeof usageBatchSchema>;
