/**
 * Starts a server and returns a failure to listen as a result instead of an
 * event. Later errors, such as of accepting a connection, are logged: without a
 * listener they would end the process.
 */
import type { Server } from "node:net";
import { ResultAsync } from "neverthrow";
import {
  createError,
  ErrorKind,
  getErrorMessage,
  type SystemError,
} from "./errors.ts";
import { logEvents } from "./log_events.ts";
import type { Logger } from "./logger.ts";

export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

export function listenOn(
  server: Server,
  { host, port }: ListenAddress,
  logger: Logger,
): ResultAsync<void, SystemError> {
  return ResultAsync.fromPromise(
    new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen({ host, port }, () => {
        server.off("error", reject);
        server.on("error", (cause) => {
          logger.log(logEvents.unexpectedError, {
            reason: getErrorMessage(cause),
          });
        });
        resolve();
      });
    }),
    (cause) =>
      createError(
        ErrorKind.InvalidSettings,
        `${host}:${port}: ${getErrorMessage(cause)}`,
      ),
  );
}
