/** Mechanisms between callers and owners that a run may turn off, beside those of the owner's machine. */

/** Of the home nodes of sessions that move with nothing but their id. */
export const HOME_MECHANISMS = [
  /** A session that its home nodes don't know needs a confirmed primary. */
  'unknown-session',
  /** A position is kept by two home nodes, and read from two. */
  'home-quorum',
  /** A home node that restarted says that it may have lost records. */
  'home-completeness',
] as const;

/** Of gateways, keyed requests and planned stops. */
export const GATEWAY_MECHANISMS = [
  /** The gateway asks for data as new as the session's position. */
  'gateway-session-position',
  /** A keyed request claims its key in its own transaction. */
  'once-claim',
  /** "Done earlier" comes with the position that the session must see from then on. */
  'once-position',
  /** A gateway sends a write to another owner only if it never left or was refused. */
  'no-resend',
  /** A planned stop waits for what is in progress. */
  'drain',
] as const;

export type FleetMechanism = (typeof HOME_MECHANISMS | typeof GATEWAY_MECHANISMS)[number];
