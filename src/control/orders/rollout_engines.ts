/**
 * Converts rollouts into the desired content of engines, and the reported
 * content of engines into the engine lists of rollouts.
 */
import type { UpstreamInfo } from "../../core/types.ts";
import type { CurrentRollout } from "../rollouts/rollout_table.ts";
import { RolloutPhase } from "../rollouts/rollout_types.ts";
import type { EngineContent } from "./engine_orders.ts";
import type { DesiredEngine } from "./order_task.ts";

export type ReportedEngines = ReadonlyMap<string, EngineContent>;

export interface RolloutEngines {
  readonly rolloutId: string;
  readonly stableEngineIds: readonly string[];
  readonly candidateEngineIds: readonly string[];
}

export interface EngineInput {
  readonly rollouts: readonly CurrentRollout[];
  readonly engines: readonly UpstreamInfo[];
  readonly reported: ReportedEngines;
  isFenced(service: string): boolean;
}

/**
 * Engines keep the stable version next to the candidate until the rollout is
 * closed.
 */
export function getDesiredEngines(input: EngineInput): DesiredEngine[] {
  return listLatest(input.rollouts).flatMap((rollout) => {
    const { spec, phase, isStableNeeded } = rollout;
    if (phase === RolloutPhase.Planned) return [];
    const engines = input.engines.filter((engine) =>
      engine.service === spec.service
    );
    const chosenIds = new Set(chooseCandidateIds(rollout, {
      engineIds: engines.map((engine) => engine.upstreamId),
      reported: input.reported,
    }));
    return engines.map(({ upstreamId, baseUrl }): DesiredEngine => ({
      upstreamId,
      baseUrl,
      checksFencing: input.isFenced(spec.service),
      content: {
        versions: [
          ...(isStableNeeded ? [spec.stableVersion] : []),
          ...(chosenIds.has(upstreamId) ? [spec.candidateVersion] : []),
        ],
        adapters: input.reported.get(upstreamId)?.adapters ?? [],
        role: input.reported.get(upstreamId)?.role ?? "",
      },
    }));
  });
}

/** Engines with the candidate remain selected, so that no load is wasted. */
function chooseCandidateIds(
  { spec, candidateEngineCount }: CurrentRollout,
  { engineIds, reported }: {
    engineIds: readonly string[];
    reported: ReportedEngines;
  },
): string[] {
  const isLoaded = (id: string) =>
    reported.get(id)?.versions.includes(spec.candidateVersion) === true;
  const sorted = [...engineIds].sort();
  return [
    ...sorted.filter(isLoaded),
    ...sorted.filter((id) => !isLoaded(id)),
  ].slice(0, candidateEngineCount);
}

export function getRolloutEngines(input: EngineInput): RolloutEngines[] {
  return listLatest(input.rollouts)
    .filter(({ phase }) =>
      phase === RolloutPhase.Loading || phase === RolloutPhase.Ramping ||
      phase === RolloutPhase.Done
    )
    .map(({ spec }) => {
      const ids = input.engines
        .filter((engine) => engine.service === spec.service)
        .map((engine) => engine.upstreamId);
      const candidateEngineIds = ids.filter((id) =>
        input.reported.get(id)?.versions.includes(spec.candidateVersion)
      );
      return {
        rolloutId: spec.rolloutId,
        candidateEngineIds,
        stableEngineIds: ids.filter((id) => !candidateEngineIds.includes(id)),
      };
    });
}

function listLatest(rollouts: readonly CurrentRollout[]): CurrentRollout[] {
  const latest = new Map<string, CurrentRollout>();
  for (const rollout of rollouts) latest.set(rollout.spec.service, rollout);
  return [...latest.values()];
}
