/**
 * Operators' access to the forwarding table and to version moves, from any
 * control instance. An adapter translates the operators' protocol.
 */
import {
  err,
  errAsync,
  ok,
  okAsync,
  type Result,
  type ResultAsync,
} from "neverthrow";
import type { z } from "zod";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import { forwardingTableName } from "../forwarding/forwarding_table.ts";
import { checkForwardingTable } from "../forwarding/forwarding_checks.ts";
import type { ListedUpstream } from "../upstreams/upstream_view.ts";
import type { Clock } from "../core/clock.ts";
import { logEvents } from "../core/log_events.ts";
import type { LogFields, Logger } from "../core/logger.ts";
import type { PauseWatch } from "../core/pause_watch.ts";
import {
  type PartKey,
  type QuarantineChange,
  QuarantineChangeKind,
  type QuarantineRecord,
} from "../quarantine/quarantine_types.ts";
import {
  changeQuarantineResultSchema,
  type Command,
  CommandKind,
  readMoveResultSchema,
  readQuarantineResultSchema,
} from "./commands.ts";
import type { Configuration } from "./configuration.ts";
import { type ControlClient, proposeCommand } from "./control_client.ts";
import {
  type StartMoveResult,
  startMoveResultSchema,
  type VersionMove,
} from "./moves/move_types.ts";
import {
  findOrderDoubt,
  operatorPatienceMs,
  type OrderOrigin,
} from "./order_origin.ts";
import { createTableTicket, type TableDocument } from "./table_document.ts";
import type { TicketResult } from "./ticket_table.ts";
import type { TicketService } from "./ticket_service.ts";

/** An order to move the service to the target version. */
export interface MoveRequest {
  readonly service: string;
  readonly target: string;
  readonly durationMs: number;
}

export interface OperatorService {
  /** Submits the table as a ticket with that number. */
  replaceTable(
    document: TableDocument,
  ): ResultAsync<TicketResult, SystemError>;
  /** Reads the newest document that a majority of control instances knows. */
  readDocument(): ResultAsync<string | undefined, SystemError>;
  /**
   * Orders a move of the service to another version. Fails with `StaleOrder`
   * and changes nothing if the operator may have given a newer order since.
   */
  startMove(
    order: MoveRequest,
    origin: OrderOrigin,
  ): ResultAsync<StartMoveResult, SystemError>;
  /** Reads the newest move of the service that a majority knows. */
  readMove(service: string): ResultAsync<VersionMove | undefined, SystemError>;
  /** Reads the prompt parts that crashed engines, with those released since. */
  readQuarantine(): ResultAsync<readonly QuarantineRecord[], SystemError>;
  /**
   * Lets requests with the part run again and forgets its crashes. Returns
   * whether the part was known. Fails with `StaleOrder` and changes nothing if
   * the part may have crashed engines since.
   */
  liftQuarantine(
    key: PartKey,
    origin: OrderOrigin,
  ): ResultAsync<boolean, SystemError>;
}

export interface OperatorServiceOptions {
  readonly tickets: Pick<TicketService, "submit" | "findInForce">;
  readonly control: ControlClient;
  readonly clock: Pick<Clock, "nowMs" | "wallMs">;
  readonly logger: Logger;
  readonly pauses: Pick<PauseWatch, "hasPausedSince">;
  listUpstreams(): readonly ListedUpstream[];
  getConfiguration(): Configuration;
}

const objectPath = `forwarding.${forwardingTableName}`;

export function createOperatorService(
  options: OperatorServiceOptions,
): OperatorService {
  const { tickets, control, clock, logger, pauses } = options;
  const { listUpstreams, getConfiguration } = options;
  return {
    replaceTable: (document) => {
      // The ticket table acknowledges an outdated number without checking its
      // table, so the table is checked here for every number.
      const issues = checkForwardingTable(document.table);
      if (issues.length > 0) return okAsync({ status: "invalid", issues });
      return tickets.submit(createTableTicket(document));
    },
    readDocument: () =>
      tickets.findInForce(objectPath).map((record) => record?.ticket.source),
    startMove,
    readMove: (service) =>
      proposeCommand(
        control,
        { kind: CommandKind.ReadMove, service },
        readMoveResultSchema,
      ).map(({ move }) => move),
    readQuarantine: () =>
      proposeCommand(
        control,
        { kind: CommandKind.ReadQuarantine },
        readQuarantineResultSchema,
      ).map(({ records }) => records),
    liftQuarantine,
  };

  function startMove(
    request: MoveRequest,
    origin: OrderOrigin,
  ): ResultAsync<StartMoveResult, SystemError> {
    const { service, target } = request;
    const table = getConfiguration().forwarding[forwardingTableName];
    if (table && !table.services.some(({ name }) => name === service)) {
      const message = `no service is called ${service}`;
      return errAsync(createError(ErrorKind.InvalidRequest, message));
    }
    return readBefore(
      origin,
      { kind: CommandKind.ReadMove, service },
      readMoveResultSchema,
    ).andThen(({ move }) =>
      // A repeated order changes nothing, however late it is.
      move?.target === target
        ? okAsync<StartMoveResult, SystemError>({ status: "repeated" })
        : proposeMove(request, origin, move?.number ?? 0)
    ).map((result) => {
      logger.log(logEvents.versionMoveOrdered, { service, target, ...result });
      return result;
    }).mapErr((error) => logRefusal(error, { order: "move", service, target }));
  }

  function liftQuarantine(
    [service, partId]: PartKey,
    origin: OrderOrigin,
  ): ResultAsync<boolean, SystemError> {
    return readBefore(
      origin,
      { kind: CommandKind.ReadQuarantine },
      readQuarantineResultSchema,
    ).andThen(({ records }) => {
      const record = records.find((entry) =>
        entry.service === service && entry.partId === partId
      );
      return record ? proposeLift(record, origin) : okAsync(false);
    }).mapErr((error) => logRefusal(error, { order: "lift", service, partId }));
  }

  function proposeLift(
    { service, partId, addedRevision }: QuarantineRecord,
    origin: OrderOrigin,
  ): ResultAsync<boolean, SystemError> {
    const change: QuarantineChange = {
      kind: QuarantineChangeKind.Lift,
      service,
      partId,
      atWallMs: clock.wallMs(),
      reason: "lifted by an operator",
      ...(addedRevision === undefined ? {} : { addedRevision }),
    };
    return checkOrigin(origin).asyncAndThen(() =>
      proposeCommand(
        control,
        { kind: CommandKind.ChangeQuarantine, change },
        changeQuarantineResultSchema,
        { isWanted: () => !origin.isClosed() },
      )
    ).andThen(({ hasChanged }) =>
      hasChanged ? okAsync<boolean, SystemError>(true) : findIfLifted()
    );

    /** A lift whose reply was lost is proposed again, and finds no record. */
    function findIfLifted(): ResultAsync<boolean, SystemError> {
      return proposeCommand(
        control,
        { kind: CommandKind.ReadQuarantine },
        readQuarantineResultSchema,
      ).andThen(({ records }) =>
        records.some((entry) =>
            entry.service === service && entry.partId === partId
          )
          ? err(createStaleOrderError("the part's state has changed meanwhile"))
          : ok(true)
      );
    }
  }

  function logRefusal(error: SystemError, fields: LogFields): SystemError {
    const reason = error.message;
    logger.log(logEvents.operatorOrderRefused, { ...fields, reason });
    return error;
  }

  function proposeMove(
    { service, target, durationMs }: MoveRequest,
    origin: OrderOrigin,
    afterNumber: number,
  ): ResultAsync<StartMoveResult, SystemError> {
    const stableVersions = [
      ...new Set(
        listUpstreams().filter((entry) =>
          entry.service === service && entry.version !== target
        ).map(({ version }) => version),
      ),
    ];
    const order = { service, target, durationMs, stableVersions, afterNumber };
    return checkOrigin(origin).asyncAndThen(() =>
      proposeCommand(
        control,
        { kind: CommandKind.StartMove, order },
        startMoveResultSchema,
        { isWanted: () => !origin.isClosed() },
      )
    ).andThen((result) =>
      result.status === "overtaken"
        ? err(createStaleOrderError("another order was carried out meanwhile"))
        : ok(result)
    );
  }

  /** Reads what an order is based on, while its operator still waits. */
  function readBefore<T extends z.ZodType>(
    origin: OrderOrigin,
    command: Command,
    schema: T,
  ): ResultAsync<z.output<T>, SystemError> {
    return checkOrigin(origin).asyncAndThen(() =>
      proposeCommand(control, command, schema, {
        timeoutMs: origin.readAtMs + operatorPatienceMs - clock.nowMs(),
        isWanted: () => !origin.isClosed(),
      })
    );
  }

  function checkOrigin(origin: OrderOrigin): Result<void, SystemError> {
    const doubt = findOrderDoubt(origin, { nowMs: clock.nowMs(), pauses });
    return doubt === undefined ? ok() : err(createStaleOrderError(doubt));
  }
}

function createStaleOrderError(reason: string): SystemError {
  const message = `${reason}; repeat the order if it is still wanted`;
  return createError(ErrorKind.StaleOrder, message, { retryAfterMs: 100 });
}
