/**
 * TLS options for connections between instances.
 *
 * Instances authenticate each other with pre-shared keys. Keys are rotated
 * without downtime: the new key is added after the first one on all instances,
 * then moved to the front, and then the old key is removed.
 */
import { Buffer } from "node:buffer";
import type { PeerKey } from "./peer_key.ts";

// Node.js supports PSK cipher suites only up to TLS 1.2. ECDHE adds forward
// secrecy to the pre-shared key.
const cipherSuites = "ECDHE-PSK-CHACHA20-POLY1305:DHE-PSK-AES256-GCM-SHA384";

export const commonTlsOptions = {
  ciphers: cipherSuites,
  minVersion: "TLSv1.2",
  maxVersion: "TLSv1.2",
} as const;

export function getServerPskCallback(keys: readonly PeerKey[]) {
  return (_socket: unknown, identity: string): Buffer | null => {
    const key = keys.find((candidate) => candidate.keyId === identity);
    return key ? Buffer.from(key.keyHex, "hex") : null;
  };
}

export function getClientPskCallback(keys: readonly PeerKey[]) {
  const key = keys[0]!;
  return () => ({
    psk: Buffer.from(key.keyHex, "hex"),
    identity: key.keyId,
  });
}
