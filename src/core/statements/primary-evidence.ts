/**
 * Proof that a primary was not replaced, without the store: every member of the group answers, and
 * none has the log of a later term. A commit at a later primary would show in that primary's own
 * log; so a read that began before the question was sent misses nothing acknowledged.
 *
 * Not the same as `core/promotion/evidence.ts`: here members tell a position only, by a message that
 * takes no slot, so that all of them must answer and a commit can't be vouched for. There they tell role
 * and term, at the price of a slot each, and some may be silent. This one is tried first.
 */
import type { Position } from '../position.js';
import type { Milliseconds } from '../units.js';

/** What one member of the group answered in one round; no position if it did not answer. */
export interface MemberAnswer {
  readonly instanceId: string;
  readonly position: Position | undefined;
}

/** A primary and the term in which it surely was one. */
export interface KnownPrimary {
  readonly instanceId: string;
  readonly term: number;
}

/**
 * True if the answers of a round prove that the primary was not replaced when it was sent. Its own
 * log must still be of the term in which it was known to lead: a replaced one that follows its
 * successor answers with the later term, as all others do.
 */
export function provesPrimary(primary: KnownPrimary, answers: readonly MemberAnswer[]): boolean {
  const own = answers.find((answer) => answer.instanceId === primary.instanceId)?.position;
  if (own?.timeline !== primary.term) return false;
  return answers.every(
    ({ position }) => position !== undefined && position.timeline <= primary.term,
  );
}

/** True if a member's log shows that another primary has committed something since. */
export function showsLaterTerm(primary: KnownPrimary, answers: readonly MemberAnswer[]): boolean {
  return answers.some(({ position }) => position !== undefined && position.timeline > primary.term);
}

/** The latest proof of one service. */
export class PrimaryEvidence {
  #primaryId: string | undefined;
  #provenAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Takes a round's answers; true if they are a proof. */
  noteRound(
    primary: KnownPrimary,
    sentAt: Milliseconds,
    answers: readonly MemberAnswer[],
  ): boolean {
    if (!provesPrimary(primary, answers)) return false;
    this.noteProof(primary.instanceId, sentAt);
    return true;
  }

  /** Another proof than a round of this kind covers what began by `provenAt`. */
  noteProof(primaryId: string, provenAt: Milliseconds): void {
    if (this.#primaryId !== primaryId) this.#provenAt = Number.NEGATIVE_INFINITY;
    this.#primaryId = primaryId;
    this.#provenAt = Math.max(this.#provenAt, provenAt);
  }

  /** True if a read that began at `beganAt` may rely on this primary. */
  covers(primaryId: string, beganAt: Milliseconds): boolean {
    return this.#primaryId === primaryId && beganAt <= this.#provenAt;
  }
}
