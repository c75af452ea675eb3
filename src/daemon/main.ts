#!/usr/bin/env node
/**
 * The daemon `apricotyoked`.
 */
import process from "node:process";
import { Builtins, Cli, Command, Option } from "clipanion";
import { getErrorMessage } from "../core/errors.ts";
import { loadSettings } from "../settings/load_settings.ts";
import { startDaemon } from "./daemon.ts";

enum ExitCode {
  Ok = 0,
  Failed = 1,
  InvalidSettings = 2,
}

class RunCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: "Run one instance of apricotyoke.",
    details: "Exit codes: 0 stopped, 1 failed, 2 invalid settings.",
    examples: [
      ["Check the settings", "apricotyoked --settings instance.json --check"],
    ],
  });

  settingsPath = Option.String("--settings", {
    required: true,
    description: "Path of the settings file.",
  });
  isCheck = Option.Boolean("--check", false, {
    description: "Check the settings and exit.",
  });

  async execute(): Promise<number> {
    const settings = loadSettings(this.settingsPath);
    if (settings.isErr()) {
      this.context.stderr.write(`${settings.error.message}\n`);
      return ExitCode.InvalidSettings;
    }
    if (this.isCheck) {
      this.context.stdout.write(`${this.settingsPath} is valid\n`);
      return ExitCode.Ok;
    }
    const daemon = await startDaemon(settings.value);
    if (daemon.isErr()) {
      this.context.stderr.write(`cannot start: ${daemon.error.message}\n`);
      return ExitCode.Failed;
    }
    const stopRequested = new Promise<void>((resolve) => {
      process.once("SIGTERM", resolve);
      process.once("SIGINT", resolve);
    });
    try {
      await Promise.race([
        stopRequested,
        daemon.value.finished.then(() => {
          throw new Error("all tasks ended");
        }),
      ]);
    } catch (cause) {
      this.context.stderr.write(`${getErrorMessage(cause)}\n`);
      return ExitCode.Failed;
    }
    await daemon.value.stop();
    return ExitCode.Ok;
  }
}

const cli = new Cli({
  binaryName: "apricotyoked",
  binaryLabel: "apricotyoke daemon",
  binaryVersion: "0.1.0",
});
cli.register(RunCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
process.exit(await cli.run(process.argv.slice(2)));
