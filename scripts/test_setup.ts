/**
 * Fixes the seed of property tests, so that every run tests the same cases.
 * `FC_SEED=N npm test` tests others. Passes over the tests of KNOWN-RED.txt.
 */
import { relative } from "node:path";
import process from "node:process";
import fc from "fast-check";
import { beforeEach } from "vitest";
import { readKnownRedTests } from "./known_red.ts";

const defaultSeed = 20_261_204;

fc.configureGlobal({ seed: Number(process.env.FC_SEED ?? defaultSeed) });

const knownRed = readKnownRedTests();
beforeEach(({ task, skip }) => {
  const file = relative(process.cwd(), task.file.filepath);
  if (knownRed.some((red) => red.file === file && red.name === task.name)) {
    skip();
  }
});
