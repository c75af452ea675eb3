/**
 * The command that checks a configuration document before it is submitted.
 */
import { Command, Option } from "clipanion";
import type { ResultAsync } from "neverthrow";
import {
  type AdminClient,
  createAdminClient,
  ExitCode,
} from "./admin_client.ts";
import { InstanceCommand, readText } from "./admin_command.ts";
import { checkAndCompare, formatCheck } from "./config_check_report.ts";
import {
  type ComparedVersion,
  isVersionNumber,
  type ReadDocument,
  readDocument,
  readInForce,
  readVersion,
  type VersionSources,
} from "./version_sources.ts";

export class ConfigCheckCommand extends InstanceCommand {
  static override paths = [["config", "check"]];
  static override usage = Command.Usage({
    category: "State",
    description: "Check a ticket or configuration document without sending it.",
    details:
      "Runs the checks of the service's acceptance, and reports entries " +
      "without effect and limits that contradict each other. Compares with " +
      "the configuration in force, or with a ticket number or a file. " +
      "Exit codes: 0 no findings, 1 findings, 2 unreadable or wrong options.",
    examples: [
      ["Check a ticket", "apricotyoke config check change.json"],
      [
        "Compare with a file",
        "apricotyoke config check change.json --against saved.json",
      ],
    ],
  });
  file = Option.String({ name: "FILE" });
  against = Option.String("--against", {
    description: "Number of a version, or a file, to compare with.",
  });

  async execute(): Promise<ExitCode> {
    const timeoutError = this.findTimeoutError();
    if (timeoutError) return this.failUsage(timeoutError);
    const text = this.readFile(this.file);
    if (text === undefined) return ExitCode.Usage;
    const read = readDocument(text, this.context.adapter);
    if (read.isErr()) {
      return this.failUsage(`${this.file} is not JSON: ${read.error}`);
    }
    const document = read.value;
    const version = await this.readComparedVersion(document);
    const report = checkAndCompare(document, version, Date.now());
    this.print(
      { file: this.file, format: document.format, ...report },
      () => formatCheck(this.file, report),
    );
    const isFileUnreadable = version.isErr() && this.against !== undefined &&
      !isVersionNumber(this.against);
    if (isFileUnreadable) return ExitCode.Usage;
    return report.findings.length > 0 ? ExitCode.Failed : ExitCode.Ok;
  }

  private readComparedVersion(
    { format }: ReadDocument,
  ): ResultAsync<ComparedVersion, string> {
    const { adapter } = this.context;
    const sources = this.createSources();
    return this.against === undefined
      ? readInForce(format, sources, adapter)
      : readVersion(this.against, format, sources, adapter);
  }

  private createSources(): VersionSources {
    const get = (path: string) =>
      this.createClient().asyncAndThen((client) => getBody(client, path));
    return {
      getConfiguration: () => get("/configuration"),
      getTicket: (number) => get(`/tickets/${number}`),
      getDocument: () =>
        this.getBaseUrl().asyncAndThen((baseUrl) => {
          const client = createAdminClient({
            baseUrl,
            token: undefined,
            timeoutMs: this.getTimeoutMs(),
            pathPrefix: "",
          });
          return getBody(client, this.context.adapter!.documentPath);
        }),
      readFile: readText,
    };
  }
}

function getBody(
  client: AdminClient,
  path: string,
): ResultAsync<unknown, string> {
  return client.get(path).mapErr(({ message }) => message);
}
