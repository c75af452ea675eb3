/**
 * Commands that show the state of the deployment.
 */
import { setTimeout as delay } from "node:timers/promises";
import { Command, Option } from "clipanion";
import type { Configuration } from "../control/configuration.ts";
import { type AdminClient, ExitCode } from "./admin_client.ts";
import { AdminCommand, exitCodeDetails, formatTable } from "./admin_command.ts";
import { formatUpstreams, type ShownUpstream } from "./upstream_rows.ts";

interface ShownInstance {
  readonly instanceId: string;
  readonly domainId: string;
  readonly state: string;
  readonly isReachable: boolean;
  readonly revision: number;
}

interface ShownStatus {
  readonly instance: { readonly instanceId: string; readonly state: string };
  readonly answers: Readonly<Record<string, unknown>>;
  readonly configuration: {
    readonly revision: number;
    readonly isKnown: boolean;
    readonly behind: readonly string[];
  };
}

const category = "State";

export class ConfigShowCommand extends AdminCommand {
  static override paths = [["config", "show"]];
  static override usage = Command.Usage({
    category,
    description: "Show the configuration in force at the instance.",
    details: exitCodeDetails,
    examples: [["As JSON", "apricotyoke config show --json"]],
  });

  async run(client: AdminClient): Promise<ExitCode> {
    return await client.get("/configuration").match(
      (body) =>
        this.print(body, () => {
          const { configuration, behind } = body as {
            configuration: Configuration;
            behind: string[];
          };
          return [
            JSON.stringify(configuration, null, 2),
            `not yet applied by: ${behind.join(", ") || "none"}`,
          ];
        }),
      (failure) => this.fail(failure),
    );
  }
}

export class InstancesCommand extends AdminCommand {
  static override paths = [["instances"]];
  static override usage = Command.Usage({
    category,
    description: "List the instances as one instance sees them.",
    details: exitCodeDetails,
    examples: [["List", "apricotyoke instances"]],
  });

  async run(client: AdminClient): Promise<ExitCode> {
    return await client.get("/instances").match(
      (body) => this.print(body, () => formatInstances(body)),
      (failure) => this.fail(failure),
    );
  }
}

export class UpstreamsCommand extends AdminCommand {
  static override paths = [["upstreams"]];
  static override usage = Command.Usage({
    category,
    description: "List the upstreams as one instance sees them.",
    details: exitCodeDetails,
    examples: [["List", "apricotyoke upstreams"]],
  });

  async run(client: AdminClient): Promise<ExitCode> {
    return await client.get("/upstreams").match(
      (body) =>
        this.print(body, () =>
          formatTable(
            [
              "UPSTREAM",
              "KIND",
              "SERVICE",
              "VERSION",
              "DOMAIN",
              "STATE",
              "OPEN",
            ],
            formatUpstreams((body as { upstreams: ShownUpstream[] }).upstreams),
          )),
      (failure) => this.fail(failure),
    );
  }
}

export class StatusCommand extends AdminCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    category,
    description: "Show the state of one instance.",
    details: exitCodeDetails,
    examples: [["Show", "apricotyoke status --url http://10.0.0.1:8080"]],
  });

  async run(client: AdminClient): Promise<ExitCode> {
    return await client.get("/status").match(
      (body) => this.print(body, () => formatStatus(body as ShownStatus)),
      (failure) => this.fail(failure),
    );
  }
}

export class TopCommand extends AdminCommand {
  static override paths = [["top"]];
  static override usage = Command.Usage({
    category,
    description: "Show the state of all instances repeatedly.",
    details: "Asks one instance, which knows the others from their " +
      "heartbeats. With --json, prints one line per round. " + exitCodeDetails,
    examples: [["Five rounds", "apricotyoke top --rounds 5 --interval-s 1"]],
  });
  intervalS = Option.String("--interval-s", "2", {
    description: "Seconds between rounds, from 0.1 to 3600.",
  });
  rounds = Option.String("--rounds", {
    description: "Number of rounds; without it, runs until interrupted.",
  });

  async run(client: AdminClient): Promise<ExitCode> {
    const intervalMs = Number(this.intervalS) * 1_000;
    const rounds = this.rounds === undefined ? Infinity : Number(this.rounds);
    if (!(intervalMs >= 100 && intervalMs <= 3_600_000)) {
      return this.failUsage("--interval-s must be from 0.1 to 3600 seconds");
    }
    if (!(rounds >= 1)) return this.failUsage("--rounds must be at least 1");
    for (let round = 1; round <= rounds; round++) {
      if (round > 1) await delay(intervalMs);
      const exitCode = await this.showRound(client);
      if (exitCode !== ExitCode.Ok) return exitCode;
    }
    return ExitCode.Ok;
  }

  private async showRound(client: AdminClient): Promise<ExitCode> {
    const status = await client.get("/status");
    if (status.isErr()) return this.fail(status.error);
    const instances = await client.get("/instances");
    if (instances.isErr()) return this.fail(instances.error);
    const value = {
      status: status.value,
      ...(instances.value as Record<string, unknown>),
    };
    return this.print(value, () => [
      new Date().toISOString(),
      ...formatStatus(status.value as ShownStatus),
      ...formatInstances(instances.value),
      "",
    ]);
  }
}

function formatStatus(status: ShownStatus): string[] {
  const { instance, answers, configuration } = status;
  const behind = configuration.behind.join(", ") || "none";
  return [
    `instance ${instance.instanceId}, ${instance.state}`,
    `answers ${JSON.stringify(answers)}`,
    `revision ${configuration.revision}` +
    (configuration.isKnown ? "" : " (asking peers)") +
    `, not yet applied by: ${behind}`,
  ];
}

function formatInstances(body: unknown): string[] {
  return formatTable(
    ["INSTANCE", "DOMAIN", "STATE", "REACHABLE", "REVISION"],
    (body as { instances: ShownInstance[] }).instances.map((entry) => [
      entry.instanceId,
      entry.domainId,
      entry.state,
      entry.isReachable ? "yes" : "no",
      entry.revision,
    ]),
  );
}
