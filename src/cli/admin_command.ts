/**
 * Options and output that all commands share.
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { type BaseContext, Command, Option } from "clipanion";
import { err, ok, Result } from "neverthrow";
import { getErrorMessage } from "../core/errors.ts";
import {
  type AdminClient,
  type AdminFailure,
  createAdminClient,
  ExitCode,
} from "./admin_client.ts";
import type { DocumentAdapter } from "./version_sources.ts";

export interface ToolContext extends BaseContext {
  /** Reads the documents of the platform that the tool was built for. */
  readonly adapter?: DocumentAdapter | undefined;
}

export const exitCodeDetails =
  "Exit codes: 0 done, 1 failed, 2 wrong options or unreadable file, " +
  "3 invalid ticket, 4 number in use or outdated, 5 not found, " +
  "6 token rejected, 7 no reply or no control leader (retrying is " +
  "safe), 8 not in force in time, 9 differences found.";

const defaultTimeoutS = 10;

// clipanion requires a class per command.
export abstract class ToolCommand extends Command<ToolContext> {
  timeoutS = Option.String("--timeout-s", String(defaultTimeoutS), {
    description:
      "Timeout in seconds for a reply, or in ticket wait for the whole wait.",
  });
  isJson = Option.Boolean("--json", false, {
    description: "Print JSON, also for errors.",
  });

  protected getTimeoutMs(): number {
    return Number(this.timeoutS) * 1_000;
  }

  /** Returns what is wrong with the timeout. */
  protected findTimeoutError(): string | undefined {
    const timeoutMs = this.getTimeoutMs();
    return timeoutMs >= 100 && timeoutMs <= 86_400_000
      ? undefined
      : "--timeout-s must be from 0.1 to 86400 seconds";
  }

  /** Prints the value as JSON with `--json`, otherwise as the given lines. */
  protected print(value: unknown, lines: () => readonly string[]): ExitCode {
    const text = this.isJson ? JSON.stringify(value) : lines().join("\n");
    this.context.stdout.write(`${text}\n`);
    return ExitCode.Ok;
  }

  protected fail(failure: AdminFailure): ExitCode {
    if (this.isJson) {
      const { exitCode, message, body } = failure;
      this.context.stdout.write(
        `${JSON.stringify(body ?? { error: { message, exitCode } })}\n`,
      );
    } else this.context.stderr.write(`${failure.message}\n`);
    return failure.exitCode;
  }

  protected failUsage(message: string): ExitCode {
    return this.fail({ exitCode: ExitCode.Usage, message, body: null });
  }

  /** Reads a file, or standard input for "-". */
  protected readFile(path: string): string | undefined {
    return readText(path).match(
      (text) => text,
      (message) => {
        this.failUsage(message);
        return undefined;
      },
    );
  }
}

/** A command that may ask an entry instance as an operator. */
export abstract class InstanceCommand extends ToolCommand {
  url = Option.String("--url", {
    description: "Address of any entry instance; else APRICOTYOKE_URL.",
  });
  token = Option.String("--token", {
    description: "Operator token; else APRICOTYOKE_TOKEN.",
  });

  protected getBaseUrl(): Result<string, string> {
    const baseUrl = this.url ?? process.env.APRICOTYOKE_URL;
    // "localhost:8080" is a URL too, with the scheme "localhost".
    return baseUrl && /^https?:\/\//i.test(baseUrl) && URL.canParse(baseUrl)
      ? ok(baseUrl)
      : err("--url or APRICOTYOKE_URL must be an http or https URL");
  }

  protected createClient(): Result<AdminClient, string> {
    const token = this.token ?? process.env.APRICOTYOKE_TOKEN;
    return this.getBaseUrl().andThen((baseUrl) =>
      token
        ? ok(createAdminClient({
          baseUrl,
          token,
          timeoutMs: this.getTimeoutMs(),
        }))
        : err("--token or APRICOTYOKE_TOKEN must be set")
    );
  }
}

export abstract class AdminCommand extends InstanceCommand {
  abstract run(client: AdminClient): Promise<ExitCode>;

  async execute(): Promise<ExitCode> {
    const client = this.createClient();
    if (client.isErr()) return this.failUsage(client.error);
    const timeoutError = this.findTimeoutError();
    if (timeoutError) return this.failUsage(timeoutError);
    return await this.run(client.value);
  }
}

/** Reads a file, or standard input for "-"; or returns why it cannot. */
export function readText(path: string): Result<string, string> {
  return Result.fromThrowable(
    () => readFileSync(path === "-" ? 0 : path, "utf8"),
    (cause) => `cannot read ${path}: ${getErrorMessage(cause)}`,
  )();
}

/** Formats lines whose columns are padded to the widest cell. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly unknown[])[],
): string[] {
  const cells = [header, ...rows.map((row) => row.map(String))];
  const widths = header.map((_, column) =>
    Math.max(...cells.map((row) => row[column]!.length))
  );
  return cells.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd()
  );
}
