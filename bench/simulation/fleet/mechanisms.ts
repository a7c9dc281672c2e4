/** Mechanisms between callers and owners that a run may turn off, beside those of the owner's machine. */
export const FLEET_MECHANISMS = [
  /** The gateway asks for data as new as the session's position. */
  'gateway-session-position',
  /** A session that its home nodes don't know needs a confirmed primary. */
  'unknown-session',
  /** A position is kept by two home nodes, and read from two. */
  'home-quorum',
  /** A home node that restarted says that it may have lost records. */
  'home-completeness',
  /** A keyed request claims its key in its own transaction. */
  'once-claim',
  /** A key used earlier is reported only after the primary was confirmed, with its position. */
  'once-position',
  /** A gateway sends a write to another owner only if it never left or was refused. */
  'no-resend',
  /** A planned stop waits for what is in progress. */
  'drain',
] as const;

export type FleetMechanism = (typeof FLEET_MECHANISMS)[number];
