/**
 * Mechanisms that a mutation check disables to prove that the checkers notice; never disabled in
 * production.
 */
export const CONFIGURATION_MECHANISMS = [
  /** An entry is replaced only by a higher revision, and the replica's revision only rises. */
  'revision-order',
  /** A delta that would leave a gap is not applied; the missing changes are fetched. */
  'gap-check',
  /** Nodes compare digests with random peers. */
  'anti-entropy',
] as const;

/** A mechanism that a mutation check may disable. */
export type ConfigurationMechanism = (typeof CONFIGURATION_MECHANISMS)[number];
