/** FNV-1a, a fast hash for short texts. It does not resist deliberately constructed collisions. */

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * 32-bit FNV-1a hash of a text, as an unsigned number.
 * @param seed selects another hash function, and so another order of the same texts
 */
export function hashText(text: string, seed = 0): number {
  let hash = FNV_OFFSET_BASIS ^ seed;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}
