/**
 * One caller's connection to a gateway: what the gateway knows of the session, and what it makes of
 * answers. Decides as the gateway's session does, with the core's functions.
 */
import type { RequestError } from '../../../src/core/errors.js';
import { UnknownOutcomeError } from '../../../src/core/errors.js';
import { type Position, ZERO_POSITION } from '../../../src/core/position.js';
import type { GroupRequest, SessionRequirement } from '../../../src/core/request.js';
import { RetryBudget } from '../../../src/core/retry/budget.js';
import {
  decodeSessionToken,
  encodeSessionToken,
  freshSession,
  markUnknown,
  mergeSessions,
  observe,
  requirementFor,
  type SessionIdentity,
  type SessionState,
} from '../../../src/core/session/index.js';
import type { RequestRecord } from '../history.js';
import { type FleetContext, GROUP } from './context.js';
import { type CallEnd, GatewayCall } from './gateway-call.js';
import { SimulatedDirectory } from './home-nodes.js';
import type { FleetNode } from './node.js';

const RETRY_BUDGET = { ratio: 0.2, capacity: 100 };
const MIN_ANSWER_DELAY_MS = 0.05;
const MAX_ANSWER_DELAY_MS = 0.5;

/** What a caller sends. */
export interface CallerRequest {
  /** The attempt's id. */
  readonly id: string;
  /** Everything that the owner is told but what the session requires. */
  readonly terms: Omit<GroupRequest, 'session' | 'id'>;
  readonly onceKey: string | undefined;
}

/** What a caller gets. */
export interface CallerAnswer {
  readonly error: RequestError | undefined;
  readonly record: RequestRecord | undefined;
}

export interface CallerHandlers {
  onAnswer(answer: CallerAnswer): void;
  /** A new token came, before the answer that it goes with. */
  onToken(token: string): void;
  /** The connection is lost without a word. */
  onBroken(): void;
  /** The gateway ended the session between two requests. */
  onGoodbye(): void;
}

/** The session as its caller names it. */
export interface CallerIdentity {
  readonly index: number;
  readonly key: SessionIdentity;
  /** What moves with the session; with `nothing` each connection is a session of its own. */
  readonly carrier: 'token' | 'id' | 'nothing';
  readonly writes: 'half' | 'few' | 'none';
}

export class GatewayConnection {
  wasFrozen = false;
  #state: SessionState = freshSession();
  #begun = false;
  #waiting: CallerRequest | undefined;
  #running: CallerRequest | undefined;
  #call: GatewayCall | undefined;
  #stopping = false;
  #open = true;
  readonly #directory: SimulatedDirectory;
  readonly #retryBudget = new RetryBudget(RETRY_BUDGET);

  constructor(
    private readonly context: FleetContext,
    private readonly node: FleetNode,
    private readonly identity: CallerIdentity,
    private readonly handlers: CallerHandlers,
  ) {
    this.wasFrozen = node.process.frozen;
    this.#directory = new SimulatedDirectory(context, node.process);
    node.connections.add(this);
  }

  /** Takes in the token, or looks up the session's id. */
  begin(token: string | undefined): void {
    const { tenant } = this.identity.key;
    if (token !== undefined) {
      decodeSessionToken(token, tenant, this.context.sessionKeys).match(
        (state) => {
          this.#state = mergeSessions(this.#state, state);
        },
        (error) => this.context.history.breaches.push(`a genuine token was refused: ${error.code}`),
      );
    }
    if (this.identity.carrier !== 'id') {
      this.#begin();
      return;
    }
    this.node.process.run(() => {
      this.#directory.lookUp(this.identity.key, (known) => {
        this.#state = mergeSessions(this.#state, known);
        this.#begin();
      });
    });
  }

  send(request: CallerRequest): void {
    if (!this.#open) return;
    this.#running = request;
    if (!this.#begun) this.#waiting = request;
    else this.node.process.run(() => this.#start(request));
  }

  /** Planned stop: ends the session as soon as no request is in progress. */
  stop(): void {
    this.#stopping = true;
    if (this.#running === undefined) this.#goodbye();
  }

  /** The caller hangs up. */
  close(): void {
    this.#open = false;
    this.#call?.abandon();
    this.node.connections.delete(this);
  }

  /** The process has died. */
  broken(): void {
    if (!this.#open) return;
    this.close();
    this.context.clock.after(this.#answerDelay(), () => this.handlers.onBroken());
  }

  linkBroken(nodeId: string): void {
    this.#call?.linkBroken(nodeId);
  }

  #begin(): void {
    this.#begun = true;
    const waiting = this.#waiting;
    this.#waiting = undefined;
    if (waiting !== undefined) this.node.process.run(() => this.#start(waiting));
  }

  #start(request: CallerRequest): void {
    if (!this.#open) return;
    this.#call = new GatewayCall({
      context: this.context,
      node: this.node,
      session: this.identity.index,
      request: { ...request.terms, id: request.id, session: this.#requirement() },
      onceKey: request.onceKey,
      retryBudget: this.#retryBudget,
      onEnd: (end) => this.#onEnd(request, end),
    });
  }

  #requirement(): SessionRequirement {
    if (this.context.without.has('gateway-session-position')) {
      return { type: 'known', position: ZERO_POSITION };
    }
    return requirementFor(this.#state, GROUP);
  }

  #onEnd(request: CallerRequest, { error, record }: CallEnd): void {
    if (!this.#open) return;
    if (error !== undefined) {
      this.#onError(error, record);
      return;
    }
    const [final] = record?.finals ?? [];
    const answer = { error, record };
    if (final?.position === undefined) {
      this.#answer(answer);
      return;
    }
    const { position } = final;
    const wasUnknown = requirementFor(this.#state, GROUP).type === 'unknown';
    this.#observe(position, final.fromReplica);
    const keeps = request.terms.access === 'write' || wasUnknown;
    if (keeps) this.#recordThen(position, answer);
    else this.#answer(answer);
  }

  #onError(error: RequestError, record: RequestRecord | undefined): void {
    const position = record?.finals[0]?.position;
    const tells = error.outcome === 'done' && !this.context.without.has('once-position');
    if (tells && position !== undefined) {
      this.#observe(position, false);
      this.#recordThen(position, { error, record });
      return;
    }
    const mayLast = error.outcome === 'unknown' || error.outcome === 'done';
    if (mayLast) this.#state = markUnknown(this.#state, GROUP);
    this.#answer({ error, record });
  }

  #observe(position: Position, fromReplica: boolean): void {
    const source = fromReplica ? 'unconfirmed' : 'confirmed-primary';
    const before = requirementFor(this.#state, GROUP);
    this.#state = observe(this.#state, GROUP, position, source);
    if (before === requirementFor(this.#state, GROUP) || this.identity.carrier !== 'token') return;
    const { tenant } = this.identity.key;
    this.handlers.onToken(encodeSessionToken(this.#state, tenant, this.context.sessionKeys));
  }

  /** What a session that moves by its id must see is kept by other nodes before it is told. */
  #recordThen(position: Position, answer: CallerAnswer): void {
    if (this.identity.carrier !== 'id') {
      this.#answer(answer);
      return;
    }
    this.#directory.record(this.identity.key, { group: GROUP, position }, (kept) => {
      if (kept) this.#answer(answer);
      else this.#answer({ error: notRecorded(), record: answer.record });
    });
  }

  #answer(answer: CallerAnswer): void {
    this.context.clock.after(this.#answerDelay(), () => {
      if (!this.#open) return;
      this.#running = undefined;
      this.#call = undefined;
      if (this.#stopping) this.#leave();
      this.handlers.onAnswer(answer);
      if (this.#stopping) this.handlers.onGoodbye();
    });
  }

  #goodbye(): void {
    this.#leave();
    this.context.clock.after(this.#answerDelay(), () => this.handlers.onGoodbye());
  }

  #leave(): void {
    this.#open = false;
    this.node.connections.delete(this);
  }

  #answerDelay(): number {
    return this.context.clock.between(MIN_ANSWER_DELAY_MS, MAX_ANSWER_DELAY_MS);
  }
}

function notRecorded(): UnknownOutcomeError {
  const message = 'the home nodes of the session id could not be reached';
  return new UnknownOutcomeError('session-not-recorded', message);
}
