/**
 * Sends callers' requests to the owners of a group: opens a stream to the first owner, tries the
 * next one if the request provably did not run, and reports the known outcome if an owner is lost.
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
import { BatchSender, toBatchHeader } from '../owner/batch-transfer.js';
import { asBuffer } from '../owner/buffers.js';
import {
  type BatchMessage,
  decodeRequestError,
  type OpenMessage,
  type OwnerMessage,
  ownerMessageSchema,
} from '../owner/messages.js';
import { openToWire, ownerMessageFromWire } from '../owner/wire-form.js';

/** Delay before the next owner is tried; grows by this with each attempt. */
const RETRY_DELAY_STEP_MS = 5;
const MAX_RETRY_DELAY_MS = 100;

/** How this node reaches an owner. */
export type OwnerReference =
  | { readonly type: 'local' }
  | { readonly type: 'remote'; readonly address: PeerAddress };

/** End of a statement or transaction that the database answered. */
export interface GroupResponseEnd {
  readonly status: TransactionStatus;
  readonly heldBack: Buffer;
  /** Position that the session's later reads must have reached; undefined if unchanged. */
  readonly position: Position | undefined;
  readonly fromReplica: boolean;
}

/** Callbacks of one statement or transaction. `onEnd` or `onError` is called exactly once, last. */
export interface GroupCallHandlers {
  onData(data: Buffer): void;
  /** A batch inside the open transaction ended. */
  onBatchEnd(status: TransactionStatus, heldBack: Buffer): void;
  /** The proxy refused a batch inside the open transaction; the transaction block is now failed. */
  onBatchError(status: TransactionStatus, error: RequestError): void;
  onEnd(end: GroupResponseEnd): void;
  /**
   * `position`: position that the session's later reads must have reached, if something was
   * committed and its position is known.
   */
  onError(error: RequestError, position?: Position): void;
}

/** Dependencies of the client. */
export interface GroupClientOptions {
  /** Owners in order of preference, according to this node's view of the members. */
  readonly ownersOf: (group: GroupName) => readonly OwnerReference[];
  /** Called when an owner refused a request, for example because it no longer owns the group. */
  readonly onOwnerRefused: (group: GroupName) => void;
  readonly transport: PeerTransport;
  /** Serves a stream in the owner role of this node. */
  readonly acceptLocal: (message: OpenMessage, stream: PeerStream) => void;
  readonly retryBudget: RetryBudget;
  readonly now: () => Milliseconds;
}

/** Refusals after which another owner, or the same owner a little later, may accept the request. */
const RETRYABLE_OWNER_REASONS: ReadonlySet<NotRunReason> = new Set([
  'owner-unreachable',
  'owner-stopping',
]);

/** Sends requests to the owners of their groups. */
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
  #anyResponseReceived = false;
  #mayHaveCommitted = false;
  #finished = false;
  #retryTimer: NodeJS.Timeout | undefined;

  constructor(options: GroupClientOptions, message: OpenMessage, handlers: GroupCallHandlers) {
    this.#options = options;
    this.#message = message;
    this.#handlers = handlers;
    this.#deadline = options.now() + message.remainingMs;
    this.#mayHaveCommitted = message.batch.mayCommit || message.hold === 'statement';
  }

  start(): void {
    const owners = this.#options.ownersOf(this.#message.group);
    const owner = owners[this.#attempts % Math.max(1, owners.length)];
    this.#attempts += 1;
    if (owner === undefined) {
      this.#retryOrFail(
        new NotRunError('owner-unreachable', 'the group has no owner yet', RETRY_DELAY_STEP_MS),
      );
      return;
    }
    this.#openStream(owner);
  }

  /** Sends the next batch of the open transaction. */
  send(batch: BatchMessage): void {
    if (batch.mayCommit) this.#mayHaveCommitted = true;
    this.#stream?.send(toBatchHeader(batch));
    this.#sender?.sendRemainder(batch);
  }

  /** Cancels the running batch at the caller's request. */
  cancel(): void {
    this.#stream?.send({ type: 'cancel' });
  }

  /** The caller has disconnected; no more callbacks are made. */
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
      batch: toBatchHeader(this.#message.batch),
      remainingMs: Math.max(0, this.#deadline - this.#options.now()),
    };
    const stream = this.#streamTo(owner, header);
    this.#stream = stream;
    this.#sender = new BatchSender(stream);
    stream.onData = (data) => this.#onData(data);
    stream.onMessage = (message) => this.#onMessage(message, stream);
    stream.onClose = (error) => this.#onClose(error, stream);
    this.#sender.sendRemainder(this.#message.batch);
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
    this.#anyResponseReceived = true;
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
        this.#anyResponseReceived = true;
        this.#mayHaveCommitted = false;
        this.#handlers.onBatchEnd(message.status, asBuffer(message.heldBack));
        return;
      case 'batch-error':
        this.#anyResponseReceived = true;
        this.#mayHaveCommitted = false;
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
    const isOwnerRefusal =
      error instanceof NotRunError && RETRYABLE_OWNER_REASONS.has(error.reason);
    if (isOwnerRefusal) this.#options.onOwnerRefused(this.#message.group);
    if (isOwnerRefusal && !this.#anyResponseReceived) this.#retryOrFail(error);
    else this.#fail(error, position);
  }

  /** The stream closed before the owner reported the outcome: the link or the owner is lost. */
  #onClose(error: MeadowstackError | undefined, stream: PeerStream): void {
    if (this.#finished || stream !== this.#stream) return;
    const wasNeverSent = error instanceof PeerError && !error.anyBytesWritten;
    if (wasNeverSent && !this.#anyResponseReceived) {
      this.#retryOrFail(
        new NotRunError('owner-unreachable', 'the owner could not be reached', RETRY_DELAY_STEP_MS),
      );
      return;
    }
    if (
      this.#message.hold === 'statement' &&
      this.#message.access === 'read' &&
      !this.#anyResponseReceived
    ) {
      this.#retryOrFail(new UnknownOutcomeError('owner-lost', 'the owner was lost during a read'));
      return;
    }
    if (this.#mayHaveCommitted) {
      this.#fail(
        new UnknownOutcomeError('owner-lost', 'the owner was lost before it reported the outcome'),
      );
      return;
    }
    this.#fail(new TransactionAbortedError('the owner of the open transaction was lost'));
  }

  #retryOrFail(error: RequestError): void {
    const now = this.#options.now();
    const pause = Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_STEP_MS * this.#attempts);
    const isFirstRound = this.#attempts <= this.#options.ownersOf(this.#message.group).length;
    const mayRetry = isFirstRound || this.#options.retryBudget.tryTake();
    if (now + pause >= this.#deadline || !mayRetry) {
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
