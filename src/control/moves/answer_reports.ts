/**
 * What entry instances report of the answers of each version, as evidence for
 * version moves.
 */
import * as z from "zod";
import { latencyHistogramSchema } from "./latency_histogram.ts";

const serviceSchema = z.string().min(1).max(200);
const versionSchema = z.string().max(200);
const countSchema = z.int().min(0);

/** Service, version, number of answers, number of failures. */
export const versionAnswersSchema = z.tuple([
  serviceSchema,
  versionSchema,
  countSchema,
  countSchema,
]);

/** Totals since the start of the instance, except `waiting`. */
export const versionLatenciesSchema = z.object({
  service: serviceSchema,
  version: versionSchema,
  /** Duration of a call, or time to the first event of a stream. */
  durations: latencyHistogramSchema,
  /** Time per event at the beginning of a stream. */
  paces: latencyHistogramSchema,
  /** Time that a stream waited for its first event before it was given up. */
  abandoned: latencyHistogramSchema,
  /** Time that open streams have waited for their first event until now. */
  waiting: latencyHistogramSchema,
});

/** Typical latencies of the versions that are not in question. */
export const typicalLatenciesSchema = z.object({
  service: serviceSchema,
  durationCount: countSchema,
  durationMs: z.number().min(0),
  paceCount: countSchema,
  paceMs: z.number().min(0),
});

export const answerReportSchema = z.object({
  answers: z.array(versionAnswersSchema).max(10_000),
  latencies: z.array(versionLatenciesSchema).max(10_000),
  typical: z.array(typicalLatenciesSchema).max(10_000),
});

export type VersionAnswers = z.output<typeof versionAnswersSchema>;
export type VersionLatencies = z.output<typeof versionLatenciesSchema>;
export type TypicalLatencies = z.output<typeof typicalLatenciesSchema>;
export type AnswerReport = z.output<typeof answerReportSchema>;
