/** Hash function for ownership: xxHash64 by xxhash-wasm. Load it once at start-up. */
import xxhash from 'xxhash-wasm';
import type { Hash64 } from './rendezvous.js';

/** Resolves once the hash can be used synchronously. */
export async function loadHash64(): Promise<Hash64> {
  const { h64 } = await xxhash();
  return (text) => h64(text);
}
