/**
 * TCP relay between two processes that can simulate the faults of a network
 * link: cut, slow, silent in one or both directions, or reset.
 */
import type { Buffer } from "node:buffer";
import { connect, createServer, type Socket } from "node:net";

export type LinkFault =
  | { readonly kind: "none" }
  /** Bytes are held until the fault ends; new connections are reset. */
  | { readonly kind: "cut" }
  | { readonly kind: "slow"; readonly delayMs: number }
  /** Bytes are dropped silently, on affected connections also afterwards. */
  | {
    readonly kind: "silent";
    readonly direction: "toTarget" | "toCaller" | "both";
  };

export interface RelayTarget {
  readonly host: string;
  readonly port: number;
}

export interface Relay {
  readonly port: number;
  setCut(isCut: boolean): void;
  setFault(fault: LinkFault): void;
  /** Refuses new connections, as if no process had the port. */
  setListening(isListening: boolean): void;
  /** Resets each open connection with the probability `share`. */
  reset(share: number): void;
  close(): void;
}

type Direction = "toTarget" | "toCaller";

export async function startRelay(
  target: number | RelayTarget,
  listen: { readonly host: string; readonly port: number } = {
    host: "127.0.0.1",
    port: 0,
  },
): Promise<Relay> {
  const { host, port } = typeof target === "number"
    ? { host: "127.0.0.1", port: target }
    : target;
  const pairs = new Set<readonly [Socket, Socket]>();
  let held: (() => void)[] = [];
  let fault: LinkFault = { kind: "none" };
  const server = createServer({ noDelay: true }, (caller) => {
    if (fault.kind === "cut") {
      caller.on("error", () => {}).resetAndDestroy();
      return;
    }
    const upstream = connect({ port, host, noDelay: true });
    const pair = [caller, upstream] as const;
    pairs.add(pair);
    forward(caller, upstream, "toTarget");
    forward(upstream, caller, "toCaller");

    function forward(from: Socket, to: Socket, direction: Direction): void {
      const queue = createOrderedQueue();
      // A TCP stream with a gap is useless: after the first dropped bytes
      // nothing more is delivered in this direction of the connection.
      let hasLostBytes = false;
      const transfer = (action: () => void) => {
        hasLostBytes ||= isSilent(direction);
        if (!hasLostBytes) deliver(action, queue);
      };
      from.on("data", (chunk: Buffer) => transfer(() => to.write(chunk)));
      from.on("end", () => transfer(() => to.end()));
      from.on("error", () => {});
      from.on("close", (hadError) => {
        pairs.delete(pair);
        transfer(() => hadError ? to.resetAndDestroy() : to.destroy());
      });
    }
  });
  await new Promise<void>((resolve) =>
    server.listen(listen.port, listen.host, () => resolve())
  );
  const { port: listeningPort } = server.address() as { port: number };
  let isClosed = false;
  return {
    port: listeningPort,
    setCut: (isCut) => setFault(isCut ? { kind: "cut" } : { kind: "none" }),
    setFault,
    setListening: (isListening) => {
      if (isClosed || server.listening === isListening) return;
      if (isListening) server.listen(listeningPort, listen.host);
      else server.close();
    },
    reset,
    close: () => {
      isClosed = true;
      server.close();
      for (const pair of pairs) for (const socket of pair) socket.destroy();
    },
  };

  function isSilent(direction: Direction): boolean {
    return fault.kind === "silent" &&
      (fault.direction === "both" || fault.direction === direction);
  }

  function deliver(action: () => void, queue: OrderedQueue): void {
    if (fault.kind === "cut") held.push(() => queue.add(action, 0));
    else queue.add(action, fault.kind === "slow" ? fault.delayMs : 0);
  }

  function setFault(next: LinkFault): void {
    fault = next;
    if (fault.kind === "cut") return;
    const actions = held;
    held = [];
    for (const action of actions) action();
  }

  function reset(share: number): void {
    for (const pair of [...pairs]) {
      if (Math.random() >= share) continue;
      for (const socket of pair) socket.resetAndDestroy();
    }
  }
}

interface OrderedQueue {
  add(action: () => void, delayMs: number): void;
}

/** Runs actions in order: an action waits for all earlier, delayed ones. */
function createOrderedQueue(): OrderedQueue {
  const waiting: { readonly action: () => void; readonly dueMs: number }[] = [];
  return {
    add: (action, delayMs) => {
      const dueMs = performance.now() + delayMs;
      if (delayMs === 0 && waiting.length === 0) {
        action();
        return;
      }
      waiting.push({ action, dueMs });
      if (waiting.length === 1) setTimeout(runDueActions, delayMs);
    },
  };

  function runDueActions(): void {
    const nowMs = performance.now();
    while (waiting.length > 0 && waiting[0]!.dueMs <= nowMs) {
      waiting.shift()!.action();
    }
    const next = waiting[0];
    if (next) setTimeout(runDueActions, Math.max(1, next.dueMs - nowMs));
  }
}
