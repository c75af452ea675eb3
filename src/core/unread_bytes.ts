/**
 * Tells whether callers take the bytes that were written to their connections.
 *
 * The process itself sees progress only when the buffer of the system has much
 * room again, which takes minutes for a slow reader. Linux states how many bytes
 * the other side has not acknowledged yet.
 */
import { readFile } from "node:fs/promises";
import type { Socket } from "node:net";

const tablePath = "/proc/net/tcp";

/**
 * Returns the unacknowledged bytes by connection, or nothing where the system
 * does not state them.
 */
export async function readUnacknowledgedBytes(): Promise<Map<string, string>> {
  const table = await readFile(tablePath, "latin1").catch(() => "");
  const bytes = new Map<string, string>();
  for (const line of table.split("\n").slice(1)) {
    const [, local, remote, , queues] = line.trim().split(/\s+/);
    if (queues) bytes.set(`${local} ${remote}`, queues.split(":")[0]!);
  }
  return bytes;
}

/** Key of the socket in the map; IPv4 only. */
export function getConnectionKey(socket: Socket): string {
  const { localAddress, localPort, remoteAddress, remotePort } = socket;
  return `${encodeEnd(localAddress, localPort)} ${
    encodeEnd(remoteAddress, remotePort)
  }`;
}

function encodeEnd(address = "", port = 0): string {
  const octets = address.replace(/^::ffff:/, "").split(".").map(Number);
  const text = octets.reverse().map((octet) => formatHex(octet, 2)).join("");
  return `${text}:${formatHex(port, 4)}`;
}

function formatHex(value: number, digits: number): string {
  return value.toString(16).toUpperCase().padStart(digits, "0");
}
