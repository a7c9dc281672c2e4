/** Mechanisms that a test may turn off, to prove that their absence is noticed. Never in production. */
export const CONFIGURATION_MECHANISMS = [
  /** An entry is replaced by a higher revision only, and the revision of the whole only grows. */
  'revision-order',
  /** A delta that starts beyond what is held is not applied; what is missing is fetched. */
  'gap-check',
  /** Nodes compare digests with random peers. */
  'anti-entropy',
] as const;

/** A mechanism that a test may turn off. */
export type ConfigurationMechanism = (typeof CONFIGURATION_MECHANISMS)[number];
