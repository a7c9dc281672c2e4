/**
 * Writes at a primary that this node's lease does not vouch for: no change of primary waits for such a node. The members
 * are asked before a write is sent, and before what the primary has acknowledged is passed on.
 */
import { comparePositions, type Position } from '../core/position.js';
import { type CommitVerdict, isSafe } from '../core/promotion/commit-verdict.js';
import type { MemberAnswer } from '../core/statements/primary-evidence.js';
import type { Milliseconds } from '../core/units.js';
import type { PrimaryView } from './promotion/contract.js';
import type { RequestTrace } from './request-trace.js';
import type { InstanceRuntime, ServiceRuntime } from './service-runtime.js';
import { type Refusal, refuse, type StatementOutcome } from './statement-request.js';
import type { TrustProver } from './trust-prover.js';
import { pause } from './within.js';

/**
 * Where only positions can be asked for, all replicas are given so long to receive a commit: twice the 150 ms that the
 * slowest replicas of a known deployment are behind.
 */
const REPLICATION_TIMEOUT_MS: Milliseconds = 300;
const REPLICATION_POLL_PERIOD_MS: Milliseconds = 20;

/** Told where the members don't vouch for a write. */
export const WRITE_WITHHELD: Refusal = {
  code: 'busy',
  text: 'whether the primary is being replaced is not known',
};

/** Why what was acknowledged is told as in doubt, by what the members said. */
const IN_DOUBT_TEXTS: Readonly<Record<Exclude<CommitVerdict, 'safe'>, string>> = {
  deposed: 'the primary was replaced meanwhile',
  held: 'the primary is being replaced',
  unknown: WRITE_WITHHELD.text,
};

export interface CommitTrustOptions {
  readonly view: PrimaryView;
  readonly prover: Pick<TrustProver, 'examine' | 'round'>;
  readonly now: () => Milliseconds;
}

export class CommitTrust {
  constructor(private readonly options: CommitTrustOptions) {}

  /**
   * False if the members don't vouch for a write there: its acknowledgement could not be passed on. The caller is
   * told at once that it has not run, and may be served by a node that has a lease.
   */
  async maySend(
    service: ServiceRuntime,
    instance: InstanceRuntime,
    trace?: RequestTrace,
  ): Promise<boolean> {
    const { view, now } = this.options;
    if (view.mayTrustPrimary(service.name, now(), instance.id)) return true;
    const judged = await view.judgeWrite(service.name, instance.id);
    const verdict = judged ?? (await this.#judgeByPositions(service));
    if (isSafe(verdict)) return true;
    trace?.record({ step: 'write-withheld', instance: instance.id, verdict });
    return false;
  }

  /**
   * What a primary acknowledged, as its caller is told it: as it is if the lease vouches for that primary or whichever
   * member leads next has the commit, and in doubt otherwise.
   */
  async confirm(
    service: ServiceRuntime,
    instance: InstanceRuntime,
    outcome: StatementOutcome,
    trace?: RequestTrace,
  ): Promise<StatementOutcome> {
    const { view, now } = this.options;
    if (outcome.type !== 'answered' || outcome.answer.error !== undefined) return outcome;
    if (view.mayTrustPrimary(service.name, now(), instance.id)) return outcome;
    const { position } = outcome.answer;
    const judged = await view.judgeCommits(service.name, instance.id, position);
    const verdict = judged ?? (await this.#judgeByReplication(service, instance, position));
    trace?.record({ step: 'commit-confirmed', verdict });
    return verdict === 'safe' ? outcome : refuse('in-doubt', IN_DOUBT_TEXTS[verdict]);
  }

  async #judgeByPositions(service: ServiceRuntime): Promise<CommitVerdict> {
    const verdict = await this.options.prover.examine(service);
    return verdict === 'proven' ? 'safe' : verdict;
  }

  /** Positions show no hold: a commit is safe once every other member has it. */
  async #judgeByReplication(
    service: ServiceRuntime,
    instance: InstanceRuntime,
    position: Position | undefined,
  ): Promise<CommitVerdict> {
    const { prover, now } = this.options;
    const endsAt = now() + REPLICATION_TIMEOUT_MS;
    while (position !== undefined) {
      const { verdict, answers } = await prover.round(service);
      if (verdict === 'deposed') return 'deposed';
      if (haveReceived(answers, instance.id, position)) return 'safe';
      if (now() >= endsAt) break;
      await pause(REPLICATION_POLL_PERIOD_MS);
    }
    return 'unknown';
  }
}

function haveReceived(
  answers: readonly MemberAnswer[],
  primaryId: string,
  position: Position,
): boolean {
  const others = answers.filter(({ instanceId }) => instanceId !== primaryId);
  const hasReceived = (answer: MemberAnswer): boolean =>
    answer.position !== undefined && comparePositions(answer.position, position) >= 0;
  return others.length > 0 && others.every(hasReceived);
}
