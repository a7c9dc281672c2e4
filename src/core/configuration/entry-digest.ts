/**
 * A hash over all keys and revisions of a replica, updated with each entry, so that the cost of an
 * update does not grow with the number of entries. The order of the entries does not matter.
 */
import { createHash } from 'node:crypto';
import type { ConfigurationEntry } from './store-layout.js';

const HEX_DIGITS = 16;
const HEX_RADIX = 16;

/** Incremental digest of a set of entries: the XOR of 64 bits of each entry's hash. */
export class EntryDigest {
  #bits = 0n;

  /** Adds an entry that is absent, or removes one that is present. */
  toggle({ key, revision }: ConfigurationEntry): void {
    this.#bits ^= createHash('sha256').update(`${key}\0${revision}`).digest().readBigUInt64BE();
  }

  /** 16 hexadecimal digits. */
  toString(): string {
    return this.#bits.toString(HEX_RADIX).padStart(HEX_DIGITS, '0');
  }
}
