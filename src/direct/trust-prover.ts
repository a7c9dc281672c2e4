/**
 * Proves that a primary has not been replaced, for use while this node's lease in the store does not
 * confirm it: queries all members of the group for their log positions. Rounds of one service run one at a
 * time, and concurrent callers share the next round.
 */
import {
  type MemberAnswer,
  PrimaryEvidence,
  showsLaterTerm,
} from '../core/statements/primary-evidence.js';
import type { Milliseconds } from '../core/units.js';
import type { InstanceEntry } from './contract.js';
import { queryPosition } from './position-query.js';
import type { InstanceRuntime, ServiceRuntime } from './service-runtime.js';
import type { StatementWire } from './wire.js';

const ROUND_TIMEOUT_MS = 150;
/** With more unresponsive members than this, a query for more than their positions can't prove anything either. */
const MAX_SILENT_MEMBERS = 1;

export interface TrustProverOptions {
  readonly wire: StatementWire;
  readonly now: () => Milliseconds;
  readonly counters: ProverCounters;
  /**
   * Queries the members for more than their positions, at the cost of a slot at each; fewer responses may
   * suffice. True if the instance was the primary at the time of the call.
   */
  confirmPrimary(service: string, instanceId: string): Promise<boolean>;
  /** Whether the process that responds for the instance is known to be primary: its position alone does not show it. */
  hasBeenPrimary(instance: InstanceEntry): boolean;
}

export interface ProverCounters {
  proofRounds: number;
  proofsFailed: number;
}

/**
 * Result of a round. `proven`: the primary had not been replaced when the round was sent. `deposed`:
 * another primary has replaced it. `unknown`: neither is shown, for example because a member did not
 * respond.
 */
export type Verdict = 'proven' | 'deposed' | 'unknown';

/** The result of one round and the reported positions; without positions if they were not what decided it. */
export interface ProofRound {
  readonly verdict: Verdict;
  readonly answers: readonly MemberAnswer[];
}

interface ServiceProof {
  readonly evidence: PrimaryEvidence;
  running: Promise<ProofRound> | undefined;
  next: Promise<ProofRound> | undefined;
}

const NO_QUERY_SENT = { verdict: 'unknown', answers: [] } as const;

export class TrustProver {
  readonly #proofs = new Map<string, ServiceProof>();

  constructor(private readonly options: TrustProverOptions) {}

  /** True if an earlier proof is valid for a read that began at `beganAt`. */
  covers(service: ServiceRuntime, primaryId: string, beganAt: Milliseconds): boolean {
    return this.#proofs.get(service.name)?.evidence.covers(primaryId, beganAt) ?? false;
  }

  /** Resolves after a round sent after this call; true if it was a proof. */
  async prove(service: ServiceRuntime): Promise<boolean> {
    return (await this.examine(service)) === 'proven';
  }

  /** Resolves with the verdict of a round sent after this call. */
  async examine(service: ServiceRuntime): Promise<Verdict> {
    return (await this.round(service)).verdict;
  }

  /** Like `examine`, with the members' responses. */
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
    const round = this.#round(service, proof.evidence).then((result) => {
      proof.running = undefined;
      if (result.verdict !== 'proven') this.options.counters.proofsFailed += 1;
      return result;
    });
    proof.running = round;
    return round;
  }

  async #round(service: ServiceRuntime, evidence: PrimaryEvidence): Promise<ProofRound> {
    const { now, counters } = this.options;
    const sentAt = now();
    const primary = service.primary(sentAt);
    if (primary === undefined) return NO_QUERY_SENT;
    counters.proofRounds += 1;
    const isKnown = this.options.hasBeenPrimary(primary.pool.instance);
    const term = isKnown ? service.trustedTermOf(primary.id) : undefined;
    // A node that has just started can't tell from positions alone which primary a term belongs to.
    if (term === undefined) {
      return { verdict: await this.#confirm(service, primary, sentAt, evidence), answers: [] };
    }
    const queries = service.members().map((member) => this.#queryPosition(member, sentAt));
    const answers = await Promise.all(queries);
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

  async #queryPosition(member: InstanceRuntime, sentAt: Milliseconds): Promise<MemberAnswer> {
    const { wire, now } = this.options;
    const deadline = sentAt + ROUND_TIMEOUT_MS;
    const position = await queryPosition({ pool: member.pool, wire, now, deadline });
    return { instanceId: member.id, position };
  }
}
