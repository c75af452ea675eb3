/**
 * TCP forwarder between two processes that can fail like a network link: cut,
 * slow, silent in one direction, or reset.
 */
import type { Buffer } from "node:buffer";
import { connect, createServer, type Socket } from "node:net";

export type LinkFault =
  | { readonly kind: "none" }
  /** Held until the link heals; new connections are reset. */
  | { readonly kind: "cut" }
  | { readonly kind: "slow"; readonly delayMs: number }
  /** Lost without a sign, also after healing. */
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
  /** Resets the share of the open connections. */
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
    // A link that lost bytes of a connection never carries it again.
    const lost = new Set<Direction>();
    forward(caller, upstream, "toTarget");
    forward(upstream, caller, "toCaller");

    function forward(from: Socket, to: Socket, direction: Direction): void {
      const pass = (action: () => void) => {
        if (isSilent(direction)) lost.add(direction);
        if (!lost.has(direction)) deliver(action);
      };
      from.on("data", (chunk: Buffer) => pass(() => to.write(chunk)));
      from.on("end", () => pass(() => to.end()));
      from.on("error", () => {});
      from.on("close", (hadError) => {
        pairs.delete(pair);
        pass(() => hadError ? to.resetAndDestroy() : to.destroy());
      });
    }
  });
  await new Promise<void>((resolve) =>
    server.listen(listen.port, listen.host, () => resolve())
  );
  return {
    port: (server.address() as { port: number }).port,
    setCut: (isCut) => setFault(isCut ? { kind: "cut" } : { kind: "none" }),
    setFault,
    reset,
    close: () => {
      server.close();
      for (const pair of pairs) for (const socket of pair) socket.destroy();
    },
  };

  function isSilent(direction: Direction): boolean {
    return fault.kind === "silent" &&
      (fault.direction === "both" || fault.direction === direction);
  }

  function deliver(action: () => void): void {
    if (fault.kind === "cut") held.push(action);
    else if (fault.kind === "slow") setTimeout(action, fault.delayMs);
    else action();
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
