/**
 * Loads and checks the settings file. Every issue is reported with the path of
 * the field and the allowed values.
 */
import { readFileSync } from "node:fs";
import { err, ok, Result } from "neverthrow";
import { createError, ErrorKind, getErrorMessage } from "../core/errors.ts";
import type { SystemError } from "../core/errors.ts";
import { getFieldIssues } from "../core/strict_fields.ts";
import { parseJson } from "../core/parse_json.ts";
import type { z } from "zod";
import { type Settings, settingsSchema } from "./schema.ts";

export function loadSettings(filePath: string): Result<Settings, SystemError> {
  return loadSettingsAs(settingsSchema, filePath);
}

export function loadSettingsAs<T extends z.ZodType>(
  schema: T,
  filePath: string,
): Result<z.output<T>, SystemError> {
  return readText(filePath).andThen(parseText).andThen((value) =>
    checkSettingsAs(schema, value)
  );

  function readText(path: string): Result<string, SystemError> {
    return Result.fromThrowable(
      () => readFileSync(path, "utf8"),
      (cause) => invalid(`cannot read ${path}: ${getErrorMessage(cause)}`),
    )();
  }

  function parseText(text: string): Result<unknown, SystemError> {
    return parseJson(text).mapErr((message) =>
      invalid(`${filePath} is not JSON: ${message}`)
    );
  }
}

export function checkSettings(value: unknown): Result<Settings, SystemError> {
  return checkSettingsAs(settingsSchema, value);
}

function checkSettingsAs<T extends z.ZodType>(
  schema: T,
  value: unknown,
): Result<z.output<T>, SystemError> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const issues = getFieldIssues(parsed.error);
  const lines = issues.map(({ path, message }) =>
    `${path || "(settings)"}: ${message}`
  );
  return err(invalid(lines.join("\n"), issues[0]?.path));
}

function invalid(message: string, fieldPath?: string): SystemError {
  return createError(
    ErrorKind.InvalidSettings,
    message,
    fieldPath === undefined ? {} : { fieldPath },
  );
}
