/** What one node, or several together, lately saw of an instance: a summary of half a second or a little more. */
import type { Milliseconds } from '../units.js';

/**
 * Compact enough to travel with messages that pass anyway. `instanceId` stands for one life of an instance, so that a
 * digest of an earlier life names another instance.
 */
export interface InstanceDigest {
  readonly service: string;
  readonly instanceId: string;
  /** Age of the observations, by their mean. */
  readonly ageMs: Milliseconds;
  /** Nodes behind it. */
  readonly observers: number;
  readonly answered: number;
  /** Statements that it refused since all its slots were busy. */
  readonly refused: number;
  /** Statements without an answer, and reads that it answered with an error of its own. */
  readonly failed: number;
  /** Mean time of an answer to a read; 0 if none was timed. */
  readonly answerMs: Milliseconds;
  /** Mean wait before a statement started. */
  readonly waitMs: Milliseconds;
}

/** One thing that a node saw of an instance. */
export type InstanceObservation =
  | {
      readonly type: 'answered';
      /** Left out where it says nothing of the next read. */
      readonly answerMs?: Milliseconds | undefined;
    }
  | { readonly type: 'refused' }
  | { readonly type: 'failed' }
  /** A statement got its connection after so long. */
  | { readonly type: 'started'; readonly waitMs: Milliseconds };

/** What all observers together know of an instance now; counts shrink with their age. */
export interface FleetView {
  readonly observers: number;
  readonly answered: number;
  readonly refused: number;
  readonly failed: number;
  /** 0 if no read was timed. */
  readonly answerMs: Milliseconds;
  readonly waitMs: Milliseconds;
}

/** Why a digest of another node says nothing. */
export type DigestRefusal = 'stale' | 'implausible';

/** Observations behind a digest or view. */
export function countObservations({
  answered,
  refused,
  failed,
}: Pick<InstanceDigest, 'answered' | 'refused' | 'failed'>): number {
  return answered + refused + failed;
}
