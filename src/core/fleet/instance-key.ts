/** A short number that stands for an instance's id where many instances are told of at once. */
import { hashText } from '../hash-text.js';

/** 32 bits of the id: two of some hundred instances have the same one in a million fleets. */
export function instanceKey(instanceId: string): number {
  return hashText(instanceId);
}
