/**
 * The second source of trust in a primary, for when the lease has lapsed because the store is away: a
 * round of questions to every member of the group. A later primary that had acknowledged a commit
 * would have given its term to as many replicas as a commit needs. So if few enough members don't
 * answer, and none that does knows of a later term, no later primary had acknowledged anything when
 * the round was sent: whatever began by then, a read or the passing on of a commit, is as good as if
 * no later primary existed.
 */
import type { InstanceStatus } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';

/** `none`: no answer, or none that tells. */
export type RoundAnswer = InstanceStatus | 'none';

/** One finished round. */
export interface TermRound {
  readonly service: string;
  /** The instance that is taken for the primary. */
  readonly primary: string;
  readonly sentAt: Milliseconds;
  readonly syncReplicas: number;
  /** Of every member that is known, the primary included, by id. */
  readonly answers: ReadonlyMap<string, RoundAnswer>;
}

/** True if the round proves that no later primary had acknowledged anything when it was sent. */
export function provesPrimary({ primary, answers, syncReplicas }: TermRound): boolean {
  const leader = answers.get(primary);
  if (typeof leader !== 'object' || leader.role !== 'primary') return false;
  let unanswered = 0;
  for (const [id, answer] of answers) {
    if (id === primary) continue;
    if (answer === 'none') unanswered += 1;
    else if (answer.role === 'primary' || termOf(answer) > leader.term) return false;
  }
  return unanswered <= syncReplicas;
}

function termOf({ term, received }: InstanceStatus): number {
  return Math.max(term, received.timeline);
}

interface Proof {
  readonly primary: string;
  readonly until: Milliseconds;
}

/** Until when the primary of each service is proven, and when the next round may be sent. */
export class PrimaryEvidence {
  readonly #proofs = new Map<string, Proof>();
  readonly #lastSentAt = new Map<string, Milliseconds>();

  constructor(private readonly minimumGapMs: Milliseconds) {}

  /** True if what happened by `at` needs no further round. */
  covers(service: string, primary: string, at: Milliseconds): boolean {
    const proof = this.#proofs.get(service);
    return proof !== undefined && proof.primary === primary && at <= proof.until;
  }

  /** Earliest time of the next round: many wait for the same one. */
  nextRoundAt(service: string, now: Milliseconds): Milliseconds {
    const lastSentAt = this.#lastSentAt.get(service) ?? Number.NEGATIVE_INFINITY;
    return Math.max(now, lastSentAt + this.minimumGapMs);
  }

  noteSent(service: string, now: Milliseconds): void {
    this.#lastSentAt.set(service, now);
  }

  /** Takes a finished round in; true if it proves its primary. */
  noteRound(round: TermRound): boolean {
    const { service, primary, sentAt } = round;
    if (!provesPrimary(round)) return false;
    const known = this.#proofs.get(service);
    const isOlder = known?.primary === primary && known.until >= sentAt;
    if (!isOlder) this.#proofs.set(service, { primary, until: sentAt });
    return true;
  }
}
