/**
 * Writes the reference pages that come from the code: error kinds, log events
 * and settings. Run it with `npm run docs` after a change to one of them.
 */
import { writeFileSync } from "node:fs";
import {
  getErrorsPage,
  getLogEventsPage,
  getSettingsPage,
} from "./reference_pages.ts";

writeFileSync("docs/errors.md", getErrorsPage());
writeFileSync("docs/log_events.md", getLogEventsPage());
writeFileSync("docs/settings.md", getSettingsPage());
