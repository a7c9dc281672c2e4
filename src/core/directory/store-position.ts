/**
 * A place in the store's history as one number that only rises, also over returns from a copy: the era counts more than
 * the revision within it. Two positions may always be compared; a bare revision says nothing once the store went back.
 */

/** Changes that one era has room for: 34 years of 1,000 a second. */
const REVISIONS_PER_ERA = 2 ** 40;
/** Eras after which positions begin anew: they must stay exact numbers. */
const ERA_MODULUS = 2 ** 12;
/** The highest revision that a position can hold; the store gives out none so high. */
export const MAX_REVISION = REVISIONS_PER_ERA - 1;

/** Position of a revision of an era. */
export function toStorePosition(era: number, revision: number): number {
  return (era % ERA_MODULUS) * REVISIONS_PER_ERA + revision;
}

/** Whether a position lies in this era. */
export function isInEra(position: number, era: number): boolean {
  return Math.floor(position / REVISIONS_PER_ERA) === era % ERA_MODULUS;
}

/** Whether two positions lie in one era. */
export function isInSameEra(left: number, right: number): boolean {
  return Math.floor(left / REVISIONS_PER_ERA) === Math.floor(right / REVISIONS_PER_ERA);
}

/** The store's own revision of a position. */
export function revisionWithinEra(position: number): number {
  return position % REVISIONS_PER_ERA;
}
