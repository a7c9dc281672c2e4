/**
 * Which records that a node knows hold though the store came back from a copy without them: what was acted on is never taken
 * back. Keys that hang on leases, and what the leader makes anew from these, are the store's alone.
 */
import type { KeyValue } from '../../platform/contract.js';
import { revisionWithinEra } from '../directory/store-position.js';
import {
  decodeRecord,
  isMembersKey,
  isNoteKey,
  type PrimaryRecord,
  primaryForm,
  serviceOfPrimaryKey,
} from './records.js';

/**
 * Whether what is known of a key is newer than what the store holds of it after its return.
 * @param isRead the store's entry is of the first read after that, and not of a change made since
 */
export function isLostRecord(
  known: KeyValue,
  stored: KeyValue | undefined,
  isRead: boolean,
): boolean {
  if (known.value === stored?.value) return false;
  if (serviceOfPrimaryKey(known.key) !== undefined) {
    return isLaterRecord(decodeRecord(known, primaryForm), decodeRecord(stored, primaryForm));
  }
  if (!isMembersKey(known.key) && !isNoteKey(known.key)) return false;
  if (stored === undefined) return true;
  // Whoever changed it since had read it before.
  return isRead && revisionWithinEra(known.modRevision) > revisionWithinEra(stored.modRevision);
}

/** Changes are counted; each begins with one record and ends with the other. */
function isLaterRecord(known: PrimaryRecord | undefined, stored: PrimaryRecord | undefined) {
  if (known === undefined || stored === undefined) return known !== undefined;
  if (known.change !== stored.change) return known.change > stored.change;
  return known.phase === 'serving' && stored.phase === 'changing';
}
