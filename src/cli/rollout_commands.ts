/**
 * Commands that show version rollouts and explain their decisions.
 */
import { Command, Option } from "clipanion";
import type { RolloutExplanation } from "../control/rollouts/explain_rollout.ts";
import { type AdminClient, ExitCode } from "./admin_client.ts";
import { AdminCommand, exitCodeDetails, formatTable } from "./admin_command.ts";

const category = "Rollouts";

export class RolloutListCommand extends AdminCommand {
  static override paths = [["rollout", "list"]];
  static override usage = Command.Usage({
    category,
    description: "List version rollouts with their phase and share.",
    details: exitCodeDetails,
    examples: [["As a table", "apricotyoke rollout list"]],
  });

  async run(client: AdminClient): Promise<ExitCode> {
    return await client.get("/rollouts").match(
      (body) =>
        this.print(body, () =>
          formatTable(
            ["SERVICE", "FROM", "TO", "TARGET", "PHASE", "SHARE", "REASON"],
            getRollouts(body).map((rollout) => [
              rollout.service,
              rollout.stableVersion,
              rollout.candidateVersion,
              new Date(rollout.targetAtWallMs).toISOString(),
              rollout.phase,
              `${(rollout.share * 100).toFixed(1)}%`,
              rollout.reason,
            ]),
          )),
      (error) => this.fail(error),
    );
  }
}

export class RolloutExplainCommand extends AdminCommand {
  static override paths = [["rollout", "explain"]];
  static override usage = Command.Usage({
    category,
    description: "Explain the rollouts of a service with their figures.",
    details: exitCodeDetails,
    examples: [["Of one service", "apricotyoke rollout explain taller-lm"]],
  });

  service = Option.String({ name: "SERVICE", required: true });

  async run(client: AdminClient): Promise<ExitCode> {
    return await client.get("/rollouts").match(
      (body) => {
        const rollouts = getRollouts(body).filter((rollout) =>
          rollout.service === this.service
        );
        return this.print({ rollouts }, () => rollouts.flatMap(explain));
      },
      (error) => this.fail(error),
    );
  }
}

function getRollouts(body: unknown): readonly RolloutExplanation[] {
  return (body as { rollouts: RolloutExplanation[] }).rollouts;
}

function explain(rollout: RolloutExplanation): string[] {
  const figures = rollout.figures.map((figure) => [
    figure.scope,
    figure.metric,
    String(figure.candidateCount),
    String(figure.candidateBadCount),
    figure.normalBadCount.toFixed(1),
    figure.highestStatisticLog.toFixed(2),
  ]);
  return [
    `${rollout.service} ${rollout.stableVersion} to ` +
    `${rollout.candidateVersion}: ${rollout.summary}`,
    ...rollout.missingEvidence.map((gap) => `  missing: ${gap}`),
    ...formatTable(
      ["SCOPE", "METRIC", "OUTCOMES", "BAD", "NORMAL BAD", "LOG STATISTIC"],
      figures,
    ),
  ];
}
