/**
 * Pre-shared key of the connections between instances.
 */

export interface PeerKey {
  readonly keyId: string;
  readonly keyHex: string;
}
