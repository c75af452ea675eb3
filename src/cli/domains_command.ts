/**
 * The command that shows which share of the attempts leaves the failure domain.
 */
import { Command, Option } from "clipanion";
import { ResultAsync } from "neverthrow";
import { request } from "undici";
import { getErrorMessage } from "../core/errors.ts";
import { metricsPath } from "../core/metrics_server.ts";
import { type AdminFailure, ExitCode } from "./admin_client.ts";
import { exitCodeDetails, formatTable, ToolCommand } from "./admin_command.ts";
import { formatDomainRows, readDomainView } from "./domain_metrics.ts";

export class DomainsCommand extends ToolCommand {
  static override paths = [["domains"]];
  static override usage = Command.Usage({
    category: "State",
    description: "Show the share of attempts that leaves the failure domain.",
    details: "Reads the metrics of one entry instance, which count since its " +
      "start. The reason is the state of the choice at the attempt. " +
      exitCodeDetails,
    examples: [["Show", "apricotyoke domains http://10.0.0.1:9100"]],
  });
  metricsUrl = Option.String({ name: "METRICS_URL" });
  domain = Option.String("--domain", {
    description: "Failure domain of an instance that does not state it.",
  });

  async execute(): Promise<ExitCode> {
    const timeoutError = this.findTimeoutError();
    if (timeoutError) return this.failUsage(timeoutError);
    if (!/^https?:$/.test(getProtocol(this.metricsUrl))) {
      return this.failUsage("METRICS_URL must be a URL");
    }
    const text = await this.fetchMetrics();
    if (text.isErr()) return this.fail(text.error);
    const view = readDomainView(text.value, this.domain);
    if (view.isErr()) {
      const message = view.error;
      return this.fail({ exitCode: ExitCode.Failed, message, body: null });
    }
    return this.print(view.value, () => [
      `instance in failure domain ${view.value.homeId}, since its start`,
      ...formatTable(
        ["SERVICE", "DOMAIN", "SHARE", "ATTEMPTS", "BYTES", "REASONS"],
        formatDomainRows(view.value),
      ),
    ]);
  }

  private fetchMetrics(): ResultAsync<string, AdminFailure> {
    const timeoutMs = this.getTimeoutMs();
    const url = new URL(metricsPath, this.metricsUrl);
    return ResultAsync.fromPromise(
      request(url, { headersTimeout: timeoutMs, bodyTimeout: timeoutMs })
        .then(async ({ statusCode, body }) => {
          const text = await body.text();
          if (statusCode !== 200) throw new Error(`status ${statusCode}`);
          return text;
        }),
      (cause) => ({
        exitCode: ExitCode.Unavailable,
        message: `no metrics from ${url}: ${getErrorMessage(cause)}`,
        body: null,
      }),
    );
  }
}

function getProtocol(url: string): string {
  return URL.canParse(url) ? new URL(url).protocol : "";
}
