/**
 * Guards the exit status and the output of the configuration check.
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough } from "node:stream";
import { err, errAsync, ok, okAsync } from "neverthrow";
import { afterAll, expect, test } from "vitest";
import { createTestTable } from "../../measure/forwarding_fakes.ts";
import { getEmptyConfiguration } from "../control/configuration.ts";
import type { DecodeTable } from "../control/table_document.ts";
import type { ForwardingTable } from "../forwarding/forwarding_table.ts";
import { cli } from "./command_line.ts";
import { checkAndCompare } from "./config_check_report.ts";
import {
  DocumentFormat,
  readDocument,
  readInForce,
  readVersion,
  type VersionSources,
} from "./version_sources.ts";

const folder = mkdtempSync(join(tmpdir(), "config-check-"));
afterAll(() => rmSync(folder, { recursive: true }));

const valid = { number: 3, limits: { clinic: { weight: 2 } } };
const inForce = { ...getEmptyConfiguration(), revision: 7 };
const table = createTestTable();

/** Stands for the adapter of a platform. */
const decode: DecodeTable = (value) => {
  const { version, table: decoded } = (value ?? {}) as {
    readonly version?: number;
    readonly table: ForwardingTable;
  };
  return version === undefined
    ? err([{ path: "version", message: "is required" }])
    : ok({ number: version, table: decoded });
};
const adapter = { decode, documentPath: "/document" };

function write(name: string, content: unknown): string {
  const path = join(folder, name);
  const text = typeof content === "string" ? content : JSON.stringify(content);
  writeFileSync(path, text);
  return path;
}

async function run(...args: string[]) {
  const texts = { stdout: "", stderr: "" };
  const collect = (name: keyof typeof texts) => {
    const stream = new PassThrough();
    stream.on("data", (chunk) => texts[name] += String(chunk));
    return stream;
  };
  const exitCode = await cli.run(["config", "check", ...args], {
    stdout: collect("stdout"),
    stderr: collect("stderr"),
    adapter,
  });
  return { exitCode, ...texts };
}

test.each<[string, unknown, number]>([
  ["valid", valid, 0],
  ["unknown-field", { ...valid, limitz: {} }, 1],
  ["warning", { number: 3, forwarding: { spare: table } }, 1],
  ["null", null, 1],
  ["platform", { version: 8, table }, 0],
  ["platform-invalid", { table }, 1],
  ["no-json", '{"number": ', 2],
  ["empty", "", 2],
])("a file that is %s has its exit status", async (name, content, status) => {
  const file = write(name, content);
  const { exitCode, stdout, stderr } = await run(file);
  expect(exitCode).toBe(status);
  expect(stdout + stderr).not.toContain("    at ");
  const { exitCode: jsonExitCode, ...json } = await run(file, "--json");
  expect(jsonExitCode).toBe(status);
  const isReported = JSON.parse(json.stdout).findings !== undefined;
  expect(isReported).toBe(status < 2);
});

test.each(["localhost:8080", "ftp://x", "http://"])(
  "the address %s is reported beside the other findings",
  async (url) => {
    const file = write("no-address", { ...valid, limitz: {} });
    const { exitCode, stdout, stderr } = await run(file, "--url", url);
    expect({ exitCode, stderr }).toEqual({ exitCode: 1, stderr: "" });
    expect(stdout).toContain('unknown field "limitz"');
    expect(stdout).toContain("not compared: --url or APRICOTYOKE_URL must be");
    const context = { stdout: new PassThrough(), stderr: new PassThrough() };
    const args = ["instances", "--url", url, "--token", "t"];
    expect(await cli.run(args, context)).toBe(2);
    expect(context.stdout.read()).toBeNull();
    expect(String(context.stderr.read())).not.toContain("    at ");
  },
);

test.each([
  "{sk-secret}",
  '{"apiKeys": [sk-secret]}',
  "sk-secret",
  '{"apiKeys": ["sk-secret" "b"]}',
  '{"apiKeys": ["sk-secret\n"]}',
])("the message about %s does not quote the text", async (text) => {
  const file = write("quoted", text);
  const valued = write("valued", valid);
  const runs = [
    await run(file),
    await run(file, "--json"),
    await run(valued, "--against", file),
  ];
  for (const { exitCode, stdout, stderr } of runs) {
    expect(exitCode).toBe(2);
    expect(stdout + stderr).not.toMatch(/sk|secret/);
  }
});

test("a file that cannot be read is reported, also one to compare with", async () => {
  const missing = join(folder, "missing");
  expect(await run(missing)).toMatchObject({ exitCode: 2, stdout: "" });
  const file = write("invalid", { ...valid, limitz: {} });
  const { exitCode, stdout } = await run(file, "--against", missing);
  expect(exitCode).toBe(2);
  expect(stdout).toContain('unknown field "limitz"');
  expect(stdout).toContain("not compared: cannot read");
});

test("a file is compared with another, and differences are no findings", async () => {
  const file = write("valid", valid);
  const against = write("saved", { configuration: inForce, behind: [] });
  const { exitCode, stdout } = await run(file, "--json", "--against", against);
  expect(exitCode).toBe(0);
  expect(JSON.parse(stdout).comparison).toMatchObject({
    status: "compared",
    with: against,
    differences: [{ path: "limits.clinic", after: { weight: 2 } }],
  });
});

function createSources(changes: Partial<VersionSources> = {}): VersionSources {
  return {
    getConfiguration: () => okAsync({ configuration: inForce, behind: [] }),
    getTicket: (number) => okAsync({ ticket: { ...valid, number } }),
    getDocument: () => okAsync({ version: 8, table }),
    readFile: () => err("no file"),
    ...changes,
  };
}

test("a version that cannot be fetched is stated beside the other findings", async () => {
  const document = readDocument('{"number": 0}', undefined)._unsafeUnwrap();
  for (
    const getConfiguration of [
      () => errAsync("no reply"),
      () => okAsync("unexpected"),
      () => okAsync(null),
    ]
  ) {
    const sources = createSources({ getConfiguration });
    const version = await readInForce(document.format, sources, undefined);
    const { findings, comparison } = checkAndCompare(document, version, 0);
    expect(findings.map(({ path }) => path)).toEqual(["number"]);
    expect(comparison).toMatchObject({ status: "unavailable" });
  }
});

test("references are checked against the configuration in force", async () => {
  const text = '{"number": 3, "retryBudgets": {"a": {"retryBudgetRatio": 0}}}';
  const document = readDocument(text, undefined)._unsafeUnwrap();
  const version = await readInForce(
    document.format,
    createSources(),
    undefined,
  );
  const { findings } = checkAndCompare(document, version, 0);
  expect(findings.map(({ path }) => path)).toEqual(["retryBudgets.a"]);
  expect(checkAndCompare(document, err("not known"), 0)).toMatchObject({
    findings: [],
    areReferencesChecked: false,
  });
});

test("a version number names a ticket, or the platform's document in force", async () => {
  const read = (spec: string, format: DocumentFormat) =>
    readVersion(spec, format, createSources(), adapter);
  const ticket = (await read("5", DocumentFormat.Ticket))._unsafeUnwrap();
  expect(ticket).toMatchObject({ label: "ticket 5", isComplete: false });
  expect(ticket.configuration.limits).toMatchObject({ clinic: { weight: 2 } });
  const document = (await read("8", DocumentFormat.Platform))._unsafeUnwrap();
  expect(document.label).toBe("version 8");
  expect(document.configuration.forwarding.default).toEqual(table);
  const older = await read("7", DocumentFormat.Platform);
  expect(older._unsafeUnwrapErr()).toContain("which is 8");
});

test("a document above the size that the service takes has an error", () => {
  const text = JSON.stringify({ ...valid, comment: "x".repeat(1_048_576) });
  const { issues } = readDocument(text, undefined)._unsafeUnwrap();
  expect(issues.map(({ path }) => path)).toEqual([""]);
});
