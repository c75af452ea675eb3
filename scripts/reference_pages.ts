/**
 * Renders the reference pages that are generated from the code.
 */
import * as z from "zod";
import { type ErrorKind, errorResponses } from "../src/core/errors.ts";
import { logEvents } from "../src/core/log_events.ts";
import { forwardingSettingsSchema } from "../src/settings/forwarding_settings.ts";
import { settingsSchema } from "../src/settings/schema.ts";

interface JsonSchema {
  readonly type?: string;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
  readonly items?: JsonSchema;
  readonly oneOf?: readonly JsonSchema[];
  readonly anyOf?: readonly JsonSchema[];
  readonly enum?: readonly unknown[];
  readonly const?: unknown;
  readonly default?: unknown;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly exclusiveMinimum?: number;
  readonly minItems?: number;
  readonly maxItems?: number;
  readonly pattern?: string;
  readonly format?: string;
}

export function renderErrorsPage(): string {
  const rows = Object.entries(errorResponses).map(([kind, answer]) => [
    `\`${kind as ErrorKind}\``,
    String(answer.httpStatus),
    answer.execution,
    answer.retryable ? "yes" : "no",
  ]);
  return `# Errors

Every failure is one of these kinds. The JSON body of a failed request is
\`{"error": {"type", "message", "execution", "retryable", "retryAfterMs",
"fieldPath"}}\`; the last two are present where they are known. \`execution\`
says whether the work behind the request ran: \`notRun\` is a guarantee,
\`partial\` means that a generation may have started, \`unknown\` that the outcome
is not known. Generated from \`src/core/errors.ts\` by \`npm run docs\`.

${formatTable(["Kind", "HTTP status", "Execution", "Retry"], rows)}`;
}

export function renderLogEventsPage(): string {
  const rows = Object.entries(logEvents)
    .sort(([, left], [, right]) => left.number - right.number)
    .map(([name, event]) => [
      String(event.number),
      event.level,
      `\`${name}\``,
      event.text,
    ]);
  return `# Log events

Each log line is a JSON object with \`time\`, \`level\`, \`event\` (the number),
\`text\` and further fields. Numbers are stable; the thousands digit names the
area: 1 process, 2 answers, 3 application calls, 4 upstreams, 5 peers and
membership, 6 control, 7 callers. Generated from \`src/core/log_events.ts\` by
\`npm run docs\`.

${formatTable(["Number", "Level", "Name", "Text"], rows)}`;
}

export function renderSettingsPage(): string {
  return `# Settings

The daemon reads one JSON file. Unknown keys are rejected, and
\`apricotyoked --settings FILE --check\` reports every problem with its path.
Fields carry their unit as a suffix: \`Ms\` milliseconds, \`Bytes\` bytes, \`Ratio\` a
share between 0 and 1. \`[]\` marks the elements of a list. Generated from
\`src/settings/schema.ts\` by \`npm run docs\`.

${formatSettingsTable(settingsSchema)}

## Forwarding deployments

The same rules hold for the settings of an instance that forwards requests, as
on [the users' platform](platform.md). They are in
\`src/settings/forwarding_settings.ts\`; times without \`Ms\` end in \`S\`,
seconds.

${formatSettingsTable(forwardingSettingsSchema)}
\`callerLimits\` bounds what callers can make an instance hold. Callers inside
the limits of the configuration don't reach the defaults. The metric
\`apricotyoke_caller_limits_total\` counts by limit what was refused, closed or
delayed, and event 7215 reports it at most once a second.

- \`maxConnections\`: connections of callers; null is half of the process's
  descriptors. At the limit, the connection that has been idle or unread for
  longest is closed, or else the new one.
- \`maxServiceConnections\`: the same for each of the readiness, metrics and
  operators' servers.
- \`maxWaitingRequests\`, \`maxTotalWaitingRequests\`: requests sent ahead that
  are read, of one connection and of all. Others are read later, in order.
- \`maxUnparsedBytes\`: incomplete heads and requests sent ahead that are not
  parsed, of all connections. The connection with most is closed after the
  responses that it is owed.
- \`maxBodyBytes\`: bodies of requests that have no response yet, of all
  connections; a quarter is left to bodies up to 64 KiB. Others are refused with
  503, as not run. If it is not given, it is a quarter of the heap limit, or of
  the machine's memory beside the heap and 40 MiB if that is less, and 16 MiB at
  least.
- \`maxReadBytesPerS\`: reads of 16 KiB and more, of all connections. Others are
  delayed.
- \`maxUnreadBytes\`: responses that wait for their callers, of all connections.
  Those that have been without progress for longest are closed.
- \`unreadTimeoutMs\`: a connection whose caller takes no byte of a response for
  so long is closed.

On the instances of the first table, \`maxBodyBytes\` holds for bodies that have
not ended; one without a length counts as the largest body, which is
\`limits.maxBodyBytes\`, or 1 MiB if that is more. The room has place for one such
body beside the quarter. A request has 1 ms for each 18 bytes of the largest
body until its receipt is complete, and 60 s at least. The counters are \`apricotyoke.caller_limits.LIMIT\`.

\`overload\` lets an entry instance refuse a part of the requests that it has
read and not sent, with 503 as not run, while it is short of processor, memory
or link capacity ([design](design/instance_overload.md)). It is off by default.
The metric \`apricotyoke_overload_refusals_total\` counts the refusals by what is
short, and events 7270 and 7271 report the start and end of a shortage.

- \`isEnabled\`: whether requests are refused for this reason.
- \`objectiveRatio\`: the part of a route's objective (\`objectiveMs\`) that a
  request may spend at this instance. Beyond it the instance is short of
  processor or link.
- \`maxRefusedRatio\`: the greatest part of the requests that is refused, so that
  instances that are all overloaded still serve.
- \`maxHeapRatio\`: heap in use after a full collection, as a part of the heap's
  limit (\`--max-old-space-size\`).
- \`maxHeldRatio\`: bytes held for callers, as a part of the sum of
  \`maxUnparsedBytes\`, \`maxBodyBytes\` and \`maxUnreadBytes\`.
- \`linkBytesPerS\`: capacity of the link to callers in bytes per second. Null is
  not known; unsent bytes then cause no refusal.
`;
}

function formatSettingsTable(settings: z.ZodType): string {
  const schema = z.toJSONSchema(settings, {
    io: "input",
    unrepresentable: "any",
  }) as JsonSchema;
  return formatTable(
    ["Field", "Type", "Allowed", "Default"],
    listFields(schema, ""),
  );
}

export function listFields(schema: JsonSchema, path: string): string[][] {
  const variants = schema.oneOf ?? schema.anyOf;
  if (variants) return variants.flatMap((variant) => listFields(variant, path));
  if (schema.type === "array" && schema.items) {
    return listFields(schema.items, `${path}[]`);
  }
  if (!schema.properties) {
    return [[
      `\`${path}\``,
      schema.type ?? "string",
      formatAllowedValues(schema),
      formatDefaultValue(schema),
    ]];
  }
  return Object.entries(schema.properties).flatMap(([name, property]) =>
    listFields(property, path === "" ? name : `${path}.${name}`)
  );
}

function formatAllowedValues(schema: JsonSchema): string {
  if (schema.const !== undefined) return `\`${String(schema.const)}\``;
  if (schema.enum) return schema.enum.map((value) => `\`${value}\``).join(", ");
  const parts: string[] = [];
  const minimum = schema.minimum ?? schema.exclusiveMinimum;
  if (minimum !== undefined) {
    parts.push(`${schema.minimum === undefined ? "above" : "from"} ${minimum}`);
  }
  if (schema.maximum !== undefined) parts.push(`to ${schema.maximum}`);
  if (schema.pattern) {
    parts.push(`\`${schema.pattern.replaceAll("|", "\\|")}\``);
  }
  if (schema.format) parts.push(schema.format);
  return parts.join(" ");
}

function formatDefaultValue(schema: JsonSchema): string {
  return schema.default === undefined
    ? ""
    : `\`${JSON.stringify(schema.default)}\``;
}

function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const lines = [header, header.map(() => "---"), ...rows]
    .map((cells) => `| ${cells.join(" | ")} |`);
  return `${lines.join("\n")}\n`;
}
