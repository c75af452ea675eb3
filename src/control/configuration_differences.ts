/**
 * Lists what differs between two configurations, by object and by field.
 */
import {
  type Configuration,
  lookUp,
  type ObjectKind,
  objectKinds,
} from "./configuration.ts";

export interface Difference {
  /** Path of an object, such as `limits.clinic`, or of a field in it. */
  readonly path: string;
  /** Absent where the object or field does not exist. */
  readonly before?: unknown;
  readonly after?: unknown;
}

/** Lists the objects that differ, of those that `listNames` returns. */
export function listObjectDifferences(
  before: Configuration,
  after: Configuration,
  listNames: (kind: ObjectKind) => readonly string[],
): Difference[] {
  return objectKinds.flatMap((kind) =>
    listNames(kind).flatMap((name) => {
      const difference = {
        path: `${kind}.${name}`,
        before: lookUp<unknown>(before[kind], name),
        after: lookUp<unknown>(after[kind], name),
      };
      return isSame(difference.before, difference.after) ? [] : [difference];
    })
  );
}

/**
 * Narrows a difference down to the fields that differ. Elements of a list are
 * matched by what identifies them, so an inserted element does not show all
 * later ones as changed. API keys are replaced by their number.
 */
export function listFieldDifferences(
  { path, before, after }: Difference,
): Difference[] {
  if (isSame(before, after)) return [];
  const left = getFields(before);
  const right = getFields(after);
  if (!left || !right || left.isList !== right.isList) {
    const hidden = path.endsWith(`.${secretField}`) ? hideKeys : hideSecrets;
    return [{ path, before: hidden(before), after: hidden(after) }];
  }
  const names = new Set([...left.fields.keys(), ...right.fields.keys()]);
  return [...names].flatMap((name) =>
    listFieldDifferences({
      path: left.isList ? `${path}[${name}]` : `${path}.${name}`,
      before: left.fields.get(name),
      after: right.fields.get(name),
    })
  );
}

interface Fields {
  readonly isList: boolean;
  readonly fields: ReadonlyMap<string, unknown>;
}

const secretField = "apiKeys";

/** Returns undefined for a value that is only compared as a whole. */
function getFields(value: unknown): Fields | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  if (!Array.isArray(value)) {
    return { isList: false, fields: new Map(Object.entries(value)) };
  }
  const fields = new Map<string, unknown>();
  for (const element of value) {
    const id = getElementId(element);
    if (id === undefined || fields.has(id)) return undefined;
    fields.set(id, element);
  }
  return { isList: true, fields };
}

function getElementId(element: unknown): string | undefined {
  if (typeof element !== "object" || element === null) return undefined;
  const fields = element as Readonly<Record<string, unknown>>;
  const { customerId, host, method, pathPrefix, service, name } = fields;
  if (typeof pathPrefix === "string") {
    return `${host ?? `${method} `}${pathPrefix}`;
  }
  const id = customerId ?? service ?? name;
  return typeof id === "string" ? id : undefined;
}

function hideSecrets(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(hideSecrets);
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([name, field]) => [
      name,
      name === secretField ? hideKeys(field) : hideSecrets(field),
    ]),
  );
}

function hideKeys(keys: unknown): unknown {
  return Array.isArray(keys) ? `${keys.length} keys` : keys;
}

function isSame(left: unknown, right: unknown): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}
