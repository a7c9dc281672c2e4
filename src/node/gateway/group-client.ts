/**
 * Reaches the owners of a group on behalf of callers: opens a stream to the first owner, moves on to
 * the next one when a request provably did not run, and tells what is known when an owner is lost.
 */

import type { RequestError } from '../../core/errors.js';
import {
  type MeadowstackError,
  NotRunError,
  type NotRunReason,
  TransactionAbortedError,
  UnknownOutcomeError,
} from '../../core/errors.js';
import type { Position } from '../../core/position.js';
import type { GroupName } from '../../core/request.js';
import type { RetryBudget } from '../../core/retry/budget.js';
import type { Milliseconds } from '../../core/units.js';
import type { PeerAddress, PeerStream, PeerTransport, WireValue } from '../../peer/contract.js';
import { PeerError } from '../../peer/errors.js';
import { createLocalStreamPair } from '../../peer/local-stream.js';
import type { TransactionStatus } from '../../postgres/contract.js';
import { BatchSender, batchHeader } from '../owner/batch-transfer.js';
import { asBuffer } from '../owner/buffers.js';
import {
  type BatchMessage,
  decodeRequestError,
  type OpenMessage,
  type OwnerMessage,
  ownerMessageSchema,
} from '../owner/messages.js';
import { openToWire, ownerMessageFromWire } from '../owner/wire-form.js';

/** Pause before another owner is asked, in ms; grows with each attempt. */
const RETRY_STEP_MS = 5;
const MAX_RETRY_PAUSE_MS = 100;

/** An owner as this node reaches it. */
export type OwnerReference =
  | { readonly type: 'local' }
  | { readonly type: 'remote'; readonly address: PeerAddress };

/** How a statement or transaction ended with a database answer. */
export interface GroupAnswerEnd {
  readonly status: TransactionStatus;
  readonly heldBack: Buffer;
  /** What the session must see from now on; undefined if unchanged. */
  readonly position: Position | undefined;
  readonly fromReplica: boolean;
}

/** Hears of one statement or transaction. `onEnd` or `onError` is called exactly once, last. */
export interface GroupCallHandlers {
  onData(data: Buffer): void;
  /** A batch inside the open transaction ended. */
  onBatchEnd(status: TransactionStatus, heldBack: Buffer): void;
  /** A batch inside the open transaction was refused by the proxy; the block is failed. */
  onBatchError(status: TransactionStatus, error: RequestError): void;
  onEnd(end: GroupAnswerEnd): void;
  /** `position`: what the session must see from now on, if something lasts and it is known. */
  onError(error: RequestError, position?: Position): void;
}

/** What the client is made of. */
export interface GroupClientOptions {
  /** Owners in order of preference, by this node's view of the members. */
  readonly ownersOf: (group: GroupName) => readonly OwnerReference[];
  /** An owner refused because it no longer owns the group. */
  readonly onOwnerRefused: (group: GroupName) => void;
  readonly transport: PeerTransport;
  /** Serves a stream on this node's own owner job. */
  readonly acceptLocal: (message: OpenMessage, stream: PeerStream) => void;
  readonly retryBudget: RetryBudget;
  readonly now: () => Milliseconds;
}

/** Refusals after which another owner, or the same one a little later, may well accept. */
const OWNER_REASONS: ReadonlySet<NotRunReason> = new Set(['owner-unreachable', 'owner-stopping']);

/** Sends requests to their groups' owners. */
export class GroupClient {
  constructor(readonly options: GroupClientOptions) {}

  /** Sends a statement or opens a transaction. */
  open(message: OpenMessage, handlers: GroupCallHandlers): GroupCall {
    this.options.retryBudget.recordAttempt();
    const call = new GroupCall(this.options, message, handlers);
    call.start();
    return call;
  }
}

/** One statement or transaction in progress. */
export class GroupCall {
  readonly #options: GroupClientOptions;
  readonly #message: OpenMessage;
  readonly #handlers: GroupCallHandlers;
  readonly #deadline: Milliseconds;
  #stream: PeerStream | undefined;
  #sender: BatchSender | undefined;
  #attempts = 0;
  #answered = false;
  #commitSent = false;
  #finished = false;
  #retryTimer: NodeJS.Timeout | undefined;

  constructor(options: GroupClientOptions, message: OpenMessage, handlers: GroupCallHandlers) {
    this.#options = options;
    this.#message = message;
    this.#handlers = handlers;
    this.#deadline = options.now() + message.remainingMs;
    this.#commitSent = message.batch.mayCommit || message.hold === 'statement';
  }

  start(): void {
    const owners = this.#options.ownersOf(this.#message.group);
    const owner = owners[this.#attempts % Math.max(1, owners.length)];
    this.#attempts += 1;
    if (owner === undefined) {
      this.#retryOrFail(
        new NotRunError('owner-unreachable', 'the group has no owner yet', RETRY_STEP_MS),
      );
      return;
    }
    this.#openStream(owner);
  }

  /** The next batch of the open transaction. */
  send(batch: BatchMessage): void {
    if (batch.mayCommit) this.#commitSent = true;
    this.#stream?.send(batchHeader(batch));
    this.#sender?.follow(batch);
  }

  /** The caller asked to cancel what is running. */
  cancel(): void {
    this.#stream?.send({ type: 'cancel' });
  }

  /** The caller has gone; nothing more is reported. */
  abandon(): void {
    if (this.#finished) return;
    this.#finished = true;
    clearTimeout(this.#retryTimer);
    this.#stream?.abort('caller gone');
  }

  pause(): void {
    this.#stream?.pause();
  }

  resume(): void {
    this.#stream?.resume();
  }

  #openStream(owner: OwnerReference): void {
    const header: OpenMessage = {
      ...this.#message,
      batch: batchHeader(this.#message.batch),
      remainingMs: Math.max(0, this.#deadline - this.#options.now()),
    };
    const stream = this.#streamTo(owner, header);
    this.#stream = stream;
    this.#sender = new BatchSender(stream);
    stream.onData = (data) => this.#onData(data);
    stream.onMessage = (message) => this.#onMessage(message, stream);
    stream.onClose = (error) => this.#onClose(error, stream);
    this.#sender.follow(this.#message.batch);
  }

  #streamTo(owner: OwnerReference, header: OpenMessage): PeerStream {
    if (owner.type === 'remote')
      return this.#options.transport.openStream(owner.address, openToWire(header));
    const pair = createLocalStreamPair();
    this.#options.acceptLocal(header, pair.acceptor);
    return pair.opener;
  }

  #onData(data: Buffer): void {
    if (this.#finished) return;
    this.#answered = true;
    this.#handlers.onData(data);
  }

  #onMessage(value: WireValue, stream: PeerStream): void {
    if (this.#finished || stream !== this.#stream) return;
    const parsed = ownerMessageSchema.safeParse(ownerMessageFromWire(value));
    if (!parsed.success) {
      stream.abort('malformed message from owner');
      return;
    }
    this.#onOwnerMessage(parsed.data);
  }

  #onOwnerMessage(message: OwnerMessage): void {
    switch (message.type) {
      case 'batch-end':
        this.#answered = true;
        this.#commitSent = false;
        this.#handlers.onBatchEnd(message.status, asBuffer(message.heldBack));
        return;
      case 'batch-error':
        this.#answered = true;
        this.#commitSent = false;
        this.#handlers.onBatchError(message.status, decodeRequestError(message.error));
        return;
      case 'end':
        this.#finish();
        this.#handlers.onEnd({
          status: message.status,
          heldBack: asBuffer(message.heldBack),
          position: message.position,
          fromReplica: message.fromReplica,
        });
        return;
      case 'error':
        this.#onRequestError(decodeRequestError(message), message.position);
        return;
    }
  }

  #onRequestError(error: RequestError, position: Position | undefined): void {
    const ownerRefused = error instanceof NotRunError && OWNER_REASONS.has(error.reason);
    if (ownerRefused) this.#options.onOwnerRefused(this.#message.group);
    if (ownerRefused && !this.#answered) this.#retryOrFail(error);
    else this.#fail(error, position);
  }

  /** The stream closed before its end was told: the link or the owner is lost. */
  #onClose(error: MeadowstackError | undefined, stream: PeerStream): void {
    if (this.#finished || stream !== this.#stream) return;
    const neverLeft = error instanceof PeerError && !error.anyBytesWritten;
    if (neverLeft && !this.#answered) {
      this.#retryOrFail(
        new NotRunError('owner-unreachable', 'the owner could not be reached', RETRY_STEP_MS),
      );
      return;
    }
    if (this.#message.hold === 'statement' && this.#message.access === 'read' && !this.#answered) {
      this.#retryOrFail(new UnknownOutcomeError('owner-lost', 'the owner was lost during a read'));
      return;
    }
    if (this.#commitSent) {
      this.#fail(
        new UnknownOutcomeError('owner-lost', 'the owner was lost before it told the outcome'),
      );
      return;
    }
    this.#fail(new TransactionAbortedError('the owner of the open transaction was lost'));
  }

  #retryOrFail(error: RequestError): void {
    const now = this.#options.now();
    const pause = Math.min(MAX_RETRY_PAUSE_MS, RETRY_STEP_MS * this.#attempts);
    const firstLap = this.#attempts <= this.#options.ownersOf(this.#message.group).length;
    const affordable = firstLap || this.#options.retryBudget.tryTake();
    if (now + pause >= this.#deadline || !affordable) {
      this.#fail(error);
      return;
    }
    this.#stream = undefined;
    this.#retryTimer = setTimeout(() => this.start(), pause);
  }

  #fail(error: RequestError, position?: Position): void {
    if (this.#finished) return;
    this.#finish();
    this.#handlers.onError(error, position);
  }

  #finish(): void {
    this.#finished = true;
    clearTimeout(this.#retryTimer);
  }
}
