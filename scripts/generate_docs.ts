/**
 * Writes the reference pages that are generated from the code: error kinds, log
 * events and settings. Run it with `npm run docs` after a change to one of them.
 */
import { writeFileSync } from "node:fs";
import {
  renderErrorsPage,
  renderLogEventsPage,
  renderSettingsPage,
} from "./reference_pages.ts";

writeFileSync("docs/errors.md", renderErrorsPage());
writeFileSync("docs/log_events.md", renderLogEventsPage());
writeFileSync("docs/settings.md", renderSettingsPage());
