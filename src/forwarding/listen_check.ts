/**
 * Tells an upstream that has crashed from one that has only reset a connection:
 * the latter still accepts connections.
 */
import type { ListedUpstream } from "../upstreams/upstream_view.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/** A crashed upstream has closed its listener by then, and is not back yet. */
const listenCheckDelayMs = 50;

/** Calls back if the upstream accepts connections after one was lost. */
export function checkListening(
  { clock, connections }: Pick<ForwardingContext, "clock" | "connections">,
  { host, port }: Pick<ListedUpstream, "host" | "port">,
  onListening: () => void,
): void {
  void clock.sleep(listenCheckDelayMs).then(async () => {
    if (await connections.isListening(host, port)) onListening();
  });
}
