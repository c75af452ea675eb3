/**
 * Command that shows what happened to one answer.
 */
import { Command, Option } from "clipanion";
import type { AnswerRecord } from "../answers/answer_history.ts";
import { type AdminClient, ExitCode } from "./admin_client.ts";
import { AdminCommand, exitCodeDetails, formatTable } from "./admin_command.ts";

export class ExplainCommand extends AdminCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    category: "Reports",
    description: "Show what happened to one answer.",
    details: exitCodeDetails,
    examples: [["By its id", "apricotyoke explain ans_..."]],
  });

  answerId = Option.String({ name: "ANSWER_ID", required: true });

  async run(client: AdminClient): Promise<ExitCode> {
    const path = `/answers/${encodeURIComponent(this.answerId)}`;
    return await client.get(path).match(
      (body) =>
        this.print(
          body,
          () => (body as { records: AnswerRecord[] }).records.flatMap(format),
        ),
      (error) => this.fail(error),
    );
  }
}

function format(record: AnswerRecord): string[] {
  const state = record.isEnded ? `ended (${record.endReason})` : "running";
  const rows = record.history.map((entry) => [
    new Date(entry.atWallMs).toISOString(),
    String(entry.position),
    entry.kind,
    entry.detail,
  ]);
  return [
    `${record.role} ${record.instanceId}: ${record.service} ` +
    `${record.version}, customer ${record.customerId}, ${state}`,
    `  ${record.tokenCount} tokens, ${record.releasedCount} released, ` +
    `${record.duplicatedTokens} duplicated, ${record.refilledTokens} ` +
    `prefilled again, ${record.unreplicatedTokens} unreplicated`,
    ...(rows.length === 0
      ? []
      : formatTable(["TIME", "POSITION", "EVENT", "DETAIL"], rows)),
  ];
}
