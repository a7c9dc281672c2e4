/**
 * Asks all members of a group for their log positions when the store can't vouch for its primary.
 * One round at a time serves everyone who waits for it when it is sent.
 */
import { type MemberAnswer, PrimaryEvidence } from '../core/statements/primary-evidence.js';
import type { Milliseconds } from '../core/units.js';
import type { InstanceRuntime, ServiceRuntime } from './service-runtime.js';
import type { StatementWire } from './wire.js';
import { firstWithin } from './within.js';

const ROUND_TIMEOUT_MS = 150;
const PRIORITY = 0;
const NO_VALUES: ReadonlyMap<string, string> = new Map();

export interface TrustProverOptions {
  readonly wire: StatementWire;
  readonly now: () => Milliseconds;
  readonly counters: ProverCounters;
}

export interface ProverCounters {
  proofRounds: number;
  proofsFailed: number;
}

interface ServiceProof {
  readonly evidence: PrimaryEvidence;
  running: Promise<boolean> | undefined;
  next: Promise<boolean> | undefined;
}

export class TrustProver {
  readonly #proofs = new Map<string, ServiceProof>();

  constructor(private readonly options: TrustProverOptions) {}

  /** True if an earlier round covers a read that began then. */
  covers(service: ServiceRuntime, primaryId: string, beganAt: Milliseconds): boolean {
    return this.#proofs.get(service.name)?.evidence.covers(primaryId, beganAt) ?? false;
  }

  /** Resolves after a round that was sent after this call: true if it was a proof. */
  prove(service: ServiceRuntime): Promise<boolean> {
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

  #start(service: ServiceRuntime, proof: ServiceProof): Promise<boolean> {
    const round = this.#round(service, proof.evidence).then((proven) => {
      proof.running = undefined;
      if (!proven) this.options.counters.proofsFailed += 1;
      return proven;
    });
    proof.running = round;
    return round;
  }

  async #round(service: ServiceRuntime, evidence: PrimaryEvidence): Promise<boolean> {
    const { now, counters } = this.options;
    const sentAt = now();
    const primary = service.primary(sentAt);
    const term = primary === undefined ? undefined : service.trustedTermOf(primary.id);
    if (primary === undefined || term === undefined) return false;
    counters.proofRounds += 1;
    const questions = service.members().map((member) => this.#ask(member, sentAt));
    const answers = await Promise.all(questions);
    return evidence.noteRound({ instanceId: primary.id, term }, sentAt, answers);
  }

  async #ask(member: InstanceRuntime, sentAt: Milliseconds): Promise<MemberAnswer> {
    const deadline = sentAt + ROUND_TIMEOUT_MS;
    const acquired = await member.pool.acquire(NO_VALUES, PRIORITY, deadline);
    if (acquired.isErr()) return { instanceId: member.id, position: undefined };
    const connection = acquired.value;
    connection.values.clear();
    connection.preparedNames.clear();
    const exchange = connection.exchange(this.options.wire.encodeReset());
    const answer = await firstWithin([exchange], deadline - this.options.now());
    const isWhole = answer?.isOk() === true && answer.value.state === 'idle';
    if (!isWhole) connection.close();
    member.pool.release(connection);
    return { instanceId: member.id, position: isWhole ? answer.value.position : undefined };
  }
}
