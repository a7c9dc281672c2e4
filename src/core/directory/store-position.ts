/**
 * A store position combines the store's era (number of its history between two restores from a backup) and a revision
 * in one comparable number. It increases across restores, unlike a bare revision, which a restore may set back.
 */

/** Revisions per era: enough for 34 years at 1,000 changes per second. */
const REVISIONS_PER_ERA = 2 ** 40;
/** Eras after which positions wrap around; bounded so that positions remain exact integers. */
const ERA_MODULUS = 2 ** 12;
/** Highest revision that a position can hold; the store never reaches it. */
export const MAX_REVISION = REVISIONS_PER_ERA - 1;

/** Combines an era and a revision into a store position. */
export function toStorePosition(era: number, revision: number): number {
  return (era % ERA_MODULUS) * REVISIONS_PER_ERA + revision;
}

/** Whether a position is in this era. */
export function isInEra(position: number, era: number): boolean {
  return Math.floor(position / REVISIONS_PER_ERA) === era % ERA_MODULUS;
}

/** Whether two positions are in the same era. */
export function isInSameEra(left: number, right: number): boolean {
  return Math.floor(left / REVISIONS_PER_ERA) === Math.floor(right / REVISIONS_PER_ERA);
}

/** The store's revision at a position. */
export function revisionWithinEra(position: number): number {
  return position % REVISIONS_PER_ERA;
}
