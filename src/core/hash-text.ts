/** FNV-1a: a quick hash of short texts. No protection against texts that are chosen to collide. */

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * 32-bit FNV-1a hash of a text, as an unsigned number.
 * @param salt gives another order of the same texts
 */
export function hashText(text: string, salt = 0): number {
  let hash = FNV_OFFSET_BASIS ^ salt;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}
