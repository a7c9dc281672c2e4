/**
 * The second source of trust in a primary, for when the lease has lapsed because the store is away: a
 * round of questions to every member of the group. If none of them leads a later term, or follows
 * one, then no later primary had acknowledged anything when the round was sent. So whatever began by
 * then, a read or the passing on of a commit, is as good as if no later primary existed.
 */
import type { InstanceStatus } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';

/** `refused`: nothing listens there, so it leads nothing. `unknown`: no answer, or none that tells. */
export type RoundAnswer = InstanceStatus | 'refused' | 'unknown';

/** One finished round. */
export interface TermRound {
  readonly service: string;
  /** The instance that is taken for the primary. */
  readonly primary: string;
  readonly sentAt: Milliseconds;
  /** Of every member that is known, the primary included, by id. */
  readonly answers: ReadonlyMap<string, RoundAnswer>;
}

/** True if the round proves that no later primary had acknowledged anything when it was sent. */
export function provesPrimary({ primary, answers }: TermRound): boolean {
  const leader = answers.get(primary);
  if (typeof leader !== 'object' || leader.role !== 'primary') return false;
  for (const [id, answer] of answers) {
    if (id === primary || answer === 'refused') continue;
    if (answer === 'unknown' || answer.role === 'primary') return false;
    if (answer.term > leader.term) return false;
  }
  return true;
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
