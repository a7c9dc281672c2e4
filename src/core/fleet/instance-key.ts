/** A short number that stands for an instance's id where many instances are told of at once. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a of the id in 32 bits: two of some hundred instances have the same one in a million fleets. */
export function instanceKey(instanceId: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < instanceId.length; index += 1) {
    hash = Math.imul(hash ^ instanceId.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}
