/**
 * A stream whose two ends are in the same process: used by a gateway if its own node owns the group.
 * Delivery is deferred to a microtask, so that neither end is called re-entrantly.
 */
import { MeadowstackError } from '../core/errors.js';
import type { PeerStream, WireValue } from './contract.js';

/** Undelivered bytes from which on `write` returns false. */
const LOCAL_WINDOW_BYTES = 256 * 1024;

/** One end aborted the local stream. */
export class LocalStreamAbortedError extends MeadowstackError {
  readonly code = 'MS-LOCAL-STREAM-ABORTED';
}

type Delivery =
  | { readonly type: 'data'; readonly data: Buffer }
  | { readonly type: 'message'; readonly message: WireValue }
  | { readonly type: 'close'; readonly error: MeadowstackError | undefined };

class LocalStreamEnd implements PeerStream {
  onData: ((data: Buffer) => void) | undefined;
  onMessage: ((message: WireValue) => void) | undefined;
  onDrain: (() => void) | undefined;
  onClose: ((error: MeadowstackError | undefined) => void) | undefined;
  other: LocalStreamEnd | undefined;
  readonly #inbox: Delivery[] = [];
  #inboxBytes = 0;
  #paused = false;
  #scheduled = false;
  #closed = false;
  #ended = false;

  constructor(readonly id: string) {}

  write(data: Buffer): boolean {
    const other = this.other;
    if (this.#ended || other === undefined) return true;
    other.receive({ type: 'data', data });
    return other.#inboxBytes < LOCAL_WINDOW_BYTES;
  }

  send(message: WireValue): void {
    if (!this.#ended) this.other?.receive({ type: 'message', message });
  }

  pause(): void {
    this.#paused = true;
  }

  resume(): void {
    this.#paused = false;
    this.#schedule();
  }

  end(): void {
    this.#closeBoth(undefined);
  }

  abort(reason: string): void {
    this.#closeBoth(new LocalStreamAbortedError(reason));
  }

  #closeBoth(error: MeadowstackError | undefined): void {
    if (this.#ended) return;
    this.#ended = true;
    this.other?.receive({ type: 'close', error });
    this.receive({ type: 'close', error });
  }

  /** Queues a delivery; called by the other end. */
  receive(delivery: Delivery): void {
    if (this.#closed) return;
    this.#inbox.push(delivery);
    if (delivery.type === 'data') this.#inboxBytes += delivery.data.length;
    this.#schedule();
  }

  #schedule(): void {
    if (this.#scheduled) return;
    this.#scheduled = true;
    queueMicrotask(() => {
      this.#scheduled = false;
      this.#deliver();
    });
  }

  #deliver(): void {
    while (!this.#paused && !this.#closed) {
      const delivery = this.#inbox.shift();
      if (delivery === undefined) return;
      this.#deliverOne(delivery);
    }
  }

  #deliverOne(delivery: Delivery): void {
    switch (delivery.type) {
      case 'data':
        this.#recordConsumed(delivery.data.length);
        this.onData?.(delivery.data);
        return;
      case 'message':
        this.onMessage?.(delivery.message);
        return;
      case 'close':
        this.#closed = true;
        this.#ended = true;
        this.onClose?.(delivery.error);
        return;
    }
  }

  #recordConsumed(bytes: number): void {
    const wasFull = this.#inboxBytes >= LOCAL_WINDOW_BYTES;
    this.#inboxBytes -= bytes;
    if (wasFull && this.#inboxBytes < LOCAL_WINDOW_BYTES) {
      queueMicrotask(() => this.other?.onDrain?.());
    }
  }
}

/** The two ends of a new local stream: the one that opened it and the one that serves it. */
export interface LocalStreamPair {
  readonly opener: PeerStream;
  readonly acceptor: PeerStream;
}

let localStreamsOpened = 0;

/** Creates a stream within this process. */
export function createLocalStreamPair(): LocalStreamPair {
  localStreamsOpened += 1;
  const id = `local-${localStreamsOpened}`;
  const opener = new LocalStreamEnd(id);
  const acceptor = new LocalStreamEnd(id);
  opener.other = acceptor;
  acceptor.other = opener;
  return { opener, acceptor };
}
