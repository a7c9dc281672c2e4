/**
 * Asks all members of a group for their log positions when the store can't vouch for its primary.
 * One round at a time serves everyone who waits for it when it is sent.
 */
import {
  type MemberAnswer,
  PrimaryEvidence,
  showsLaterTerm,
} from '../core/statements/primary-evidence.js';
import type { Milliseconds } from '../core/units.js';
import { queryPosition } from './position-query.js';
import type { InstanceRuntime, ServiceRuntime } from './service-runtime.js';
import type { StatementWire } from './wire.js';

const ROUND_TIMEOUT_MS = 150;
/** With more members silent, asking them for more than their positions can't prove anything either. */
const MAX_SILENT_MEMBERS = 1;

export interface TrustProverOptions {
  readonly wire: StatementWire;
  readonly now: () => Milliseconds;
  readonly counters: ProverCounters;
  /**
   * Asks the members for more than their positions, at the cost of a slot at each; it may do with
   * fewer answers. True if the instance led when it was called.
   */
  confirmPrimary(service: string, instanceId: string): Promise<boolean>;
}

export interface ProverCounters {
  proofRounds: number;
  proofsFailed: number;
}

/**
 * What a round has shown: `proven`, that the primary led when it was sent; `deposed`, that another
 * has led since; `unknown`, neither, as when a member did not answer.
 */
export type Verdict = 'proven' | 'deposed' | 'unknown';

/** What one round has shown, and the positions that it is shown by; none where it went by other words. */
export interface ProofRound {
  readonly verdict: Verdict;
  readonly answers: readonly MemberAnswer[];
}

interface ServiceProof {
  readonly evidence: PrimaryEvidence;
  running: Promise<ProofRound> | undefined;
  next: Promise<ProofRound> | undefined;
}

const NOTHING_ASKED = { verdict: 'unknown', answers: [] } as const;

export class TrustProver {
  readonly #proofs = new Map<string, ServiceProof>();

  constructor(private readonly options: TrustProverOptions) {}

  /** True if an earlier round covers a read that began then. */
  covers(service: ServiceRuntime, primaryId: string, beganAt: Milliseconds): boolean {
    return this.#proofs.get(service.name)?.evidence.covers(primaryId, beganAt) ?? false;
  }

  /** Resolves after a round that was sent after this call: true if it was a proof. */
  async prove(service: ServiceRuntime): Promise<boolean> {
    return (await this.examine(service)) === 'proven';
  }

  /** Resolves with what a round has shown that was sent after this call. */
  async examine(service: ServiceRuntime): Promise<Verdict> {
    return (await this.round(service)).verdict;
  }

  /** The same with what the members told. */
  round(service: ServiceRuntime): Promise<ProofRound> {
    const proof = this.#proofOf(service.name);
    if (proof.running === undefined) return this.#start(service, proof);
    proof.next ??= proof.running.then(() => {
      proof.next = undefined;
      return this.#start(service, proof);
    });
    return proof.next;
  }

  #proofOf(service: string): ServiceProof {
    let proof = this.#proofs.get(service);
    if (proof === undefined) {
      proof = { evidence: new PrimaryEvidence(), running: undefined, next: undefined };
      this.#proofs.set(service, proof);
    }
    return proof;
  }

  #start(service: ServiceRuntime, proof: ServiceProof): Promise<ProofRound> {
    const round = this.#round(service, proof.evidence).then((shown) => {
      proof.running = undefined;
      if (shown.verdict !== 'proven') this.options.counters.proofsFailed += 1;
      return shown;
    });
    proof.running = round;
    return round;
  }

  async #round(service: ServiceRuntime, evidence: PrimaryEvidence): Promise<ProofRound> {
    const { now, counters } = this.options;
    const sentAt = now();
    const primary = service.primary(sentAt);
    if (primary === undefined) return NOTHING_ASKED;
    counters.proofRounds += 1;
    const term = service.trustedTermOf(primary.id);
    // A node that has just started can't tell from positions alone whose term it is.
    if (term === undefined) {
      return { verdict: await this.#confirm(service, primary, sentAt, evidence), answers: [] };
    }
    const questions = service.members().map((member) => this.#ask(member, sentAt));
    const answers = await Promise.all(questions);
    const known = { instanceId: primary.id, term };
    if (evidence.recordRound(known, sentAt, answers)) return { verdict: 'proven', answers };
    if (showsLaterTerm(known, answers)) return { verdict: 'deposed', answers };
    const silent = answers.filter(({ position }) => position === undefined).length;
    if (silent > MAX_SILENT_MEMBERS) return { verdict: 'unknown', answers };
    return { verdict: await this.#confirm(service, primary, sentAt, evidence), answers };
  }

  async #confirm(
    service: ServiceRuntime,
    primary: InstanceRuntime,
    sentAt: Milliseconds,
    evidence: PrimaryEvidence,
  ): Promise<Verdict> {
    if (!(await this.options.confirmPrimary(service.name, primary.id))) return 'unknown';
    evidence.recordProof(primary.id, sentAt);
    return 'proven';
  }

  async #ask(member: InstanceRuntime, sentAt: Milliseconds): Promise<MemberAnswer> {
    const { wire, now } = this.options;
    const deadline = sentAt + ROUND_TIMEOUT_MS;
    const position = await queryPosition({ pool: member.pool, wire, now, deadline });
    return { instanceId: member.id, position };
  }
}
