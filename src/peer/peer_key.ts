/**
 * Pre-shared key that authenticates the connections between instances.
 */

export interface PeerKey {
  readonly keyId: string;
  readonly keyHex: string;
}
