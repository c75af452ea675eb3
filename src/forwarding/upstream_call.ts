/**
 * A call of this instance itself to an upstream, such as for its report: the
 * response is short, and one that is too long or too late counts as none.
 */
import type { Buffer } from "node:buffer";
import { createByteCollector } from "../core/byte_collector.ts";
import { setTimeoutAfterReads } from "../core/timeout_after_reads.ts";
import type { ProtocolCall } from "./forwarding_protocol.ts";
import type { UpstreamConnections } from "./upstream_connections.ts";

export interface UpstreamCall extends ProtocolCall {
  readonly host: string;
  readonly port: number;
  readonly timeoutMs: number;
}

export interface CallResponse {
  /** 0 if there is no complete response. */
  readonly status: number;
  readonly body: Buffer;
}

/** Reports and replies have some hundred bytes. */
const maxBodyBytes = 256 * 1024;

/** Calls back exactly once. */
export function callUpstream(
  connections: UpstreamConnections,
  { host, port, method, path, headers, body, timeoutMs }: UpstreamCall,
  onResponse: (response: CallResponse) => void,
): void {
  const received = createByteCollector();
  let status = 0;
  let isFinished = false;
  const exchange = connections.send({
    host,
    port,
    method,
    path,
    headers: ["Host", `${host}:${port}`, ...headers],
    body,
    mayReuseConnection: true,
  }, {
    onHead: (value) => status = value,
    onData: (chunk) => {
      received.add(chunk);
      if (received.getSizeBytes() > maxBodyBytes) abort();
    },
    onEnd: () => finish(status),
    onFailure: () => finish(0),
  });
  const cancelTimeout = setTimeoutAfterReads(abort, timeoutMs);

  function abort(): void {
    exchange.cancel();
    finish(0);
  }

  function finish(finalStatus: number): void {
    if (isFinished) return;
    isFinished = true;
    cancelTimeout();
    onResponse({ status: finalStatus, body: received.takeAll() });
  }
}
