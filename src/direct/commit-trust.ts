/**
 * Guards writes at a primary that this node's lease does not confirm: a primary change does not wait for
 * such a node. The group's members are queried before a write is sent, and again before the primary's
 * acknowledgement is forwarded.
 */
import { comparePositions, type Position } from '../core/position.js';
import { type CommitVerdict, isSafe } from '../core/promotion/commit-verdict.js';
import type { MemberAnswer } from '../core/statements/primary-evidence.js';
import type { Milliseconds } from '../core/units.js';
import type { PrimaryView } from './promotion/contract.js';
import type { RequestTrace } from './request-trace.js';
import type { InstanceRuntime, ServiceRuntime } from './service-runtime.js';
import {
  type Refusal,
  refuse,
  type StatementOutcome,
  type StatementRequest,
} from './statement-request.js';
import type { TrustProver } from './trust-prover.js';
import type { UnsettledLogs } from './unsettled-logs.js';
import { pause } from './within.js';

/**
 * Where members report only positions, time within which all replicas must receive a commit: twice the
 * 150 ms lag of the slowest replicas in a known deployment.
 */
const REPLICATION_TIMEOUT_MS: Milliseconds = 300;
const REPLICATION_POLL_PERIOD_MS: Milliseconds = 20;

/** The response if the members don't confirm the primary for a write. */
export const WRITE_WITHHELD: Refusal = {
  code: 'busy',
  text: 'whether the primary is being replaced is not known',
};

/** Texts of the `in-doubt` error for an acknowledged write, by the members' verdict. */
const IN_DOUBT_TEXTS: Readonly<Record<Exclude<CommitVerdict, 'safe'>, string>> = {
  deposed: 'the primary was replaced meanwhile',
  held: 'the primary is being replaced',
  unknown: WRITE_WITHHELD.text,
};

export interface CommitTrustOptions {
  readonly view: PrimaryView;
  readonly prover: Pick<TrustProver, 'examine' | 'round'>;
  /** Logs of the instances that a late promotion call may still make primary. */
  readonly unsettledLogs: Pick<UnsettledLogs, 'mayConfirm' | 'awaitCommit'>;
  readonly now: () => Milliseconds;
}

/** The request to which a commit belongs. */
export interface CommitRequest extends Pick<StatementRequest, 'deadline' | 'trace'> {
  /** End of the primary's log as known before the commit was sent. */
  readonly logEndBefore?: Position | undefined;
}

export class CommitTrust {
  constructor(private readonly options: CommitTrustOptions) {}

  /**
   * False if the members don't confirm the instance for a write: its acknowledgement could not be
   * forwarded. The caller learns immediately that the write has not run, and a node with a lease may serve
   * it.
   */
  async maySend(
    service: ServiceRuntime,
    instance: InstanceRuntime,
    trace?: RequestTrace,
  ): Promise<boolean> {
    const { view, unsettledLogs, now } = this.options;
    if (!(await unsettledLogs.mayConfirm(service))) {
      trace?.record({ step: 'write-withheld', instance: instance.id, verdict: 'unconfirmed' });
      return false;
    }
    if (view.mayTrustPrimary(service.name, now(), instance.id)) return true;
    const judged = await view.judgeWrite(service.name, instance.id);
    const verdict = judged ?? (await this.#judgeByPositions(service));
    if (isSafe(verdict)) return true;
    trace?.record({ step: 'write-withheld', instance: instance.id, verdict });
    return false;
  }

  /**
   * Returns the outcome to report for an acknowledged write: unchanged if the lease confirms the primary
   * or every possible next primary has the commit, otherwise `in-doubt`. An instance that a late promotion call may
   * make primary must have it in either case.
   */
  async confirm(
    service: ServiceRuntime,
    instance: InstanceRuntime,
    outcome: StatementOutcome,
    { deadline, trace, logEndBefore }: CommitRequest,
  ): Promise<StatementOutcome> {
    const { view, unsettledLogs, now } = this.options;
    if (outcome.type !== 'answered' || outcome.answer.error !== undefined) return outcome;
    const { position } = outcome.answer;
    if (position !== undefined && !(await unsettledLogs.awaitCommit(service, position, deadline))) {
      trace?.record({ step: 'commit-confirmed', verdict: 'unconfirmed' });
      return refuse('in-doubt', 'an instance that may still be promoted lacks the commit');
    }
    if (view.mayTrustPrimary(service.name, now(), instance.id)) {
      if (position !== undefined)
        view.recordCommit(service.name, { logEnd: position, logEndBefore });
      return outcome;
    }
    const judged = await view.judgeCommits(service.name, instance.id, position);
    const verdict = judged ?? (await this.#judgeByReplication(service, instance, position));
    trace?.record({ step: 'commit-confirmed', verdict });
    if (verdict !== 'safe') return refuse('in-doubt', IN_DOUBT_TEXTS[verdict]);
    if (position !== undefined) view.recordCommit(service.name, { logEnd: position, logEndBefore });
    return outcome;
  }

  async #judgeByPositions(service: ServiceRuntime): Promise<CommitVerdict> {
    const verdict = await this.options.prover.examine(service);
    return verdict === 'proven' ? 'safe' : verdict;
  }

  /** Positions don't show whether a replica is held: a commit is safe only once every other member has it. */
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
