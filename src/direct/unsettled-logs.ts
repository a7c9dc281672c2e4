/**
 * Confirms commits at the instances that a late promotion call may still make primary: once each of them has received
 * a commit, such a promotion does not lose it.
 */
import { comparePositions, type Position } from '../core/position.js';
import type { UnsettledInstance } from '../core/promotion/primaries.js';
import type { Milliseconds } from '../core/units.js';
import type { Cancellation } from './cancellation.js';
import { requestPosition } from './position-query.js';
import type { PrimaryView } from './promotion/contract.js';
import { classifyBySystemCall } from './promotion/control-failure.js';
import type { InstanceRuntime, ServiceRuntime } from './service-runtime.js';
import type { StatementWire } from './wire.js';
import { pause } from './within.js';

const POLL_PERIOD_MS: Milliseconds = 10;
const QUERY_TIMEOUT_MS: Milliseconds = 150;
/** While a commit has waited this long, further writes could not be confirmed in time either. */
const MAX_WAIT_BEFORE_REFUSAL_MS: Milliseconds = 300;

export interface UnsettledLogsOptions {
  readonly wire: StatementWire;
  readonly view: Pick<PrimaryView, 'unsettledCandidates'>;
  readonly now: () => Milliseconds;
}

interface CommitWait {
  readonly since: Milliseconds;
}

interface UnconfirmedCommit {
  readonly position: Position;
  /** Identifies the change of primary since which the service has had its primary. */
  readonly primaryChange: Cancellation;
}

/** An instance's log position, or why it is not known. `refused`: nothing listens at its address. */
type LogResponse = Position | 'refused' | 'none';

export class UnsettledLogs {
  /** Waiting commits by service, the oldest first. */
  readonly #waits = new Map<string, Set<CommitWait>>();
  /** Latest commit by service that was not confirmed by its deadline. */
  readonly #unconfirmed = new Map<string, UnconfirmedCommit>();
  readonly #queries = new Map<string, Promise<LogResponse>>();

  constructor(private readonly options: UnsettledLogsOptions) {}

  /** Whether a write to the service could be confirmed in time, as far as is known. */
  async mayConfirm(service: ServiceRuntime): Promise<boolean> {
    const { name } = service;
    const unconfirmed = this.#unconfirmed.get(name);
    if (unconfirmed !== undefined) {
      const { position, primaryChange } = unconfirmed;
      // A change of primary may have rolled the commit back.
      const isRelevant = primaryChange === service.changeOfPrimary;
      const hasReceived = (log: Position): boolean => comparePositions(log, position) >= 0;
      if (isRelevant && !(await this.#areHarmless(service, hasReceived))) return false;
      this.#unconfirmed.delete(name);
    }
    const [oldest] = this.#waits.get(name) ?? [];
    return oldest === undefined || this.options.now() - oldest.since < MAX_WAIT_BEFORE_REFUSAL_MS;
  }

  /** Resolves with true once each unsettled candidate has the commit or is gone, with false at the deadline. */
  async awaitCommit(
    service: ServiceRuntime,
    position: Position,
    deadline: Milliseconds,
  ): Promise<boolean> {
    if (this.#candidatesOf(service).length === 0) return true;
    const { name, changeOfPrimary: primaryChange } = service;
    const endWait = this.#beginWait(name);
    const isConfirmed = await this.#poll(service, position, deadline);
    endWait();
    if (!isConfirmed) this.#unconfirmed.set(name, { position, primaryChange });
    return isConfirmed;
  }

  async #poll(
    service: ServiceRuntime,
    position: Position,
    deadline: Milliseconds,
  ): Promise<boolean> {
    const { now } = this.options;
    // A log of another term shows that the instance, or a third one, has been promoted meanwhile.
    const hasCommit = (log: Position): boolean =>
      log.timeline === position.timeline && comparePositions(log, position) >= 0;
    for (;;) {
      if (await this.#areHarmless(service, hasCommit)) return true;
      if (now() + POLL_PERIOD_MS >= deadline) return false;
      await pause(POLL_PERIOD_MS);
    }
  }

  /** Whether each unsettled candidate is gone or has a log that suffices. */
  async #areHarmless(
    service: ServiceRuntime,
    suffices: (log: Position) => boolean,
  ): Promise<boolean> {
    const checks = this.#candidatesOf(service).map((candidate) =>
      this.#isHarmless(service, candidate, suffices),
    );
    const results = await Promise.all(checks);
    return results.every((isHarmless) => isHarmless);
  }

  #candidatesOf({ name }: ServiceRuntime): readonly UnsettledInstance[] {
    return this.options.view.unsettledCandidates(name);
  }

  async #isHarmless(
    service: ServiceRuntime,
    { id, isRegistered }: UnsettledInstance,
    suffices: (log: Position) => boolean,
  ): Promise<boolean> {
    const member = service.members().find((one) => one.id === id);
    if (member === undefined) return !isRegistered;
    const response = await this.#query(member);
    if (response === 'refused') return true;
    if (response === 'none') return !isRegistered;
    return suffices(response);
  }

  /** One query at a time for each instance; all waiting commits share its response. */
  #query(member: InstanceRuntime): Promise<LogResponse> {
    const running = this.#queries.get(member.id);
    if (running !== undefined) return running;
    const query = this.#send(member).finally(() => this.#queries.delete(member.id));
    this.#queries.set(member.id, query);
    return query;
  }

  #send({ pool }: InstanceRuntime): Promise<LogResponse> {
    const { wire, now } = this.options;
    const deadline = now() + QUERY_TIMEOUT_MS;
    return requestPosition({ pool, wire, now, deadline }).match(
      (position): LogResponse => position,
      (error) => (classifyBySystemCall(error) === 'refused' ? 'refused' : 'none'),
    );
  }

  #beginWait(service: string): () => void {
    const waits = this.#waits.get(service) ?? new Set();
    this.#waits.set(service, waits);
    const wait = { since: this.options.now() };
    waits.add(wait);
    return () => {
      waits.delete(wait);
    };
  }
}
