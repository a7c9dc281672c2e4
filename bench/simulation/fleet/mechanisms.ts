/** Mechanisms between callers and owners that a run may disable, besides those of the owner's state machine. */

/** Mechanisms of the home nodes of sessions that move by their id alone. */
export const HOME_MECHANISMS = [
  /** A session that is unknown to its home nodes requires a confirmed primary. */
  'unknown-session',
  /** A position is written to and read from two home nodes. */
  'home-quorum',
  /** A restarted home node reports that it may have lost records. */
  'home-completeness',
] as const;

/** Mechanisms of gateways, idempotency keys and graceful shutdown. */
export const GATEWAY_MECHANISMS = [
  /** The gateway requires data at least as new as the session's position. */
  'gateway-session-position',
  /** A request claims its idempotency key in its own transaction. */
  'once-claim',
  /** "Done earlier" carries the position that later reads of the session must see. */
  'once-position',
  /** A gateway sends a write to another owner only if it was never sent or was refused. */
  'no-resend',
  /** A graceful shutdown waits for requests in progress. */
  'drain',
] as const;

export type FleetMechanism = (typeof HOME_MECHANISMS | typeof GATEWAY_MECHANISMS)[number];
