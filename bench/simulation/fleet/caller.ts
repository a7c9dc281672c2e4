/**
 * One simulated caller with one session and one request at a time. It moves between gateways, and
 * may retry through another gateway after an unknown outcome or a refusal.
 */

import type { GroupRequest } from '../../../src/core/request.js';
import type { RequestOutcome } from '../../history/model.js';
import type { RequestRecord } from '../history.js';
import type { FleetContext } from './context.js';
import { type CallerAnswer, type CallerIdentity, GatewayConnection } from './gateway.js';

export const LOAD_MS = 1500;
const MOVE_PROBABILITY = 0.3;
/** After an error, including the error "done earlier". */
const MOVE_AFTER_ERROR_PROBABILITY = 0.75;
const WRITE_PROBABILITIES = { half: 0.5, few: 0.15, none: 0 };
const RETRY_PROBABILITY = 0.8;
const MAX_ATTEMPTS = 4;
const MAX_THINK_MS = 10;
const RECONNECT_DELAY_MS = 20;
const STALENESS_BOUNDS_MS = [0, 60, 300, 1500];
const MIN_DEADLINE_MS = 100;
const MAX_DEADLINE_MS = 900;
/** Time after its deadline at which a request without a result counts as hung. */
const GIVE_UP_DELAY_MS = 2500;

/** One attempt as the caller observed it. */
export interface CallerAttempt {
  readonly attemptId: string;
  readonly logicalId: string;
  readonly session: CallerIdentity;
  readonly access: 'read' | 'write';
  readonly repeatable: boolean;
  readonly isKeyed: boolean;
  readonly node: string;
  /** Reads with the same key must never return older data than an earlier one. */
  readonly monotonicKey: string;
  readonly sentAt: number;
  endedAt: number;
  ending: 'answered' | 'cut' | 'abandoned';
  outcome: RequestOutcome;
  errorCode: string | undefined;
  /** The owner's record, if its answer arrived. */
  record: RequestRecord | undefined;
  answerCount: number;
}

/** A request of the caller with all its attempts. */
interface LogicalRequest {
  readonly id: string;
  readonly access: 'read' | 'write';
  readonly hold: GroupRequest['hold'];
  readonly repeatable: boolean;
  readonly isKeyed: boolean;
  readonly stalenessBoundMs: number;
  attempts: number;
}

export class SimulatedCaller {
  #connection: GatewayConnection | undefined;
  #node = '';
  #connectionCount = 0;
  #token: string | undefined;
  #requestCount = 0;
  #logicalRequest: LogicalRequest | undefined;
  #attempt: CallerAttempt | undefined;

  constructor(
    private readonly context: FleetContext,
    private readonly identity: CallerIdentity,
    private readonly attempts: CallerAttempt[],
  ) {}

  start(): void {
    this.#connect(() => this.#sendNext());
  }

  #sendNext(moveProbability = MOVE_PROBABILITY): void {
    const { clock } = this.context;
    if (clock.now >= LOAD_MS) {
      this.#disconnect();
      return;
    }
    this.#requestCount += 1;
    this.#logicalRequest = this.#drawRequest();
    this.#tryRequest(clock.chance(moveProbability));
  }

  #drawRequest(): LogicalRequest {
    const { clock } = this.context;
    const access = clock.chance(WRITE_PROBABILITIES[this.identity.writes]) ? 'write' : 'read';
    const isWrite = access === 'write';
    const isKeyed = isWrite && clock.chance(0.4);
    const bound = STALENESS_BOUNDS_MS[Math.floor(clock.random() * STALENESS_BOUNDS_MS.length)] ?? 0;
    return {
      id: `s${this.identity.index}-${this.#requestCount}`,
      access,
      hold: isWrite && (isKeyed || clock.chance(0.15)) ? 'transaction' : 'statement',
      repeatable: !isWrite || (!isKeyed && clock.chance(0.1)),
      isKeyed,
      stalenessBoundMs: isWrite ? 0 : bound,
      attempts: 0,
    };
  }

  #tryRequest(shouldMove: boolean): void {
    if (shouldMove) this.#disconnect();
    if (this.#connection === undefined) this.#connect(() => this.#send());
    else this.#send();
  }

  #connect(onConnected: () => void): void {
    const { context } = this;
    const { clock } = context;
    const nodes = context.nodeIds
      .map((id) => context.nodeById(id))
      .filter((one) => one.isAccepting);
    const others = nodes.length > 1 ? nodes.filter((one) => one.nodeId !== this.#node) : nodes;
    const node = others[Math.floor(clock.random() * others.length)];
    if (node === undefined) {
      if (clock.now < LOAD_MS) clock.after(RECONNECT_DELAY_MS, () => this.#connect(onConnected));
      return;
    }
    this.#node = node.nodeId;
    this.#connectionCount += 1;
    const connection = new GatewayConnection(context, node, this.identity, {
      onAnswer: (answer) => this.#handleAnswer(answer),
      onToken: (token) => {
        this.#token = token;
      },
      onConnectionLost: () => this.#handleConnectionLost(connection),
      onSessionEnded: () => this.#handleSessionEnded(connection),
    });
    this.#connection = connection;
    connection.start(this.identity.carrier === 'token' ? this.#token : undefined);
    onConnected();
  }

  #send(): void {
    const logical = this.#logicalRequest;
    const connection = this.#connection;
    if (logical === undefined || connection === undefined) return;
    const { clock } = this.context;
    logical.attempts += 1;
    const attempt = this.#createAttempt(logical);
    this.#attempt = attempt;
    this.attempts.push(attempt);
    const deadline = clock.now + clock.between(MIN_DEADLINE_MS, MAX_DEADLINE_MS);
    clock.after(deadline + GIVE_UP_DELAY_MS - clock.now, () => this.#giveUp(attempt));
    connection.send({
      id: attempt.attemptId,
      ownerRequest: this.#createOwnerRequest(logical, deadline),
      onceKey: logical.isKeyed ? logical.id : undefined,
    });
  }

  #createAttempt(logical: LogicalRequest): CallerAttempt {
    const { identity } = this;
    const segment = identity.carrier === 'token' ? '' : `/${this.#connectionCount}`;
    return {
      attemptId: `${logical.id}.${logical.attempts}`,
      logicalId: logical.id,
      session: identity,
      access: logical.access,
      repeatable: logical.repeatable,
      isKeyed: logical.isKeyed,
      node: this.#node,
      monotonicKey: `s${identity.index}${segment}`,
      sentAt: this.context.clock.now,
      endedAt: Number.POSITIVE_INFINITY,
      ending: 'abandoned',
      outcome: 'unknown',
      errorCode: undefined,
      record: undefined,
      answerCount: 0,
    };
  }

  #createOwnerRequest(
    logical: LogicalRequest,
    deadline: number,
  ): Omit<GroupRequest, 'session' | 'id'> {
    const { tenant } = this.identity.key;
    return {
      tenant,
      // Two tenants share a role and therefore the connections of an owner's pool.
      databaseRole: tenant === 'bureau' ? 'bureau' : 'trust',
      database: 'main',
      access: logical.access,
      kind: 'default',
      weight: 1,
      stalenessBoundMs: logical.stalenessBoundMs,
      repeatable: logical.repeatable,
      deadline,
      hold: logical.hold,
      zone: this.context.nodeById(this.#node).zone,
    };
  }

  #handleAnswer({ error, record }: CallerAnswer): void {
    const attempt = this.#attempt;
    if (attempt === undefined) return;
    attempt.answerCount += 1;
    attempt.record = record;
    const databaseError = error === undefined ? record?.databaseError : undefined;
    const outcome = databaseError === undefined ? 'done' : 'failed';
    this.#endAttempt(attempt, 'answered', error?.outcome ?? outcome, error?.code ?? databaseError);
  }

  #handleConnectionLost(connection: GatewayConnection): void {
    if (connection !== this.#connection) return;
    this.#connection = undefined;
    if (this.#attempt === undefined) return;
    this.#endAttempt(this.#attempt, 'cut', 'unknown', undefined);
  }

  #handleSessionEnded(connection: GatewayConnection): void {
    if (connection === this.#connection) this.#connection = undefined;
  }

  #giveUp(attempt: CallerAttempt): void {
    if (attempt !== this.#attempt) return;
    if (this.#connection?.wasFrozen === false) {
      this.context.history.breaches.push(`${attempt.attemptId} got no answer in time`);
    }
    this.#disconnect();
    this.#endAttempt(attempt, 'abandoned', 'unknown', undefined);
  }

  #endAttempt(
    attempt: CallerAttempt,
    ending: CallerAttempt['ending'],
    outcome: RequestOutcome,
    errorCode: string | undefined,
  ): void {
    const { clock } = this.context;
    this.#attempt = undefined;
    Object.assign(attempt, { endedAt: clock.now, ending, outcome, errorCode });
    const pause = clock.between(0, MAX_THINK_MS);
    const failed = errorCode !== undefined;
    const moveProbability = failed ? MOVE_AFTER_ERROR_PROBABILITY : MOVE_PROBABILITY;
    if (this.#shouldRetry(attempt)) clock.after(pause, () => this.#tryRequest(clock.chance(0.5)));
    else clock.after(pause, () => this.#sendNext(moveProbability));
  }

  #shouldRetry({ outcome, access, isKeyed, repeatable }: CallerAttempt): boolean {
    const logical = this.#logicalRequest;
    if (logical === undefined || logical.attempts >= MAX_ATTEMPTS) return false;
    if (access === 'read' || outcome === 'done') return false;
    const isSafeToRetry = outcome === 'not-run' || outcome === 'failed' || isKeyed || repeatable;
    return isSafeToRetry && this.context.clock.chance(RETRY_PROBABILITY);
  }

  #disconnect(): void {
    this.#connection?.close();
    this.#connection = undefined;
  }
}
