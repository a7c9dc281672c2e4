/** Which tenant a caller's key gives, by the configuration in force. Keys are known by what stands for them. */

/** A tenant and what stands for its keys. */
export interface KeyHolder {
  readonly name: string;
  readonly keyDigests: readonly string[];
}

export class KeyRing {
  readonly #tenants = new Map<string, string>();

  constructor(holders: readonly KeyHolder[]) {
    for (const { name, keyDigests } of holders) {
      for (const digest of keyDigests) this.#tenants.set(digest, name);
    }
  }

  /** The tenant's name; undefined if nobody holds the key. */
  tenantOf(keyDigest: string): string | undefined {
    return this.#tenants.get(keyDigest);
  }
}
