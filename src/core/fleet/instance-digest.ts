/** Summary of what one or several nodes observed of an instance in the last half second or slightly more. */
import type { Milliseconds } from '../units.js';

/**
 * Compact enough to be attached to messages that are sent anyway. `instanceId` identifies one incarnation, so that
 * a digest of an earlier incarnation refers to another instance.
 */
export interface InstanceDigest {
  readonly service: string;
  readonly instanceId: string;
  /** Mean age of the observations. */
  readonly ageMs: Milliseconds;
  /** Number of nodes that contributed observations. */
  readonly observers: number;
  readonly answered: number;
  /** Statements that the instance refused because all its slots were busy. */
  readonly refused: number;
  /** Statements without a response, and reads that failed with an error of the instance itself. */
  readonly failed: number;
  /** Mean response time of reads; 0 if none was timed. */
  readonly answerMs: Milliseconds;
  /** Mean wait of a statement for its connection. */
  readonly waitMs: Milliseconds;
}

/** One observation of an instance by a node. */
export type InstanceObservation =
  | {
      readonly type: 'answered';
      /** Absent where it does not predict the response time of the next read. */
      readonly answerMs?: Milliseconds | undefined;
    }
  | { readonly type: 'refused' }
  | { readonly type: 'failed' }
  /** A statement got its connection after `waitMs`. */
  | { readonly type: 'started'; readonly waitMs: Milliseconds };

/** Combined observations of an instance by all nodes; counts decay with their age. */
export interface FleetView {
  readonly observers: number;
  readonly answered: number;
  readonly refused: number;
  readonly failed: number;
  /** 0 if no read was timed. */
  readonly answerMs: Milliseconds;
  readonly waitMs: Milliseconds;
}

/** Why a digest from another node is ignored. */
export type DigestRefusal = 'stale' | 'implausible';

/** Number of observations in a digest or view. */
export function countObservations({
  answered,
  refused,
  failed,
}: Pick<InstanceDigest, 'answered' | 'refused' | 'failed'>): number {
  return answered + refused + failed;
}
