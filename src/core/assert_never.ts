/**
 * Exhaustiveness check for switches over discriminated unions and enums.
 */

export function assertNever(value: never): never {
  throw new Error(`unexpected variant: ${JSON.stringify(value)}`);
}
