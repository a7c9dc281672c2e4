/**
 * One statement or transaction that a gateway sends to an owner. Follows the rules of the gateway's
 * group client: it tries another owner only if no part of the request can have run, or for a read.
 */
import {
  NotRunError,
  type NotRunReason,
  type RequestError,
  UnknownOutcomeError,
} from '../../../src/core/errors.js';
import type { GroupRequest } from '../../../src/core/request.js';
import type { RetryBudget } from '../../../src/core/retry/budget.js';
import type { RequestRecord } from '../history.js';
import type { FleetContext } from './context.js';
import type { FleetNode } from './node.js';

const RETRY_PAUSE_STEP_MS = 5;
const MAX_RETRY_PAUSE_MS = 100;
const CONNECT_REFUSED_DELAY_MS = 1;
const MAX_ABANDON_DELAY_MS = 5;
const OWNER_REASONS: ReadonlySet<NotRunReason> = new Set(['owner-unreachable', 'owner-stopping']);

/** Result of a call: the owner's answer, or the gateway's own error. */
export interface CallEnd {
  readonly error: RequestError | undefined;
  /** The owner's record, if it ended the request. */
  readonly record: RequestRecord | undefined;
}

export interface GatewayCallOptions {
  readonly context: FleetContext;
  readonly node: FleetNode;
  readonly session: number;
  /** Its id is the attempt's id; each send attempt appends its number. */
  readonly request: GroupRequest;
  readonly onceKey: string | undefined;
  readonly retryBudget: RetryBudget;
  readonly onEnd: (end: CallEnd) => void;
}

/** One attempt to send the request to an owner. */
interface SendAttempt {
  readonly ownerId: string;
  readonly requestId: string;
  /** Time left until the deadline when it is sent; clocks of different nodes are not compared. */
  readonly remainingMs: number;
  isOpen: boolean;
}

export class GatewayCall {
  #currentSend: SendAttempt | undefined;
  #attempts = 0;
  #isFinished = false;

  constructor(private readonly options: GatewayCallOptions) {
    options.retryBudget.recordAttempt();
    this.#start();
  }

  /** Handles a link to a node that was closed by either side. */
  handleLinkBroken(ownerId: string): void {
    const sendAttempt = this.#currentSend;
    if (this.#isFinished || sendAttempt?.ownerId !== ownerId || !sendAttempt.isOpen) return;
    this.#close(sendAttempt);
    const { request, context } = this.options;
    const mayResend = context.disabledMechanisms.has('no-resend');
    const isRead = request.access === 'read' && request.hold === 'statement';
    const message = 'the owner was lost before it reported the outcome';
    const error = new UnknownOutcomeError('owner-lost', message);
    if (isRead || mayResend) this.#retryOrFail(error);
    else this.#finish({ error, record: undefined });
  }

  /** Handles the disconnection of the caller or the exit of this gateway. */
  abandon(): void {
    this.#isFinished = true;
    if (this.#currentSend !== undefined) this.#close(this.#currentSend);
  }

  #start(): void {
    if (this.#isFinished) return;
    const owners = this.#owners();
    const ownerId = owners[this.#attempts % Math.max(1, owners.length)];
    this.#attempts += 1;
    if (ownerId === undefined) {
      this.#retryOrFail(new NotRunError('owner-unreachable', 'the group has no owner yet'));
      return;
    }
    this.#send(ownerId);
  }

  /** Gateways start with different owners, so that all owners are used. */
  #owners(): readonly string[] {
    const { node, context } = this.options;
    const { route } = node.role;
    const first = context.nodeIds.indexOf(node.nodeId) % Math.max(1, route.length);
    return [...route.slice(first), ...route.slice(0, first)];
  }

  #send(ownerId: string): void {
    const { context, node, request } = this.options;
    const { nodeId } = node;
    const requestId = `${request.id}#${this.#attempts}`;
    const owner = context.nodeById(ownerId);
    const remainingMs = Math.max(0, request.deadline - context.clock.now);
    const sendAttempt: SendAttempt = { ownerId, requestId, remainingMs, isOpen: true };
    this.#currentSend = sendAttempt;
    if (this.#isUnreachable(owner)) {
      node.process.after(CONNECT_REFUSED_DELAY_MS, () => {
        sendAttempt.isOpen = false;
        const message = 'the owner could not be reached';
        this.#retryOrFail(new NotRunError('owner-unreachable', message));
      });
      return;
    }
    const { process } = owner;
    context.network.send(nodeId, ownerId, () => {
      process.run(() => this.#handleArrival(owner, sendAttempt));
    });
  }

  /** True if no link can be opened, so that no byte of the request was written. */
  #isUnreachable(owner: FleetNode): boolean {
    const { context, node } = this.options;
    if (owner.nodeId === node.nodeId) return false;
    return !owner.process.isAlive || context.network.isDown(node.nodeId, owner.nodeId);
  }

  #handleArrival(owner: FleetNode, sendAttempt: SendAttempt): void {
    const { context, request, session, onceKey } = this.options;
    const deadline = context.clock.now + sendAttempt.remainingMs;
    const refusal = owner.role.submit(
      { ...request, id: sendAttempt.requestId, deadline },
      {
        session,
        ...(onceKey === undefined || context.disabledMechanisms.has('once-claim')
          ? {}
          : { onceKey }),
        onCompleted: (record) => {
          const [completion] = record.completions;
          this.#sendAnswer(owner, sendAttempt, { error: completion?.error, record });
        },
      },
    );
    if (refusal !== undefined)
      this.#sendAnswer(owner, sendAttempt, { error: refusal, record: undefined });
    else if (!sendAttempt.isOpen) this.#abandonAt(sendAttempt);
  }

  #sendAnswer(owner: FleetNode, sendAttempt: SendAttempt, end: CallEnd): void {
    const { context, node } = this.options;
    const { process } = node;
    context.network.send(owner.nodeId, node.nodeId, () => {
      process.run(() => this.#handleAnswer(sendAttempt, end));
    });
  }

  #handleAnswer(sendAttempt: SendAttempt, end: CallEnd): void {
    if (this.#isFinished || sendAttempt !== this.#currentSend || !sendAttempt.isOpen) return;
    sendAttempt.isOpen = false;
    const { error } = end;
    const isRefused = error instanceof NotRunError && OWNER_REASONS.has(error.reason);
    if (isRefused) this.#retryOrFail(error);
    else this.#finish(end);
  }

  #retryOrFail(error: RequestError): void {
    if (this.#isFinished) return;
    const { context, node, request, retryBudget } = this.options;
    const pause = Math.min(MAX_RETRY_PAUSE_MS, RETRY_PAUSE_STEP_MS * this.#attempts);
    const isFirstRound = this.#attempts <= node.role.route.length;
    const mayRetry = isFirstRound || retryBudget.tryTake();
    if (context.clock.now + pause >= request.deadline || !mayRetry) {
      this.#finish({ error, record: undefined });
      return;
    }
    this.#currentSend = undefined;
    node.process.after(pause, () => this.#start());
  }

  #close(sendAttempt: SendAttempt): void {
    if (!sendAttempt.isOpen) return;
    sendAttempt.isOpen = false;
    this.#abandonAt(sendAttempt);
  }

  /** Notifies the owner that the gateway closed the stream. */
  #abandonAt({ ownerId, requestId }: SendAttempt): void {
    const { clock, nodeById } = this.options.context;
    const { process, role } = nodeById(ownerId);
    clock.after(clock.between(0, MAX_ABANDON_DELAY_MS), () => {
      process.run(() => role.abandon(requestId));
    });
  }

  #finish(end: CallEnd): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.options.onEnd(end);
  }
}
