/**
 * Tests that fail because of a known fault. KNOWN-RED.txt names each in a line
 * "test: FILE > NAME"; test runs pass over exactly these and print them.
 */
import { existsSync, readFileSync } from "node:fs";

export interface KnownRedTest {
  readonly file: string;
  readonly name: string;
}

const listPath = "KNOWN-RED.txt";

export function readKnownRedTests(): readonly KnownRedTest[] {
  return existsSync(listPath)
    ? parseKnownRedTests(readFileSync(listPath, "utf8"))
    : [];
}

export function parseKnownRedTests(text: string): KnownRedTest[] {
  return text.split("\n").flatMap((line) => {
    const match = /^test: (\S+) > (.+)$/.exec(line);
    return match ? [{ file: match[1]!, name: match[2]!.trim() }] : [];
  });
}

/** Runs once before all tests. */
export function setup(): void {
  for (const { file, name } of readKnownRedTests()) {
    console.log(`passed over, see ${listPath}: ${file} > ${name}`);
  }
}
