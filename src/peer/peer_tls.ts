/**
 * TLS options for connections between instances.
 *
 * Instances authenticate each other with pre-shared keys. Keys are renewed
 * without a stop: a new key is added behind the first on all instances, then
 * moved to the front, then the old one is removed.
 */
import { Buffer } from "node:buffer";
import type { PeerKey } from "./peer_key.ts";

// PSK cipher suites exist only up to TLS 1.2 in Node.js. ECDHE gives forward
// secrecy on top of the shared key.
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
