/**
 * One simulated caller: one session, one request at a time. It moves between gateways, and after an
 * unknown outcome or a refusal it tries again through another one.
 */

import type { GroupRequest } from '../../../src/core/request.js';
import type { RequestOutcome } from '../../history/model.js';
import type { RequestRecord } from '../history.js';
import type { FleetContext } from './context.js';
import { type CallerAnswer, type CallerIdentity, GatewayConnection } from './gateway.js';

export const LOAD_MS = 1500;
const MOVE_PROBABILITY = 0.3;
/** After an error, also one that says "done earlier". */
const MOVE_AFTER_ERROR_PROBABILITY = 0.75;
const WRITE_SHARES = { half: 0.5, few: 0.15, none: 0 };
const RETRY_PROBABILITY = 0.8;
const MAX_ATTEMPTS = 4;
const MAX_THINK_MS = 10;
const RECONNECT_MS = 20;
const STALENESS_BOUNDS_MS = [0, 60, 300, 1500];
const MIN_DEADLINE_MS = 100;
const MAX_DEADLINE_MS = 900;
/** A request that has not ended this long after its deadline hangs. */
const PATIENCE_MS = 2500;

/** One attempt as its caller saw it. */
export interface CallerAttempt {
  readonly attemptId: string;
  readonly logicalId: string;
  readonly session: CallerIdentity;
  readonly access: 'read' | 'write';
  readonly repeatable: boolean;
  readonly keyed: boolean;
  readonly node: string;
  /** Reads with the same key never go back. */
  readonly monotonicKey: string;
  readonly sentAt: number;
  endedAt: number;
  ending: 'answered' | 'cut' | 'abandoned';
  outcome: RequestOutcome;
  errorCode: string | undefined;
  /** The owner's record, if its word arrived. */
  record: RequestRecord | undefined;
  answers: number;
}

/** A request as the caller means it, through all its attempts. */
interface LogicalRequest {
  readonly id: string;
  readonly access: 'read' | 'write';
  readonly hold: GroupRequest['hold'];
  readonly repeatable: boolean;
  readonly keyed: boolean;
  readonly stalenessBoundMs: number;
  attempts: number;
}

export class SimulatedCaller {
  #connection: GatewayConnection | undefined;
  #node = '';
  #connections = 0;
  #token: string | undefined;
  #count = 0;
  #logical: LogicalRequest | undefined;
  #attempt: CallerAttempt | undefined;

  constructor(
    private readonly context: FleetContext,
    private readonly identity: CallerIdentity,
    private readonly attempts: CallerAttempt[],
  ) {}

  start(): void {
    this.#connect(() => this.#next());
  }

  #next(moveProbability = MOVE_PROBABILITY): void {
    const { clock } = this.context;
    if (clock.now >= LOAD_MS) {
      this.#hangUp();
      return;
    }
    this.#count += 1;
    this.#logical = this.#draw();
    this.#tryRequest(clock.chance(moveProbability));
  }

  #draw(): LogicalRequest {
    const { clock } = this.context;
    const access = clock.chance(WRITE_SHARES[this.identity.writes]) ? 'write' : 'read';
    const write = access === 'write';
    const keyed = write && clock.chance(0.4);
    const bound = STALENESS_BOUNDS_MS[Math.floor(clock.random() * STALENESS_BOUNDS_MS.length)] ?? 0;
    return {
      id: `s${this.identity.index}-${this.#count}`,
      access,
      hold: write && (keyed || clock.chance(0.15)) ? 'transaction' : 'statement',
      repeatable: !write || (!keyed && clock.chance(0.1)),
      keyed,
      stalenessBoundMs: write ? 0 : bound,
      attempts: 0,
    };
  }

  #tryRequest(moves: boolean): void {
    if (moves) this.#hangUp();
    if (this.#connection === undefined) this.#connect(() => this.#send());
    else this.#send();
  }

  #connect(connected: () => void): void {
    const { context } = this;
    const { clock } = context;
    const nodes = context.nodeIds.map((id) => context.nodeNamed(id)).filter((one) => one.accepting);
    const others = nodes.length > 1 ? nodes.filter((one) => one.nodeId !== this.#node) : nodes;
    const node = others[Math.floor(clock.random() * others.length)];
    if (node === undefined) {
      if (clock.now < LOAD_MS) clock.after(RECONNECT_MS, () => this.#connect(connected));
      return;
    }
    this.#node = node.nodeId;
    this.#connections += 1;
    const connection = new GatewayConnection(context, node, this.identity, {
      onAnswer: (answer) => this.#onAnswer(answer),
      onToken: (token) => {
        this.#token = token;
      },
      onBroken: () => this.#onLost(connection),
      onGoodbye: () => this.#onGoodbye(connection),
    });
    this.#connection = connection;
    connection.begin(this.identity.carrier === 'token' ? this.#token : undefined);
    connected();
  }

  #send(): void {
    const logical = this.#logical;
    const connection = this.#connection;
    if (logical === undefined || connection === undefined) return;
    const { clock } = this.context;
    logical.attempts += 1;
    const attempt = this.#newAttempt(logical);
    this.#attempt = attempt;
    this.attempts.push(attempt);
    const deadline = clock.now + clock.between(MIN_DEADLINE_MS, MAX_DEADLINE_MS);
    clock.after(deadline + PATIENCE_MS - clock.now, () => this.#giveUp(attempt));
    connection.send({
      id: attempt.attemptId,
      terms: this.#terms(logical, deadline),
      onceKey: logical.keyed ? logical.id : undefined,
    });
  }

  #newAttempt(logical: LogicalRequest): CallerAttempt {
    const { identity } = this;
    const segment = identity.carrier === 'token' ? '' : `/${this.#connections}`;
    return {
      attemptId: `${logical.id}.${logical.attempts}`,
      logicalId: logical.id,
      session: identity,
      access: logical.access,
      repeatable: logical.repeatable,
      keyed: logical.keyed,
      node: this.#node,
      monotonicKey: `s${identity.index}${segment}`,
      sentAt: this.context.clock.now,
      endedAt: Number.POSITIVE_INFINITY,
      ending: 'abandoned',
      outcome: 'unknown',
      errorCode: undefined,
      record: undefined,
      answers: 0,
    };
  }

  #terms(logical: LogicalRequest, deadline: number): Omit<GroupRequest, 'session' | 'id'> {
    const { tenant } = this.identity.key;
    return {
      tenant,
      // Two tenants share a role, and so the connections of an owner's pool.
      databaseRole: tenant === 'bureau' ? 'bureau' : 'trust',
      database: 'main',
      access: logical.access,
      kind: 'default',
      weight: 1,
      stalenessBoundMs: logical.stalenessBoundMs,
      repeatable: logical.repeatable,
      deadline,
      hold: logical.hold,
      zone: this.context.nodeNamed(this.#node).zone,
    };
  }

  #onAnswer({ error, record }: CallerAnswer): void {
    const attempt = this.#attempt;
    if (attempt === undefined) return;
    attempt.answers += 1;
    attempt.record = record;
    const databaseError = error === undefined ? record?.databaseError : undefined;
    const outcome = databaseError === undefined ? 'done' : 'failed';
    this.#end(attempt, 'answered', error?.outcome ?? outcome, error?.code ?? databaseError);
  }

  #onLost(connection: GatewayConnection): void {
    if (connection !== this.#connection) return;
    this.#connection = undefined;
    if (this.#attempt === undefined) return;
    this.#end(this.#attempt, 'cut', 'unknown', undefined);
  }

  #onGoodbye(connection: GatewayConnection): void {
    if (connection === this.#connection) this.#connection = undefined;
  }

  #giveUp(attempt: CallerAttempt): void {
    if (attempt !== this.#attempt) return;
    if (this.#connection?.wasFrozen === false) {
      this.context.history.breaches.push(`${attempt.attemptId} got no answer in time`);
    }
    this.#hangUp();
    this.#end(attempt, 'abandoned', 'unknown', undefined);
  }

  #end(
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
    if (this.#retries(attempt)) clock.after(pause, () => this.#tryRequest(clock.chance(0.5)));
    else clock.after(pause, () => this.#next(moveProbability));
  }

  #retries({ outcome, access, keyed, repeatable }: CallerAttempt): boolean {
    const logical = this.#logical;
    if (logical === undefined || logical.attempts >= MAX_ATTEMPTS) return false;
    if (access === 'read' || outcome === 'done') return false;
    const safe = outcome === 'not-run' || outcome === 'failed' || keyed || repeatable;
    return safe && this.context.clock.chance(RETRY_PROBABILITY);
  }

  #hangUp(): void {
    this.#connection?.close();
    this.#connection = undefined;
  }
}
