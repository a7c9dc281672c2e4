/**
 * One caller's connection to a gateway: the gateway's session state and its handling of answers.
 * Follows the rules of the gateway's session, with the core's functions.
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

/** A request as a caller sends it. */
export interface CallerRequest {
  /** The attempt's id. */
  readonly id: string;
  /** The request to the owner, without the requirement of the session. */
  readonly ownerRequest: Omit<GroupRequest, 'session' | 'id'>;
  readonly onceKey: string | undefined;
}

/** An answer as a caller receives it. */
export interface CallerAnswer {
  readonly error: RequestError | undefined;
  readonly record: RequestRecord | undefined;
}

export interface CallerHandlers {
  onAnswer(answer: CallerAnswer): void;
  /** Receives a new token, before the answer to which it belongs. */
  onToken(token: string): void;
  /** The connection was lost without a message. */
  onConnectionLost(): void;
  /** The gateway ended the session between requests. */
  onSessionEnded(): void;
}

/** A caller's session and how it identifies itself. */
export interface CallerIdentity {
  readonly index: number;
  readonly key: SessionIdentity;
  /** Carries the session between connections; with `nothing` each connection is a new session. */
  readonly carrier: 'token' | 'id' | 'nothing';
  readonly writes: 'half' | 'few' | 'none';
}

export class GatewayConnection {
  wasFrozen = false;
  #state: SessionState = freshSession();
  #isReady = false;
  #queuedRequest: CallerRequest | undefined;
  #currentRequest: CallerRequest | undefined;
  #call: GatewayCall | undefined;
  #isStopping = false;
  #isOpen = true;
  readonly #directory: SimulatedDirectory;
  readonly #retryBudget = new RetryBudget(RETRY_BUDGET);

  constructor(
    private readonly context: FleetContext,
    private readonly node: FleetNode,
    private readonly identity: CallerIdentity,
    private readonly handlers: CallerHandlers,
  ) {
    this.wasFrozen = node.process.isFrozen;
    this.#directory = new SimulatedDirectory(context, node.process);
    node.connections.add(this);
  }

  /** Decodes the token, or looks up the session id. */
  start(token: string | undefined): void {
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
      this.#startQueuedRequest();
      return;
    }
    this.node.process.run(() => {
      this.#directory.lookUp(this.identity.key, (known) => {
        this.#state = mergeSessions(this.#state, known);
        this.#startQueuedRequest();
      });
    });
  }

  send(request: CallerRequest): void {
    if (!this.#isOpen) return;
    this.#currentRequest = request;
    if (!this.#isReady) this.#queuedRequest = request;
    else this.node.process.run(() => this.#sendToOwner(request));
  }

  /** Graceful shutdown: ends the session as soon as no request is in progress. */
  endWhenIdle(): void {
    this.#isStopping = true;
    if (this.#currentRequest === undefined) this.#endSession();
  }

  /** The caller closes the connection. */
  close(): void {
    this.#isOpen = false;
    this.#call?.abandon();
    this.node.connections.delete(this);
  }

  /** The gateway's process was killed. */
  handleProcessExit(): void {
    if (!this.#isOpen) return;
    this.close();
    this.context.clock.after(this.#answerDelay(), () => this.handlers.onConnectionLost());
  }

  handleLinkBroken(nodeId: string): void {
    this.#call?.handleLinkBroken(nodeId);
  }

  #startQueuedRequest(): void {
    this.#isReady = true;
    const waiting = this.#queuedRequest;
    this.#queuedRequest = undefined;
    if (waiting !== undefined) this.node.process.run(() => this.#sendToOwner(waiting));
  }

  #sendToOwner(request: CallerRequest): void {
    if (!this.#isOpen) return;
    this.#call = new GatewayCall({
      context: this.context,
      node: this.node,
      session: this.identity.index,
      request: { ...request.ownerRequest, id: request.id, session: this.#requirement() },
      onceKey: request.onceKey,
      retryBudget: this.#retryBudget,
      onEnd: (end) => this.#handleCallEnd(request, end),
    });
  }

  #requirement(): SessionRequirement {
    if (this.context.disabledMechanisms.has('gateway-session-position')) {
      return { type: 'known', position: ZERO_POSITION };
    }
    return requirementFor(this.#state, GROUP);
  }

  #handleCallEnd(request: CallerRequest, { error, record }: CallEnd): void {
    if (!this.#isOpen) return;
    if (error !== undefined) {
      this.#handleError(error, record);
      return;
    }
    const [completion] = record?.completions ?? [];
    const answer = { error, record };
    if (completion?.position === undefined) {
      this.#sendAnswer(answer);
      return;
    }
    const { position } = completion;
    const wasUnknown = requirementFor(this.#state, GROUP).type === 'unknown';
    this.#observe(position, completion.fromReplica);
    const mustRecord = request.ownerRequest.access === 'write' || wasUnknown;
    if (mustRecord) this.#recordThenAnswer(position, answer);
    else this.#sendAnswer(answer);
  }

  #handleError(error: RequestError, record: RequestRecord | undefined): void {
    const position = record?.completions[0]?.position;
    const hasPosition =
      error.outcome === 'done' && !this.context.disabledMechanisms.has('once-position');
    if (hasPosition && position !== undefined) {
      this.#observe(position, false);
      this.#recordThenAnswer(position, { error, record });
      return;
    }
    const mayHaveTakenEffect = error.outcome === 'unknown' || error.outcome === 'done';
    if (mayHaveTakenEffect) this.#state = markUnknown(this.#state, GROUP);
    this.#sendAnswer({ error, record });
  }

  #observe(position: Position, fromReplica: boolean): void {
    const source = fromReplica ? 'unconfirmed' : 'confirmed-primary';
    const before = requirementFor(this.#state, GROUP);
    this.#state = observe(this.#state, GROUP, position, source);
    if (before === requirementFor(this.#state, GROUP) || this.identity.carrier !== 'token') return;
    const { tenant } = this.identity.key;
    this.handlers.onToken(encodeSessionToken(this.#state, tenant, this.context.sessionKeys));
  }

  /** A session that moves by its id gets its answer only after its home nodes recorded the position. */
  #recordThenAnswer(position: Position, answer: CallerAnswer): void {
    if (this.identity.carrier !== 'id') {
      this.#sendAnswer(answer);
      return;
    }
    this.#directory.record(this.identity.key, { group: GROUP, position }, (isRecorded) => {
      if (isRecorded) this.#sendAnswer(answer);
      else this.#sendAnswer({ error: createNotRecordedError(), record: answer.record });
    });
  }

  #sendAnswer(answer: CallerAnswer): void {
    this.context.clock.after(this.#answerDelay(), () => {
      if (!this.#isOpen) return;
      this.#currentRequest = undefined;
      this.#call = undefined;
      if (this.#isStopping) this.#detach();
      this.handlers.onAnswer(answer);
      if (this.#isStopping) this.handlers.onSessionEnded();
    });
  }

  #endSession(): void {
    this.#detach();
    this.context.clock.after(this.#answerDelay(), () => this.handlers.onSessionEnded());
  }

  #detach(): void {
    this.#isOpen = false;
    this.node.connections.delete(this);
  }

  #answerDelay(): number {
    return this.context.clock.between(MIN_ANSWER_DELAY_MS, MAX_ANSWER_DELAY_MS);
  }
}

function createNotRecordedError(): UnknownOutcomeError {
  const message = 'the home nodes of the session id could not be reached';
  return new UnknownOutcomeError('session-not-recorded', message);
}
