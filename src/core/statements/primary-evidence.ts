/**
 * Proof that a primary was not replaced, without the store: every member of the group answers, and
 * none has the log of a later term. A commit at a later primary would show in that primary's own
 * log; so a read that began before the question was sent misses nothing acknowledged.
 */
import type { Position } from '../position.js';
import type { Milliseconds } from '../units.js';

/** What one member of the group answered in one round; no position if it did not answer. */
export interface MemberAnswer {
  readonly instanceId: string;
  readonly position: Position | undefined;
}

/** True if the answers of a round prove that `primaryId` was not replaced when it was sent. */
export function provesPrimary(primaryId: string, answers: readonly MemberAnswer[]): boolean {
  const own = answers.find((answer) => answer.instanceId === primaryId)?.position;
  if (own === undefined) return false;
  return answers.every(
    ({ position }) => position !== undefined && position.timeline <= own.timeline,
  );
}

/** The latest proof of one service. */
export class PrimaryEvidence {
  #primaryId: string | undefined;
  #provenAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Takes a round's answers; true if they are a proof. */
  noteRound(primaryId: string, sentAt: Milliseconds, answers: readonly MemberAnswer[]): boolean {
    if (!provesPrimary(primaryId, answers)) return false;
    if (this.#primaryId !== primaryId) this.#provenAt = Number.NEGATIVE_INFINITY;
    this.#primaryId = primaryId;
    this.#provenAt = Math.max(this.#provenAt, sentAt);
    return true;
  }

  /** True if a read that began at `beganAt` may rely on this primary. */
  covers(primaryId: string, beganAt: Milliseconds): boolean {
    return this.#primaryId === primaryId && beganAt <= this.#provenAt;
  }
}
