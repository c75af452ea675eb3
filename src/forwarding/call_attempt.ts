/**
 * One attempt of a plain call at one upstream. The response is held back until
 * it is whole, so that a broken one can be tried again, unless it is large.
 */
import { Buffer } from "node:buffer";
import { assertNever } from "../core/assert_never.ts";
import type {
  AdmittedRequest,
  ForwardingContext,
} from "./forwarding_context.ts";
import { HeadVerdict, judgeHead } from "./forwarding_steps.ts";
import type { RawHeaders } from "./forwarding_protocol.ts";
import type { UpstreamUse } from "./upstream_directory.ts";

export interface WholeResponse {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly body: Buffer;
}

export type AttemptOutcome =
  | ({ readonly kind: "answered" } & WholeResponse)
  /** The upstream says, or it is certain, that the request did not run. */
  | { readonly kind: "notRun"; readonly reason: string }
  | { readonly kind: "unknown"; readonly reason: string }
  /** Too large to hold back; it is passed on as it arrives. */
  | { readonly kind: "passedOn" };

export interface CallAttempt {
  readonly outcome: Promise<AttemptOutcome>;
  /** Ends the attempt; its outcome never settles. */
  cancel(): void;
}

/** Larger responses are passed on as they arrive. */
const maxHeldBytes = 1024 * 1024;

export function startCallAttempt(
  context: ForwardingContext,
  { caller, customerId, body, endsAtMs }: AdmittedRequest,
  use: UpstreamUse,
  { mayReuseConnection }: { readonly mayReuseConnection: boolean },
): CallAttempt {
  const { protocol, connections, directory, clock } = context;
  const { info } = use.upstream;
  const { upstreamId } = info;
  let settle: (outcome: AttemptOutcome) => void = () => {};
  const outcome = new Promise<AttemptOutcome>((resolve) => settle = resolve);
  let head: { status: number; headers: RawHeaders } | undefined;
  let chunks: Buffer[] = [];
  let heldBytes = 0;
  let isPassedOn = false;
  const sentAtMs = clock.nowMs();
  const exchange = connections.send({
    host: info.host,
    port: info.port,
    method: caller.method,
    path: caller.path,
    headers: protocol.buildUpstreamHeaders(caller.rawHeaders, {
      upstreamId,
      remainingMs: Math.max(1, endsAtMs - clock.nowMs()),
      customerId,
      lastEventId: caller.description.lastEventId,
      backupAddress: undefined,
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
      use.release();
      // A lost answer says little of an upstream that answers others; one that
      // has crashed refuses the next connection, which runs nothing.
      if (wasSent) directory.recordBroken(upstreamId);
      else directory.recordLost(upstreamId, reason);
      if (isPassedOn) caller.breakOff();
      settle({ kind: wasSent ? "unknown" : "notRun", reason });
    },
  });
  return {
    outcome,
    cancel: () => {
      use.release();
      exchange.cancel();
    },
  };

  function onHead(status: number, headers: RawHeaders): void {
    const { requestId } = caller.description;
    const verdict = judgeHead(context, use.upstream, {
      requestId,
      status,
      headers,
    });
    switch (verdict) {
      case HeadVerdict.Accepted:
        head = { status, headers };
        return;
      case HeadVerdict.OtherRequest:
        end({ kind: "unknown", reason: "the response is for another request" });
        return;
      case HeadVerdict.Misdirected:
        end({ kind: "notRun", reason: "another upstream has the address" });
        return;
      case HeadVerdict.NotRun:
        end({ kind: "notRun", reason: `refused with status ${status}` });
        return;
      case HeadVerdict.Foreign:
        directory.recordFailure(upstreamId, clock.nowMs() - sentAtMs);
        end({ kind: "unknown", reason: "the response is not the upstream's" });
        return;
      default:
        assertNever(verdict);
    }
  }

  function end(result: AttemptOutcome): void {
    use.release();
    exchange.cancel();
    settle(result);
  }

  function onData(chunk: Buffer): void {
    directory.recordHeard(upstreamId);
    if (isPassedOn) {
      passOn(chunk);
      return;
    }
    chunks.push(chunk);
    heldBytes += chunk.length;
    if (heldBytes <= maxHeldBytes) return;
    isPassedOn = true;
    caller.startAnswer(
      head!.status,
      protocol.buildCallerHeaders(head!.headers),
    );
    for (const held of chunks) passOn(held);
    chunks = [];
  }

  function passOn(chunk: Buffer): void {
    if (caller.write(chunk)) return;
    exchange.pause();
    caller.onDrain(exchange.resume);
  }

  function onEnd(): void {
    use.release();
    const durationMs = clock.nowMs() - sentAtMs;
    if (head!.status >= 500) directory.recordFailure(upstreamId, durationMs);
    else directory.recordSuccess(upstreamId, durationMs);
    if (isPassedOn) {
      caller.endAnswer();
      settle({ kind: "passedOn" });
      return;
    }
    settle({ kind: "answered", ...head!, body: Buffer.concat(chunks) });
  }
}
