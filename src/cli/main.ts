#!/usr/bin/env node
/**
 * The operators' command-line tool `apricotyoke`. `docs/cli.md` describes it.
 */
import { runCommandLine } from "./command_line.ts";

await runCommandLine(undefined);
