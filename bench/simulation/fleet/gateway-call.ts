/**
 * One statement or transaction on its way from a gateway to an owner and back. Decides as the
 * gateway's group client does: another owner is asked only if nothing of the request can have run,
 * or if it is a read.
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

const RETRY_STEP_MS = 5;
const MAX_RETRY_PAUSE_MS = 100;
const REFUSED_CONNECT_MS = 1;
const MAX_ABANDON_DELAY_MS = 5;
const OWNER_REASONS: ReadonlySet<NotRunReason> = new Set(['owner-unreachable', 'owner-stopping']);

/** What an owner said, or what is known without its word. */
export interface CallEnd {
  readonly error: RequestError | undefined;
  /** The owner's record, if it ended the request. */
  readonly record: RequestRecord | undefined;
}

export interface GatewayCallOptions {
  readonly context: FleetContext;
  readonly node: FleetNode;
  readonly session: number;
  /** Its id is the attempt's; each sending to an owner adds its number. */
  readonly request: GroupRequest;
  readonly onceKey: string | undefined;
  readonly retryBudget: RetryBudget;
  readonly onEnd: (end: CallEnd) => void;
}

/** One sending of the request to one owner. */
interface Sending {
  readonly ownerId: string;
  readonly requestId: string;
  /** Time that the caller leaves from the sending on: clocks of two nodes are not compared. */
  readonly remainingMs: number;
  open: boolean;
}

export class GatewayCall {
  #sending: Sending | undefined;
  #attempts = 0;
  #finished = false;

  constructor(private readonly options: GatewayCallOptions) {
    options.retryBudget.recordAttempt();
    this.#start();
  }

  /** The link to a node was given up, or the node's end of it is gone. */
  linkBroken(ownerId: string): void {
    const sending = this.#sending;
    if (this.#finished || sending?.ownerId !== ownerId || !sending.open) return;
    this.#close(sending);
    const { request, context } = this.options;
    const resends = context.without.has('no-resend');
    const isRead = request.access === 'read' && request.hold === 'statement';
    const message = 'the owner was lost before it told the outcome';
    const error = new UnknownOutcomeError('owner-lost', message);
    if (isRead || resends) this.#retryOrFail(error);
    else this.#end({ error, record: undefined });
  }

  /** The caller or this gateway has gone. */
  abandon(): void {
    this.#finished = true;
    if (this.#sending !== undefined) this.#close(this.#sending);
  }

  #start(): void {
    if (this.#finished) return;
    const owners = this.#owners();
    const ownerId = owners[this.#attempts % Math.max(1, owners.length)];
    this.#attempts += 1;
    if (ownerId === undefined) {
      this.#retryOrFail(new NotRunError('owner-unreachable', 'the group has no owner yet'));
      return;
    }
    this.#send(ownerId);
  }

  /** Gateways begin with different owners, so that all owners are in use. */
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
    const owner = context.nodeNamed(ownerId);
    const remainingMs = Math.max(0, request.deadline - context.clock.now);
    const sending: Sending = { ownerId, requestId, remainingMs, open: true };
    this.#sending = sending;
    if (this.#isUnreachable(owner)) {
      node.process.after(REFUSED_CONNECT_MS, () => {
        sending.open = false;
        const message = 'the owner could not be reached';
        this.#retryOrFail(new NotRunError('owner-unreachable', message));
      });
      return;
    }
    const { process } = owner;
    context.network.send(nodeId, ownerId, () => {
      process.run(() => this.#arrive(owner, sending));
    });
  }

  /** Known before anything is written: such a request never left. */
  #isUnreachable(owner: FleetNode): boolean {
    const { context, node } = this.options;
    if (owner.nodeId === node.nodeId) return false;
    return !owner.process.alive || context.network.isDown(node.nodeId, owner.nodeId);
  }

  #arrive(owner: FleetNode, sending: Sending): void {
    const { context, request, session, onceKey } = this.options;
    const deadline = context.clock.now + sending.remainingMs;
    const refusal = owner.role.submit(
      { ...request, id: sending.requestId, deadline },
      {
        session,
        ...(onceKey === undefined || context.without.has('once-claim') ? {} : { onceKey }),
        onFinal: (record) => {
          const [final] = record.finals;
          this.#answer(owner, sending, { error: final?.error, record });
        },
      },
    );
    if (refusal !== undefined) this.#answer(owner, sending, { error: refusal, record: undefined });
    else if (!sending.open) this.#abandonAt(sending);
  }

  #answer(owner: FleetNode, sending: Sending, end: CallEnd): void {
    const { context, node } = this.options;
    const { process } = node;
    context.network.send(owner.nodeId, node.nodeId, () => {
      process.run(() => this.#onAnswer(sending, end));
    });
  }

  #onAnswer(sending: Sending, end: CallEnd): void {
    if (this.#finished || sending !== this.#sending || !sending.open) return;
    sending.open = false;
    const { error } = end;
    const refused = error instanceof NotRunError && OWNER_REASONS.has(error.reason);
    if (refused) this.#retryOrFail(error);
    else this.#end(end);
  }

  #retryOrFail(error: RequestError): void {
    if (this.#finished) return;
    const { context, node, request, retryBudget } = this.options;
    const pause = Math.min(MAX_RETRY_PAUSE_MS, RETRY_STEP_MS * this.#attempts);
    const firstLap = this.#attempts <= node.role.route.length;
    const affordable = firstLap || retryBudget.tryTake();
    if (context.clock.now + pause >= request.deadline || !affordable) {
      this.#end({ error, record: undefined });
      return;
    }
    this.#sending = undefined;
    node.process.after(pause, () => this.#start());
  }

  #close(sending: Sending): void {
    if (!sending.open) return;
    sending.open = false;
    this.#abandonAt(sending);
  }

  /** The owner learns that the other end of the stream is gone. */
  #abandonAt({ ownerId, requestId }: Sending): void {
    const { clock, nodeNamed } = this.options.context;
    const { process, role } = nodeNamed(ownerId);
    clock.after(clock.between(0, MAX_ABANDON_DELAY_MS), () => {
      process.run(() => role.abandon(requestId));
    });
  }

  #end(end: CallEnd): void {
    if (this.#finished) return;
    this.#finished = true;
    this.options.onEnd(end);
  }
}
