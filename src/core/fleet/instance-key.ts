/** Short number that replaces an instance's id in messages about many instances. */
import { hashText } from '../hash-text.js';

/** 32-bit hash of the id: two of some hundred instances have the same key in one of a million fleets. */
export function instanceKey(instanceId: string): number {
  return hashText(instanceId);
}
