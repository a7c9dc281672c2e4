/**
 * One stream of a link: order, credit both ways, and exactly one close. The link does the I/O.
 *
 * Credit: each side may have `windowBytes` of data under way or unread. The reader returns credit
 * in halves of the window as its `onData` takes the data, and none while paused.
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

/** What a stream needs of its link. */
export interface StreamLink {
  /** Number of the link within this process. */
  readonly linkNumber: number;
  /** Address or node id of the other side, for messages. */
  readonly peerName: string;
  readonly limits: PeerLinkLimits;
  /** The stream has something to send; the link calls `takeTurn` in this event-loop turn. */
  scheduleStream(stream: LinkStream): void;
  sendCredit(stream: number, bytes: number): void;
  sendAbort(stream: number, reason: string): void;
  /** The stream is over: frames that still arrive for it are dropped. */
  forgetStream(stream: LinkStream): void;
}

type StreamState = 'open' | 'ending' | 'closed';
type IncomingItem = { readonly data: Buffer } | { readonly message: WireValue };

const EMPTY = Buffer.alloc(0);
/** Messages that a paused stream holds; one more aborts it, since messages are not subject to credit. */
const MAX_HELD_MESSAGES = 1024;

/** One stream of a link. */
export class LinkStream implements PeerStream {
  readonly id: string;
  readonly number: number;
  readonly #link: StreamLink;
  #state: StreamState = 'open';
  #anyBytesWritten = false;
  #knownToPeer: boolean;

  readonly #outgoing = new OutgoingQueue();
  #sendCredit: number;
  #wantsDrain = false;

  #paused = false;
  #delivering = false;
  #incoming: IncomingItem[] = [];
  #heldMessages = 0;
  /** Bytes received for which no credit was returned yet. */
  #unreturnedBytes = 0;
  /** Of these, the bytes that `onData` has taken. */
  #consumedBytes = 0;
  #remoteEnded = false;

  onData: ((data: Buffer) => void) | undefined;
  onMessage: ((message: WireValue) => void) | undefined;
  onDrain: (() => void) | undefined;
  onClose: ((error: MeadowstackError | undefined) => void) | undefined;

  /** `knownToPeer`: the other side opened it, so it must be told of an abort. */
  constructor(link: StreamLink, number: number, knownToPeer: boolean) {
    this.#link = link;
    this.#knownToPeer = knownToPeer;
    this.number = number;
    this.id = `${link.linkNumber}.${number}`;
    this.#sendCredit = link.limits.windowBytes;
  }

  /** True if any byte of this stream was handed to the socket. */
  get anyBytesWritten(): boolean {
    return this.#anyBytesWritten;
  }

  /** The first frame of a stream that this side opens. */
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
    if (this.#remoteEnded) this.#closeLater();
    else this.#pushControl(FrameType.END, EMPTY);
  }

  abort(reason: string): void {
    if (this.#state === 'closed') return;
    if (this.#knownToPeer && !this.#remoteEnded) this.#link.sendAbort(this.number, reason);
    this.#closeLater(new PeerStreamAbortedError(reason, 'local', this.#anyBytesWritten));
  }

  /** Writes what fairness and credit allow; true if the stream wants another turn at once. */
  takeTurn(batch: FrameBatch): boolean {
    if (this.#state === 'closed') return false;
    this.#anyBytesWritten = true;
    this.#knownToPeer = true;
    const turn = this.#outgoing.takeTurn(batch, this.number, this.#sendCredit);
    this.#sendCredit -= turn.dataBytes;
    if (turn.ended) {
      this.#closeAndTell(undefined);
      return false;
    }
    this.#tellDrain();
    if (this.#outgoing.isEmpty) return false;
    return this.#sendCredit > 0 || !this.#outgoing.beginsWithData;
  }

  /** The other side returned credit. */
  receiveCredit(bytes: number): void {
    this.#sendCredit += bytes;
    if (this.#sendCredit > this.#link.limits.windowBytes) {
      throw new PeerProtocolError('credit beyond the window');
    }
    if (!this.#outgoing.isEmpty) this.#link.scheduleStream(this);
    else this.#tellDrain();
  }

  /** False if the data is not wanted any more and was dropped. */
  receiveData(data: Buffer): boolean {
    this.#unreturnedBytes += data.length;
    if (this.#unreturnedBytes > this.#link.limits.windowBytes) {
      throw new PeerProtocolError('data beyond the credit');
    }
    if (this.#state !== 'open') return false;
    if (this.#canDeliver() && this.onData !== undefined) {
      this.#deliverData(data);
    } else {
      // A small frame must not keep the whole chunk alive that it arrived in.
      this.#incoming.push({ data: Buffer.from(data) });
    }
    return true;
  }

  /** False if the message is not wanted any more and was dropped. */
  receiveMessage(message: WireValue): boolean {
    if (this.#state !== 'open') return false;
    if (this.#canDeliver()) {
      this.onMessage?.(message);
      return true;
    }
    this.#heldMessages += 1;
    this.#incoming.push({ message });
    if (this.#heldMessages > MAX_HELD_MESSAGES) this.abort('too many messages unread');
    return true;
  }

  /** Orderly end by the other side; what is held is delivered first. */
  receiveEnd(): void {
    this.#remoteEnded = true;
    this.#outgoing.clear();
    this.#link.forgetStream(this);
    if (this.#state === 'ending') this.#closeAndTell(undefined);
    else this.#deliver();
  }

  receiveAbort(reason: string): void {
    this.#closeAndTell(new PeerStreamAbortedError(reason, 'remote', this.#anyBytesWritten));
  }

  /** The link is gone. A stream that the other side had ended before is not affected. */
  linkLost(reason: string): void {
    if (this.#remoteEnded) return;
    this.fail(new PeerLinkLostError(this.#link.peerName, this.#anyBytesWritten, reason));
  }

  /** Ends the stream with this error. */
  fail(error: MeadowstackError): void {
    this.#closeAndTell(error);
  }

  #canSend(): boolean {
    return this.#state === 'open' && !this.#remoteEnded;
  }

  #pushControl(type: FrameTypeCode, payload: Buffer): void {
    this.#outgoing.pushControl(type, payload);
    this.#link.scheduleStream(this);
  }

  /** False while paused or while held items are being delivered, so that the order is kept. */
  #canDeliver(): boolean {
    return !this.#paused && !this.#delivering;
  }

  /** Delivers what is held, until it is used up or the reader pauses again. */
  #deliver(): void {
    if (this.#delivering || this.#state === 'closed') return;
    this.#delivering = true;
    const held = this.#incoming;
    let delivered = 0;
    for (const item of held) {
      if (this.#paused || this.#state !== 'open') break;
      delivered += 1;
      this.#deliverItem(item);
    }
    this.#delivering = false;
    held.splice(0, delivered);
    if (held.length === 0 && this.#remoteEnded) this.#closeAndTell(undefined);
    else if (!this.#paused) this.#returnCredit();
  }

  #deliverItem(item: IncomingItem): void {
    if ('data' in item) {
      this.#deliverData(item.data);
      return;
    }
    this.#heldMessages -= 1;
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

  #tellDrain(): void {
    if (!this.#wantsDrain || this.#state !== 'open') return;
    if (!this.#outgoing.isEmpty || this.#sendCredit === 0) return;
    this.#wantsDrain = false;
    this.onDrain?.();
  }

  #close(): void {
    this.#state = 'closed';
    this.#outgoing.clear();
    this.#incoming = [];
    this.#link.forgetStream(this);
  }

  #closeAndTell(error: MeadowstackError | undefined): void {
    if (this.#state === 'closed') return;
    this.#close();
    this.#tellClosed(error);
  }

  /** Closes now and tells after the caller's own code has run. */
  #closeLater(error?: MeadowstackError): void {
    this.#close();
    queueMicrotask(() => this.#tellClosed(error));
  }

  #tellClosed(error: MeadowstackError | undefined): void {
    const onClose = this.onClose;
    this.onClose = undefined;
    this.onData = undefined;
    this.onMessage = undefined;
    this.onDrain = undefined;
    onClose?.(error);
  }
}
