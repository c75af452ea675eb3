import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, test } from "vitest";
import { forwardingSettingsSchema } from "./forwarding_settings.ts";
import { loadSettingsAs } from "./load_settings.ts";

const folder = mkdtempSync(join(tmpdir(), "settings-"));

const entry = {
  role: "entry",
  instanceName: "front-a-1",
  host: "10.1.0.24",
  domainId: "a",
  peerPort: 7200,
  peerKeys: [{ keyId: "deployment", keyHex: "00".repeat(16) }],
  seeds: ["10.1.0.27:8748"],
  isFirstStart: true,
  callers: "10.1.0.24:8740",
  readiness: "10.1.0.24:8749",
  operators: null,
  dataFolder: null,
  upstreamList: { address: "10.200.0.63:8742" },
};

function load(value: unknown) {
  const path = join(folder, "settings.json");
  const text = typeof value === "string" ? value : JSON.stringify(value);
  writeFileSync(path, text);
  return loadSettingsAs(forwardingSettingsSchema, path);
}

test("settings are loaded with their defaults", () => {
  const settings = load(entry)._unsafeUnwrap();
  expect(settings.seeds).toEqual([{ host: "10.1.0.27", port: 8748 }]);
  expect(settings.bounds).toMatchObject({ drainMs: 3_000, graceS: 8 });
  expect(settings.overload.isEnabled).toBe(false);
});

test.each<[string, unknown, string]>([
  ["an unknown role", { ...entry, role: "proxy" }, "role"],
  ["a missing address for callers", { ...entry, callers: null }, "callers"],
  [
    "a control instance without a disk",
    { ...entry, role: "control", operators: "10.1.0.24:1" },
    "dataFolder",
  ],
  ["a seed without a port", { ...entry, seeds: ["10.1.0.27"] }, "seeds.0"],
  ["an unknown field", { ...entry, seedz: [] }, "seedz"],
  [
    "a part of the requests above the bound",
    { ...entry, overload: { maxRefusedRatio: 1 } },
    "overload.maxRefusedRatio",
  ],
  [
    "a link without a capacity",
    { ...entry, overload: { isEnabled: true, linkBytesPerS: 0 } },
    "overload.linkBytesPerS",
  ],
  [
    "another unit of a link",
    { ...entry, overload: { linkBytesPerMs: 875 } },
    "linkBytesPerMs",
  ],
  ["no JSON", "{", "not JSON"],
])(
  "%s is rejected and located by the message",
  (_name, value, expectedText) => {
    expect(load(value)._unsafeUnwrapErr().message).toContain(expectedText);
  },
);

/** Renders a template as the platform does: values, lists and sections. */
function render(template: string, fields: Record<string, unknown>): string {
  const get = (path: string): unknown =>
    path.split(".").reduce<unknown>(
      (value, key) => (value as Record<string, unknown> | null)?.[key],
      fields,
    );
  return template
    .replace(
      /\{\{([#^])([\w.]+)\}\}(.*?)\{\{\/\2\}\}/g,
      (_all, sign, path, inner) => {
        const value = get(path);
        const isShown =
          (sign === "#") === (value !== null && value !== undefined);
        return isShown ? inner.replaceAll("{{.}}", String(value)) : "";
      },
    )
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, isJson) => {
      const value = get(path);
      return isJson ? JSON.stringify(value ?? null) : String(value ?? "");
    });
}

test.each(["entry", "control"])(
  "the rendered template is valid for role %s",
  (role) => {
    const template = readFileSync("platform/settings.json.template", "utf8");
    const isEntry = role === "entry";
    const text = render(template, {
      role,
      node: "front-andina-a-1",
      ip: "10.1.0.24",
      zone: "andina-a",
      port_range: [7200, 7215],
      seeds: ["10.1.0.27:8748", "10.2.0.22:8748"],
      bootstrap: true,
      listen: isEntry
        ? { front: "10.1.0.24:8740", ready: "10.1.0.24:8749" }
        : { control: "10.1.0.24:8748" },
      data_dir: isEntry ? null : "/data/control",
      tolerate: { machines: 1 },
      cloud: { addr: "10.200.0.63:8742", rate_per_s: 42 },
      bounds: {
        drain_ms: 3_000,
        grace_s: 8,
        retry_ratio: 0.8,
        retry_window_s: 10,
        retry_slack: 150,
        catch_up_s: 4,
      },
    });
    const settings = load(text)._unsafeUnwrap();
    expect(settings.role).toBe(role);
    expect(settings.peerPort).toBe(7200);
    expect(settings.callers === null).toBe(!isEntry);
  },
);
