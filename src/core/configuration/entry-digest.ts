/**
 * A hash over all keys and revisions that a replica holds, kept up entry by entry: its cost does not
 * grow with the number of entries, and their order does not matter.
 */
import { createHash } from 'node:crypto';
import type { ConfigurationEntry } from './store-layout.js';

const HEX_DIGITS = 16;
const HEX_RADIX = 16;

/** Digest of a set of entries, kept up to date entry by entry. */
export class EntryDigest {
  #bits = 0n;

  /** Puts an entry in, or takes one out that is in. */
  toggle({ key, revision }: ConfigurationEntry): void {
    this.#bits ^= createHash('sha256').update(`${key}\0${revision}`).digest().readBigUInt64BE();
  }

  /** 16 hexadecimal digits. */
  toString(): string {
    return this.#bits.toString(HEX_RADIX).padStart(HEX_DIGITS, '0');
  }
}
