/** Finds the tenant of a caller's key in the current configuration. Keys are known only by their digests. */

/** A tenant and the digests of its keys. */
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

  /** The tenant's name; undefined if no tenant has the key. */
  tenantOf(keyDigest: string): string | undefined {
    return this.#tenants.get(keyDigest);
  }
}
