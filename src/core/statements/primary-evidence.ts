/**
 * Proof that a primary was not replaced, without the coordination store: every member of the group answers, and
 * none has a log of a later term. A commit at a later primary would show in that primary's own log; so a read
 * that began before the members were asked misses no acknowledged commit.
 *
 * Differs from `core/promotion/evidence.ts`: here members report only their position, by a message that takes no
 * slot, so all of them must answer, and the proof does not cover commits. There they report role and term, at the
 * cost of a slot each, and some need not answer. This proof is tried first.
 */
import type { Position } from '../position.js';
import type { Milliseconds } from '../units.js';

/** Result of asking one member of the group in one round. */
export interface MemberAnswer {
  readonly instanceId: string;
  /** Undefined if the member did not answer. */
  readonly position: Position | undefined;
}

/** A primary and a term in which it is known to have led. */
export interface KnownPrimary {
  readonly instanceId: string;
  readonly term: number;
}

/**
 * True if the answers of a round prove that the primary had not been replaced when the round was sent. The primary's
 * own log must still be of the term in which it was known to lead: a replaced primary that follows its successor
 * answers with the later term, as all others do.
 */
export function provesPrimary(primary: KnownPrimary, answers: readonly MemberAnswer[]): boolean {
  const own = answers.find((answer) => answer.instanceId === primary.instanceId)?.position;
  if (own?.timeline !== primary.term) return false;
  return answers.every(
    ({ position }) => position !== undefined && position.timeline <= primary.term,
  );
}

/** True if a member's log shows that another primary has committed since. */
export function showsLaterTerm(primary: KnownPrimary, answers: readonly MemberAnswer[]): boolean {
  return answers.some(({ position }) => position !== undefined && position.timeline > primary.term);
}

/** The latest proof of one service. */
export class PrimaryEvidence {
  #primaryId: string | undefined;
  #provenAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Records the answers of a round; returns true if they are a proof. */
  recordRound(
    primary: KnownPrimary,
    sentAt: Milliseconds,
    answers: readonly MemberAnswer[],
  ): boolean {
    if (!provesPrimary(primary, answers)) return false;
    this.recordProof(primary.instanceId, sentAt);
    return true;
  }

  /** Records a proof of any kind: the primary had not been replaced at `provenAt`. */
  recordProof(primaryId: string, provenAt: Milliseconds): void {
    if (this.#primaryId !== primaryId) this.#provenAt = Number.NEGATIVE_INFINITY;
    this.#primaryId = primaryId;
    this.#provenAt = Math.max(this.#provenAt, provenAt);
  }

  /** True if a read that began at `beganAt` may rely on this primary. */
  covers(primaryId: string, beganAt: Milliseconds): boolean {
    return this.#primaryId === primaryId && beganAt <= this.#provenAt;
  }
}
