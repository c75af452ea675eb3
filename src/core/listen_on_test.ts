/** Guards against the end of the process by an error of a listening server. */
import { createServer } from "node:net";
import { expect, test } from "vitest";
import { listenOn } from "./listen_on.ts";
import { logEvents } from "./log_events.ts";
import { createSilentLogger, type Logger } from "./logger.ts";

test("an error of a listening server is logged and not thrown", async () => {
  const logged: unknown[] = [];
  const logger: Logger = {
    ...createSilentLogger(),
    log: (event) => void logged.push(event),
  };
  const server = createServer();
  const listening = await listenOn(
    server,
    { host: "127.0.0.1", port: 0 },
    logger,
  );
  expect(listening.isOk()).toBe(true);
  server.emit("error", new Error("accept EMFILE"));
  server.emit("error", new Error("accept EMFILE"));
  expect(logged).toEqual([
    logEvents.unexpectedError,
    logEvents.unexpectedError,
  ]);
  server.close();
});
