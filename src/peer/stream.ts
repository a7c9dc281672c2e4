/**
 * One stream of a link: keeps the order, the credit in both directions, and calls `onClose` exactly
 * once. The link does the I/O.
 *
 * Credit: each side may have up to `windowBytes` of data in flight or unread. The reader returns
 * credit in steps of at least half the window as its `onData` takes the data, and none while paused.
 */
import type { MeadowstackError } from '../core/errors.js';
import { encodeValue } from './codec.js';
import type { PeerStream, WireValue } from './contract.js';
import {
  PeerLinkLostError,
  PeerMessageRefusedError,
  PeerProtocolError,
  PeerStreamAbortedError,
} from './errors.js';
import { FrameType, type FrameTypeCode } from './frame.js';
import type { FrameBatch } from './frame-batch.js';
import type { PeerLinkLimits } from './options.js';
import { OutgoingQueue } from './outgoing-queue.js';

/** The link as its streams use it. */
export interface StreamLink {
  /** Number of the link within this process. */
  readonly linkNumber: number;
  /** Address or node id of the other side, for error messages. */
  readonly peerName: string;
  readonly limits: PeerLinkLimits;
  /** Schedules a call of `takeTurn`, for a stream that has something to send. */
  scheduleStream(stream: LinkStream): void;
  sendCredit(stream: number, bytes: number): void;
  sendAbort(stream: number, reason: string): void;
  /** Removes an ended stream: frames that still arrive for it are dropped. */
  removeStream(stream: LinkStream): void;
}

type StreamState = 'open' | 'ending' | 'closed';
type IncomingItem = { readonly data: Buffer } | { readonly message: WireValue };

const EMPTY = Buffer.alloc(0);
/** Messages that a paused stream buffers; one more aborts it, since messages need no credit. */
const MAX_BUFFERED_MESSAGES = 1024;

export class LinkStream implements PeerStream {
  readonly id: string;
  readonly number: number;
  readonly #link: StreamLink;
  #state: StreamState = 'open';
  #anyBytesWritten = false;
  #isKnownToPeer: boolean;

  readonly #outgoing = new OutgoingQueue();
  #sendCredit: number;
  #wantsDrain = false;

  #paused = false;
  #isDelivering = false;
  #incoming: IncomingItem[] = [];
  #bufferedMessages = 0;
  /** Bytes received for which no credit was returned yet. */
  #unreturnedBytes = 0;
  /** Those of `#unreturnedBytes` that `onData` has taken. */
  #consumedBytes = 0;
  #remoteEnded = false;

  onData: ((data: Buffer) => void) | undefined;
  onMessage: ((message: WireValue) => void) | undefined;
  onDrain: (() => void) | undefined;
  onClose: ((error: MeadowstackError | undefined) => void) | undefined;

  /** `isKnownToPeer`: the other side opened the stream, so an abort must be sent to it. */
  constructor(link: StreamLink, number: number, isKnownToPeer: boolean) {
    this.#link = link;
    this.#isKnownToPeer = isKnownToPeer;
    this.number = number;
    this.id = `${link.linkNumber}.${number}`;
    this.#sendCredit = link.limits.windowBytes;
  }

  /** True if any byte of this stream was passed to the socket's batch. */
  get anyBytesWritten(): boolean {
    return this.#anyBytesWritten;
  }

  /** Queues the first frame of a stream that this side opens. */
  open(header: Buffer): void {
    this.#pushControl(FrameType.OPEN, header);
  }

  write(data: Buffer): boolean {
    if (!this.#canSend()) return false;
    if (this.#outgoing.dataBytes > this.#link.limits.maxQueuedBytes) {
      this.abort('writer ignored back pressure');
      return false;
    }
    if (data.length === 0) return !this.#wantsDrain;
    this.#outgoing.pushData(data);
    if (this.#sendCredit > 0) this.#link.scheduleStream(this);
    if (this.#outgoing.dataBytes < this.#sendCredit) return true;
    this.#wantsDrain = true;
    return false;
  }

  send(message: WireValue): void {
    if (!this.#canSend()) return;
    try {
      this.#pushControl(FrameType.MESSAGE, encodeValue(message, this.#link.limits.maxMessageBytes));
    } catch (error) {
      if (!(error instanceof PeerMessageRefusedError)) throw error;
      this.abort(error.message);
    }
  }

  pause(): void {
    this.#paused = true;
  }

  resume(): void {
    this.#paused = false;
    this.#deliver();
  }

  end(): void {
    if (this.#state !== 'open') return;
    this.#state = 'ending';
    if (this.#remoteEnded) this.#closeAndNotifyLater();
    else this.#pushControl(FrameType.END, EMPTY);
  }

  abort(reason: string): void {
    if (this.#state === 'closed') return;
    if (this.#isKnownToPeer && !this.#remoteEnded) this.#link.sendAbort(this.number, reason);
    this.#closeAndNotifyLater(new PeerStreamAbortedError(reason, 'local', this.#anyBytesWritten));
  }

  /** Writes as much as fairness and credit allow; true if the stream needs another turn at once. */
  takeTurn(batch: FrameBatch): boolean {
    if (this.#state === 'closed') return false;
    this.#anyBytesWritten = true;
    this.#isKnownToPeer = true;
    const turn = this.#outgoing.takeTurn(batch, this.number, this.#sendCredit);
    this.#sendCredit -= turn.dataBytes;
    if (turn.ended) {
      this.#closeAndNotify(undefined);
      return false;
    }
    this.#notifyDrain();
    if (this.#outgoing.isEmpty) return false;
    return this.#sendCredit > 0 || !this.#outgoing.beginsWithData;
  }

  /** Adds the credit that the other side returned. */
  receiveCredit(bytes: number): void {
    this.#sendCredit += bytes;
    if (this.#sendCredit > this.#link.limits.windowBytes) {
      throw new PeerProtocolError('credit beyond the window');
    }
    if (!this.#outgoing.isEmpty) this.#link.scheduleStream(this);
    else this.#notifyDrain();
  }

  /** Returns false if the data was dropped because the stream is ending. */
  receiveData(data: Buffer): boolean {
    this.#unreturnedBytes += data.length;
    if (this.#unreturnedBytes > this.#link.limits.windowBytes) {
      throw new PeerProtocolError('data beyond the credit');
    }
    if (this.#state !== 'open') return false;
    if (this.#canDeliver() && this.onData !== undefined) {
      this.#deliverData(data);
    } else {
      // Copied, so that a small frame doesn't keep the whole chunk alive that it arrived in.
      this.#incoming.push({ data: Buffer.from(data) });
    }
    return true;
  }

  /** Returns false if the message was dropped because the stream is ending. */
  receiveMessage(message: WireValue): boolean {
    if (this.#state !== 'open') return false;
    if (this.#canDeliver()) {
      this.onMessage?.(message);
      return true;
    }
    this.#bufferedMessages += 1;
    this.#incoming.push({ message });
    if (this.#bufferedMessages > MAX_BUFFERED_MESSAGES) this.abort('too many messages unread');
    return true;
  }

  /** Handles the orderly end by the other side; buffered items are delivered first. */
  receiveEnd(): void {
    this.#remoteEnded = true;
    this.#outgoing.clear();
    this.#link.removeStream(this);
    if (this.#state === 'ending') this.#closeAndNotify(undefined);
    else this.#deliver();
  }

  receiveAbort(reason: string): void {
    this.#closeAndNotify(new PeerStreamAbortedError(reason, 'remote', this.#anyBytesWritten));
  }

  /** The link was lost. A stream that the other side had ended before is not affected. */
  handleLinkLost(reason: string): void {
    if (this.#remoteEnded) return;
    this.fail(new PeerLinkLostError(this.#link.peerName, this.#anyBytesWritten, reason));
  }

  /** Ends the stream with this error. */
  fail(error: MeadowstackError): void {
    this.#closeAndNotify(error);
  }

  #canSend(): boolean {
    return this.#state === 'open' && !this.#remoteEnded;
  }

  #pushControl(type: FrameTypeCode, payload: Buffer): void {
    this.#outgoing.pushControl(type, payload);
    this.#link.scheduleStream(this);
  }

  /** False while paused or while buffered items are being delivered, so that the order is kept. */
  #canDeliver(): boolean {
    return !this.#paused && !this.#isDelivering;
  }

  /** Delivers the buffered items until none is left or the reader pauses again. */
  #deliver(): void {
    if (this.#isDelivering || this.#state === 'closed') return;
    this.#isDelivering = true;
    const buffered = this.#incoming;
    let delivered = 0;
    for (const item of buffered) {
      if (this.#paused || this.#state !== 'open') break;
      delivered += 1;
      this.#deliverItem(item);
    }
    this.#isDelivering = false;
    buffered.splice(0, delivered);
    if (buffered.length === 0 && this.#remoteEnded) this.#closeAndNotify(undefined);
    else if (!this.#paused) this.#returnCredit();
  }

  #deliverItem(item: IncomingItem): void {
    if ('data' in item) {
      this.#deliverData(item.data);
      return;
    }
    this.#bufferedMessages -= 1;
    this.onMessage?.(item.message);
  }

  #deliverData(data: Buffer): void {
    this.onData?.(data);
    this.#consumedBytes += data.length;
    if (!this.#paused) this.#returnCredit();
  }

  #returnCredit(): void {
    const bytes = this.#consumedBytes;
    if (this.#state !== 'open' || this.#remoteEnded) return;
    if (bytes < this.#link.limits.windowBytes / 2) return;
    this.#consumedBytes = 0;
    this.#unreturnedBytes -= bytes;
    this.#link.sendCredit(this.number, bytes);
  }

  #notifyDrain(): void {
    if (!this.#wantsDrain || this.#state !== 'open') return;
    if (!this.#outgoing.isEmpty || this.#sendCredit === 0) return;
    this.#wantsDrain = false;
    this.onDrain?.();
  }

  #close(): void {
    this.#state = 'closed';
    this.#outgoing.clear();
    this.#incoming = [];
    this.#link.removeStream(this);
  }

  #closeAndNotify(error: MeadowstackError | undefined): void {
    if (this.#state === 'closed') return;
    this.#close();
    this.#notifyClosed(error);
  }

  /** Closes now, and calls `onClose` after the current code has run. */
  #closeAndNotifyLater(error?: MeadowstackError): void {
    this.#close();
    queueMicrotask(() => this.#notifyClosed(error));
  }

  #notifyClosed(error: MeadowstackError | undefined): void {
    const onClose = this.onClose;
    this.onClose = undefined;
    this.onData = undefined;
    this.onMessage = undefined;
    this.onDrain = undefined;
    onClose?.(error);
  }
}
