import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: [
      "src/**/*_test.ts",
      "platform/**/*_test.ts",
      "measure/**/*_test.ts",
      "scripts/**/*_test.ts",
    ],
    globalSetup: ["scripts/known_red.ts"],
    setupFiles: ["scripts/test_setup.ts"],
    testTimeout: 20_000,
    // Its ES modules import a folder, which Node does not resolve.
    server: { deps: { inline: ["clipanion"] } },
    pool: "forks",
    maxWorkers: 4,
  },
});
