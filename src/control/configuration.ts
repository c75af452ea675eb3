/**
 * Configuration that results from the settings file and all accepted tickets.
 * `revision` increases with every change; revision 0 is the configuration from
 * the settings file.
 *
 * Each kind of object is a map from name to complete state. A change contains
 * the objects that it replaces; `null` removes an object.
 */
import * as z from "zod";
import type { Random } from "../core/random.ts";
import {
  type ApplicationService,
  idSchema,
  type ModelService,
  routeSchema,
  type Settings,
} from "../settings/schema.ts";
import { intInRange, strictFields } from "../core/strict_fields.ts";
import { forwardingTableSchema } from "../forwarding/forwarding_table.ts";

const dayMs = 86_400_000;

export const serviceConfigurationSchema = z.discriminatedUnion("kind", [
  strictFields({
    kind: z.literal("model"),
    /** Whether the engines reject an order with a stale fencing token. */
    checksFencing: z.boolean().default(true),
  }),
  strictFields({
    kind: z.literal("application"),
    routes: z.array(routeSchema).min(1).max(1_000),
    timeoutMs: intInRange(1, dayMs).default(10_000),
  }),
], { error: 'must be an object with kind "model" or "application"' });

export const serviceVersionsSchema = z.discriminatedUnion("kind", [
  strictFields({
    kind: z.literal("stable"),
    stableVersion: idSchema,
    /** Receives only the traffic that its rollout permits. */
    candidateVersion: idSchema.nullable().default(null),
  }),
  strictFields({
    kind: z.literal("weighted"),
    /** Share of traffic per version, relative to the sum of the weights. */
    weights: z.record(idSchema, z.number().min(0).max(1_000)),
  }),
], { error: 'must be an object with kind "stable" or "weighted"' });

export const rolloutSchema = strictFields({
  candidateVersion: idSchema,
  /** Time by which all traffic must be on the candidate version. */
  targetDate: z.iso.datetime({
    offset: true,
    error: 'must be a date and time such as "2027-01-31T18:00:00Z"',
  }),
  /** Time at full traffic before the rollout completes. */
  soakMs: intInRange(0, 30 * dayMs).default(600_000),
});

export const customerLimitsSchema = strictFields({
  /** Share relative to the other customers' weights. */
  weight: z.number().positive().max(1_000).default(1),
  /** Limit on the customer's open answers over all instances. */
  maxOpenAnswers: intInRange(0, 1_000_000).nullable().default(null),
  maxRateTokensPerS: intInRange(0, 100_000_000).nullable().default(null),
});

export const retryBudgetSchema = strictFields({
  /** Retries, hedges and resumes as a share of useful work. */
  retryBudgetRatio: z.number().min(0).max(1),
});

export const leavingUpstreamSchema = strictFields({
  reason: z.string().max(500).default(""),
});

const objectSchemas = {
  services: serviceConfigurationSchema,
  versions: serviceVersionsSchema,
  rollouts: rolloutSchema,
  limits: customerLimitsSchema,
  retryBudgets: retryBudgetSchema,
  leavingUpstreams: leavingUpstreamSchema,
  forwarding: forwardingTableSchema,
} as const;

export type ObjectKind = keyof typeof objectSchemas;
export const objectKinds = Object.keys(objectSchemas) as ObjectKind[];

function createMapSchema<T extends z.ZodType>(schema: T) {
  return z.record(idSchema, schema);
}

/** Fields of a change: per kind of object, the new state or `null`. */
export const changeFields = {
  services: createMapSchema(serviceConfigurationSchema.nullable()).optional(),
  versions: createMapSchema(serviceVersionsSchema.nullable()).optional(),
  rollouts: createMapSchema(rolloutSchema.nullable()).optional(),
  limits: createMapSchema(customerLimitsSchema.nullable()).optional(),
  retryBudgets: createMapSchema(retryBudgetSchema.nullable()).optional(),
  leavingUpstreams: createMapSchema(leavingUpstreamSchema.nullable())
    .optional(),
  forwarding: createMapSchema(forwardingTableSchema.nullable()).optional(),
} as const;

export const configurationChangesSchema = strictFields(changeFields);

export const configurationSchema = strictFields({
  revision: z.int().min(0),
  services: createMapSchema(serviceConfigurationSchema),
  versions: createMapSchema(serviceVersionsSchema),
  rollouts: createMapSchema(rolloutSchema),
  limits: createMapSchema(customerLimitsSchema),
  retryBudgets: createMapSchema(retryBudgetSchema),
  leavingUpstreams: createMapSchema(leavingUpstreamSchema),
  // Absent in caches and snapshots that earlier versions have written.
  forwarding: createMapSchema(forwardingTableSchema).default({}),
});

export type ServiceConfiguration = z.output<typeof serviceConfigurationSchema>;
export type ServiceVersions = z.output<typeof serviceVersionsSchema>;
export type Rollout = z.output<typeof rolloutSchema>;
export type CustomerLimitsConfiguration = z.output<typeof customerLimitsSchema>;
export type RetryBudgetConfiguration = z.output<typeof retryBudgetSchema>;
export type ConfigurationChanges = z.output<typeof configurationChangesSchema>;
export type Configuration = z.output<typeof configurationSchema>;

/** Read access to the configuration in force at this instance. */
export interface ConfigurationView {
  getConfiguration(): Configuration;
}

/** Returns revision 0, the configuration from the settings file. */
export function getInitialConfiguration(
  settings: Pick<Settings, "services" | "customers"> & {
    readonly limits: Pick<Settings["limits"], "retryBudgetRatio">;
  },
): Configuration {
  const retryBudgetRatio = settings.limits.retryBudgetRatio;
  const configuration = getEmptyConfiguration();
  for (const { service, ...rest } of settings.services) {
    configuration.retryBudgets[service] = { retryBudgetRatio };
    if (rest.kind === "application") {
      configuration.services[service] = rest;
      continue;
    }
    const { stableVersion, ...model } = rest;
    configuration.services[service] = model;
    configuration.versions[service] = {
      kind: "stable",
      stableVersion,
      candidateVersion: null,
    };
  }
  for (const { customerId, weight } of settings.customers) {
    configuration.limits[customerId] = {
      weight,
      maxOpenAnswers: null,
      maxRateTokensPerS: null,
    };
  }
  return configuration;
}

export function getEmptyConfiguration(): Configuration {
  return {
    revision: 0,
    services: {},
    versions: {},
    rollouts: {},
    limits: {},
    retryBudgets: {},
    leavingUpstreams: {},
    forwarding: {},
  };
}

/**
 * Returns the configuration at `revision`, with the objects in `changes`
 * replaced.
 */
export function applyChanges(
  configuration: Configuration,
  changes: ConfigurationChanges,
  revision: number,
): Configuration {
  const next = { ...configuration, revision };
  for (const kind of objectKinds) {
    const replaced = changes[kind];
    if (!replaced) continue;
    const objects: Record<string, unknown> = { ...configuration[kind] };
    for (const [name, state] of Object.entries(replaced)) {
      if (state === null) delete objects[name];
      else objects[name] = state;
    }
    Object.assign(next, { [kind]: objects });
  }
  return next;
}

/**
 * Looks up an entry by name. A plain index access would also find inherited
 * properties such as `constructor`.
 */
export function lookUp<T>(
  objects: Readonly<Record<string, T>>,
  name: string,
): T | undefined {
  return Object.hasOwn(objects, name) ? objects[name] : undefined;
}

export function findModelService(
  configuration: Configuration,
  name: string,
):
  | { model: Omit<ModelService, "stableVersion">; versions: ServiceVersions }
  | undefined {
  const service = lookUp(configuration.services, name);
  const versions = lookUp(configuration.versions, name);
  if (service?.kind !== "model" || !versions) return undefined;
  return { model: { ...service, service: name }, versions };
}

export function findApplicationService(
  configuration: Configuration,
  name: string,
): ApplicationService | undefined {
  const service = lookUp(configuration.services, name);
  if (service?.kind !== "application") return undefined;
  return { ...service, service: name };
}

/** Chooses the version for a new answer if no rollout permits another one. */
export function chooseVersion(
  versions: ServiceVersions,
  random: Pick<Random, "next">,
): string {
  if (versions.kind === "stable") return versions.stableVersion;
  const weights = Object.entries(versions.weights);
  const total = weights.reduce((sum, [, weight]) => sum + weight, 0);
  let remainingWeight = random.next() * total;
  for (const [version, weight] of weights) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return version;
  }
  return weights.at(-1)![0];
}

export function getTargetWallMs(rollout: Rollout): number {
  return Date.parse(rollout.targetDate);
}
