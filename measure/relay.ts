/**
 * TCP forwarder between two processes that can be cut like a network link:
 * what is sent over open connections arrives only after healing, and new
 * connections are reset.
 */
import type { Buffer } from "node:buffer";
import { connect, createServer, type Socket } from "node:net";

export interface Relay {
  readonly port: number;
  setCut(isCut: boolean): void;
  close(): void;
}

export async function startRelay(targetPort: number): Promise<Relay> {
  const sockets = new Set<Socket>();
  let held: (() => void)[] = [];
  let isCut = false;
  const server = createServer({ noDelay: true }, (caller) => {
    if (isCut) {
      caller.on("error", () => {}).resetAndDestroy();
      return;
    }
    const target = connect({
      port: targetPort,
      host: "127.0.0.1",
      noDelay: true,
    });
    forward(caller, target);
    forward(target, caller);
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  return {
    port: (server.address() as { port: number }).port,
    setCut,
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };

  function forward(from: Socket, to: Socket): void {
    sockets.add(from);
    from.on("data", (chunk: Buffer) => deliver(() => to.write(chunk)));
    from.on("end", () => deliver(() => to.end()));
    from.on("error", () => {});
    from.on("close", () => {
      sockets.delete(from);
      deliver(() => to.destroy());
    });
  }

  function deliver(action: () => void): void {
    if (isCut) held.push(action);
    else action();
  }

  function setCut(value: boolean): void {
    isCut = value;
    if (isCut) return;
    const actions = held;
    held = [];
    for (const action of actions) action();
  }
}
