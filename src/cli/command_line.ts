/**
 * The commands of the operators' command-line tool `apricotyoke`.
 */
import process from "node:process";
import { Builtins, Cli } from "clipanion";
import { ExitCode } from "./admin_client.ts";
import type { ToolContext } from "./admin_command.ts";
import { ConfigCheckCommand } from "./config_check_command.ts";
import { DomainsCommand } from "./domains_command.ts";
import {
  ConfigShowCommand,
  InstancesCommand,
  StatusCommand,
  TopCommand,
  UpstreamsCommand,
} from "./state_commands.ts";
import { ExplainCommand } from "./explain_command.ts";
import { ReportBillCommand, ReportBurnCommand } from "./report_commands.ts";
import {
  RolloutExplainCommand,
  RolloutListCommand,
} from "./rollout_commands.ts";
import {
  TicketDiffCommand,
  TicketListCommand,
  TicketShowCommand,
  TicketSubmitCommand,
  TicketWaitCommand,
} from "./ticket_commands.ts";
import type { DocumentAdapter } from "./version_sources.ts";

export const cli = new Cli<ToolContext>({
  binaryName: "apricotyoke",
  binaryLabel: "apricotyoke operators' tool",
  binaryVersion: "0.1.0",
});
for (
  const command of [
    TicketSubmitCommand,
    TicketShowCommand,
    TicketListCommand,
    TicketDiffCommand,
    TicketWaitCommand,
    ConfigShowCommand,
    ConfigCheckCommand,
    DomainsCommand,
    InstancesCommand,
    UpstreamsCommand,
    StatusCommand,
    TopCommand,
    ExplainCommand,
    RolloutListCommand,
    RolloutExplainCommand,
    ReportBillCommand,
    ReportBurnCommand,
    Builtins.HelpCommand,
    Builtins.VersionCommand,
  ]
) cli.register(command);

/** Runs the command line of this process and ends the process. */
export async function runCommandLine(
  adapter: DocumentAdapter | undefined,
): Promise<never> {
  const args = process.argv.slice(2);
  // clipanion exits with 1 on an invalid command line, but 1 is `Failed` here.
  process.exit(
    isValidCommandLine(args)
      ? await cli.run(args, { ...Cli.defaultContext, adapter })
      : ExitCode.Usage,
  );
}

function isValidCommandLine(commandLineArgs: string[]): boolean {
  try {
    cli.process(commandLineArgs, { ...Cli.defaultContext });
    return true;
  } catch (cause) {
    process.stderr.write(`${cli.error(cause)}`);
    return false;
  }
}
