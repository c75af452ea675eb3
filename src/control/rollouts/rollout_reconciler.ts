/**
 * Reconciles the rollouts of the replicated state with those in the
 * configuration: returns the commands that start and cancel rollouts.
 */
import type { Configuration, ServiceVersions } from "../configuration.ts";
import { getTargetWallMs, lookUp } from "../configuration.ts";
import { type RolloutCommand, RolloutCommandKind } from "./rollout_commands.ts";
import type { RolloutTable } from "./rollout_table.ts";
import { RolloutPhase } from "./rollout_types.ts";

export interface WeightStore {
  /** Rate at which weights are loaded, by one engine at a time. */
  readonly rateBytesPerS: number;
  /** Size of the weights of one version. */
  readonly weightBytes: number;
}

export interface RolloutReconcilerInput {
  readonly configuration: Configuration;
  readonly table: Pick<RolloutTable, "listAll" | "explain">;
  readonly weightStore: WeightStore;
  readonly nowWallMs: number;
  getEngineCount(service: string): number;
}

/** Separates the parts of a rollout id; service names contain no slash. */
const separator = "/";

export function reconcileRollouts(
  input: RolloutReconcilerInput,
): RolloutCommand[] {
  const { configuration, table, nowWallMs } = input;
  const desired = new Map(
    Object.entries(configuration.rollouts).map(([service, rollout]) => {
      const { candidateVersion, targetDate } = rollout;
      const rolloutId = [service, candidateVersion, targetDate].join(separator);
      return [rolloutId, { service, rollout }];
    }),
  );
  const cancelled = table.listAll()
    .filter(({ spec, phase }) =>
      spec.rolloutId.includes(separator) && !desired.has(spec.rolloutId) &&
      isRunning(phase)
    )
    .map(({ spec }): RolloutCommand => ({
      kind: RolloutCommandKind.Cancel,
      rolloutId: spec.rolloutId,
      atWallMs: nowWallMs,
    }));
  const started = [...desired].flatMap(([rolloutId, { service, rollout }]) => {
    const stableVersion = getStableVersion(
      lookUp(configuration.versions, service),
    );
    const engineCount = input.getEngineCount(service);
    const isKnown = table.explain(rolloutId) !== undefined;
    if (isKnown || stableVersion === undefined || engineCount === 0) return [];
    return [
      {
        kind: RolloutCommandKind.Start,
        spec: {
          rolloutId,
          service,
          stableVersion,
          candidateVersion: rollout.candidateVersion,
          createdAtWallMs: nowWallMs,
          targetAtWallMs: getTargetWallMs(rollout),
          weightBytes: input.weightStore.weightBytes,
          weightStoreBytesPerS: input.weightStore.rateBytesPerS,
          engineCount,
        },
      } satisfies RolloutCommand,
    ];
  });
  return [...cancelled, ...started];
}

/**
 * A rollout that is done is not cancelled, but may be rolled back until it is
 * closed.
 */
function isRunning(phase: RolloutPhase): boolean {
  return phase === RolloutPhase.Planned || phase === RolloutPhase.Loading ||
    phase === RolloutPhase.Ramping;
}

function getStableVersion(
  versions: ServiceVersions | undefined,
): string | undefined {
  return versions?.kind === "stable" ? versions.stableVersion : undefined;
}
