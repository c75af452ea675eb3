/**
 * Sends a non-streaming call to one upstream. The response is buffered until it
 * is complete, so that the call can still be retried when the connection breaks
 * or the upstream fails. A response above `maxBufferedBytes`, or above what all
 * attempts together may hold, is relayed as it arrives instead. What was
 * buffered counts as held until the caller has taken it, so that callers that
 * read slowly cannot make the instance hold more.
 */
import type { Buffer } from "node:buffer";
import { assertNever } from "../core/assert_never.ts";
import { createByteCollector } from "../core/byte_collector.ts";
import type {
  AdmittedRequest,
  ForwardingContext,
} from "./forwarding_context.ts";
import { classifyHead, HeadClass } from "./forwarding_steps.ts";
import type { RawHeaders } from "./forwarding_protocol.ts";
import { isBrokenOff } from "./response_framing.ts";
import type { ResponseOrigin } from "./upstream_connections.ts";
import type { RequestLoad } from "./upstream_types.ts";

export interface CompleteResponse {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly body: Buffer;
}

export type AttemptOutcome =
  | ({ readonly kind: "answered" } & CompleteResponse)
  /** The request certainly did not run, or the upstream states that. */
  | { readonly kind: "notRun"; readonly reason: string }
  | {
    readonly kind: "unknown";
    readonly reason: string;
    /**
     * The connection ended after the request was sent and before any response,
     * as it does when the upstream crashes.
     */
    readonly hasUpstreamEnded?: boolean;
  }
  /** The response was too large to buffer and was relayed as it arrived. */
  | { readonly kind: "passedOn" };

export interface CallAttempt {
  readonly outcome: Promise<AttemptOutcome>;
  /** Cancels the attempt; its `outcome` never settles afterwards. */
  cancel(): void;
}

/** Larger responses are relayed as they arrive. */
const maxBufferedBytes = 1024 * 1024;

export function startCallAttempt(
  context: ForwardingContext,
  { caller, customerId, body, deadlineAtMs }: AdmittedRequest,
  requestLoad: RequestLoad,
  { mayReuseConnection }: { readonly mayReuseConnection: boolean },
): CallAttempt {
  const { protocol, connections, directory, clock, limits } = context;
  const { info } = requestLoad.upstream;
  const { upstreamId } = info;
  let settle: (outcome: AttemptOutcome) => void = () => {};
  const outcome = new Promise<AttemptOutcome>((resolve) => settle = resolve);
  let head: { status: number; headers: RawHeaders } | undefined;
  const held = createByteCollector();
  const share = context.heldResponses.open();
  let isRelaying = false;
  const sentAtMs = clock.nowMs();
  limits.recordSend(upstreamId);
  const exchange = connections.send({
    host: info.host,
    port: info.port,
    method: caller.method,
    path: caller.path,
    headers: protocol.buildUpstreamHeaders(caller.rawHeaders, {
      upstreamId,
      remainingMs: Math.max(1, deadlineAtMs - clock.nowMs()),
      customerId,
      lastEventId: caller.description.lastEventId,
      copyHolderAddress: undefined,
      resumeFrom: undefined,
      enginePriority: undefined,
      bodyBytes: body.length,
    }),
    body,
    mayReuseConnection,
  }, {
    onHead,
    onData,
    onEnd,
    onFailure: ({ wasSent, reason }) => {
      release();
      // An incomplete response does not show that the upstream is down: the
      // upstream may still serve other requests. If it has crashed, it refuses
      // the next connection, and a request on a refused connection does not
      // run.
      if (wasSent) directory.recordIncompleteResponse(upstreamId);
      else directory.recordLoss(upstreamId, reason);
      if (isRelaying) caller.abort(reason);
      settle(
        wasSent
          ? { kind: "unknown", reason, hasUpstreamEnded: head === undefined }
          : { kind: "notRun", reason },
      );
    },
  });
  return {
    outcome,
    cancel: () => {
      release();
      exchange.cancel();
    },
  };

  function onHead(
    status: number,
    headers: RawHeaders,
    origin: ResponseOrigin,
  ): void {
    const { requestId } = caller.description;
    const headClass = classifyHead(context, requestLoad.upstream, {
      requestId,
      status,
      headers,
      origin,
    });
    switch (headClass) {
      case HeadClass.Accepted:
        head = { status, headers };
        return;
      case HeadClass.OtherRequest:
        end({ kind: "unknown", reason: "the response is for another request" });
        return;
      case HeadClass.Misdirected:
        end({ kind: "notRun", reason: "another upstream has the address" });
        return;
      case HeadClass.NotRun:
        end({ kind: "notRun", reason: `refused with status ${status}` });
        return;
      case HeadClass.UnprovenRefusal:
        end({ kind: "unknown", reason: "the refusal names no request" });
        return;
      case HeadClass.Unattested:
        directory.recordFailure(upstreamId);
        end({
          kind: "unknown",
          reason: "the response is not from the upstream",
        });
        return;
      default:
        assertNever(headClass);
    }
  }

  function release(): void {
    requestLoad.release();
    share.release();
  }

  function end(result: AttemptOutcome): void {
    release();
    exchange.cancel();
    settle(result);
  }

  function onData(chunk: Buffer): void {
    directory.recordActivity(upstreamId);
    if (isRelaying) {
      relayChunk(chunk);
      return;
    }
    held.add(chunk);
    const mayHold = share.tryTake(chunk.length);
    if (mayHold && held.getSizeBytes() <= maxBufferedBytes) return;
    isRelaying = true;
    caller.startResponse(
      head!.status,
      protocol.buildCallerHeaders(head!.headers),
    );
    let isTaken = true;
    for (const block of held.takeBlocks()) isTaken = relayChunk(block);
    if (isTaken) share.release();
    else {
      caller.onDrain(share.release);
      caller.onEnd(share.release);
    }
  }

  function relayChunk(chunk: Buffer): boolean {
    if (caller.write(chunk)) return true;
    exchange.pause();
    caller.onDrain(exchange.resume);
    return false;
  }

  function onEnd(): void {
    requestLoad.release();
    const response = { ...head!, body: held.takeAll() };
    if (!isRelaying && isBrokenOff(caller.method, response)) {
      directory.recordIncompleteResponse(upstreamId);
      share.release();
      settle({ kind: "unknown", reason: "the response was broken off" });
      return;
    }
    caller.onEnd(share.release);
    const durationMs = clock.nowMs() - sentAtMs;
    if (head!.status >= 500) directory.recordFailure(upstreamId);
    else directory.recordSuccess(upstreamId, durationMs);
    // A refused request costs no work, and a relayed one waits for its caller.
    if (head!.status < 300 && !isRelaying) {
      directory.recordCallDuration(upstreamId, durationMs);
    }
    if (isRelaying) {
      caller.endResponse();
      settle({ kind: "passedOn" });
      return;
    }
    settle({ kind: "answered", ...response });
  }
}
