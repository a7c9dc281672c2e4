/** Pending calls on one link: those sent by this side, and those received from the other side. */
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import { MeadowstackError } from '../core/errors.js';
import { decodeValue, encodeValue } from './codec.js';
import type { NodeIdentity, PeerHandlers, WireValue } from './contract.js';
import type { MutableCounters } from './counters.js';
import {
  PeerCallFailedError,
  PeerCallTimeoutError,
  PeerLinkLostError,
  PeerMessageRefusedError,
  PeerProtocolError,
} from './errors.js';
import { FrameType, type FrameTypeCode } from './frame.js';
import { parseCall, parseCallError } from './link-messages.js';
import type { PeerLinkLimits } from './options.js';

const MAX_REASON_LENGTH = 200;
const INTERNAL_ERROR_CODE = 'MS-PEER-INTERNAL';
const BUSY_ERROR_CODE = 'MS-PEER-BUSY';

type CallResult = Result<WireValue, MeadowstackError>;

interface PendingCall {
  readonly method: string;
  readonly settle: (result: CallResult) => void;
  readonly timer: NodeJS.Timeout;
  anyBytesWritten: boolean;
}

/** Adds a frame to those that the link sends in this event-loop turn. */
export type AddFrame = (type: FrameTypeCode, stream: number, payload: Buffer) => void;

/** The calls of one link. */
export class LinkCalls {
  readonly #addFrame: AddFrame;
  readonly #handlers: PeerHandlers;
  readonly #limits: PeerLinkLimits;
  readonly #counters: MutableCounters;
  readonly #pending = new Map<number, PendingCall>();
  #unflushed: PendingCall[] = [];
  #inProgress = 0;
  #closed = false;

  constructor(
    addFrame: AddFrame,
    handlers: PeerHandlers,
    limits: PeerLinkLimits,
    counters: MutableCounters,
  ) {
    this.#addFrame = addFrame;
    this.#handlers = handlers;
    this.#limits = limits;
    this.#counters = counters;
  }

  /** Number of pending calls in both directions. */
  get size(): number {
    return this.#pending.size + this.#inProgress;
  }

  /** Calls a method of the other side; `number` must not have been used on this link before. */
  call(
    number: number,
    method: string,
    body: WireValue,
    timeoutMs: number,
  ): ResultAsync<WireValue, MeadowstackError> {
    const settled = new Promise<CallResult>((resolve) => {
      const payload = this.#encode([method, body]);
      if (payload.isErr()) resolve(err(payload.error));
      else this.#send(number, method, payload.value, timeoutMs, resolve);
    });
    return new ResultAsync(settled);
  }

  /** Records that all frames added so far were written to the socket. */
  markFlushed(): void {
    if (this.#unflushed.length === 0) return;
    for (const call of this.#unflushed) call.anyBytesWritten = true;
    this.#unflushed = [];
  }

  /** Handles a response; returns false if no call waits for it. */
  receiveResponse(type: FrameTypeCode, number: number, payload: Buffer): boolean {
    const call = this.#pending.get(number);
    if (call === undefined) return false;
    const result =
      type === FrameType.RESULT ? ok(decodeValue(payload)) : toCallFailure(call, payload);
    this.#settle(number, call, result);
    return true;
  }

  /** Handles a call from the other side. */
  receiveCall(number: number, payload: Buffer, from: NodeIdentity): void {
    const call = parseCall(decodeValue(payload));
    if (call === undefined) throw new PeerProtocolError('malformed call');
    const { method, body } = call;
    if (this.#inProgress >= this.#limits.maxCallsPerLink) {
      this.#respondWithError(number, BUSY_ERROR_CODE, 'too many calls at once');
      return;
    }
    this.#inProgress += 1;
    void this.#handleCall(number, method, body, from);
  }

  /** Ends every pending call with an error, since the link was closed. */
  close(peer: string, reason: string): void {
    this.#closed = true;
    for (const [number, call] of [...this.#pending]) {
      this.#settle(number, call, err(new PeerLinkLostError(peer, call.anyBytesWritten, reason)));
    }
  }

  #send(
    number: number,
    method: string,
    payload: Buffer,
    timeoutMs: number,
    settle: (result: CallResult) => void,
  ): void {
    const timer = setTimeout(() => this.#timeOut(number, timeoutMs), timeoutMs);
    const call: PendingCall = { method, settle, timer, anyBytesWritten: false };
    this.#pending.set(number, call);
    this.#unflushed.push(call);
    this.#counters.callsSent += 1;
    this.#addFrame(FrameType.CALL, number, payload);
  }

  #timeOut(number: number, timeoutMs: number): void {
    const call = this.#pending.get(number);
    if (call === undefined) return;
    this.#settle(
      number,
      call,
      err(new PeerCallTimeoutError(call.method, timeoutMs, call.anyBytesWritten)),
    );
  }

  #settle(number: number, call: PendingCall, result: CallResult): void {
    clearTimeout(call.timer);
    this.#pending.delete(number);
    call.settle(result);
  }

  async #handleCall(
    number: number,
    method: string,
    body: WireValue,
    from: NodeIdentity,
  ): Promise<void> {
    try {
      const value = await this.#handlers.onCall(method, body, from);
      const payload = this.#encode(value);
      if (payload.isErr())
        this.#respondWithError(number, payload.error.code, payload.error.message);
      else this.#respond(FrameType.RESULT, number, payload.value);
    } catch (error) {
      const code = error instanceof MeadowstackError ? error.code : INTERNAL_ERROR_CODE;
      this.#respondWithError(number, code, error instanceof Error ? error.message : '');
    } finally {
      this.#inProgress -= 1;
    }
  }

  #respondWithError(number: number, code: string, reason: string): void {
    const shortened = reason.slice(0, MAX_REASON_LENGTH);
    const payload = encodeValue([code, shortened], this.#limits.maxMessageBytes);
    this.#respond(FrameType.CALL_ERROR, number, payload);
  }

  #respond(type: FrameTypeCode, number: number, payload: Buffer): void {
    if (this.#closed) return;
    this.#counters.callsAnswered += 1;
    this.#addFrame(type, number, payload);
  }

  #encode(value: WireValue): Result<Buffer, PeerMessageRefusedError> {
    try {
      return ok(encodeValue(value, this.#limits.maxMessageBytes));
    } catch (error) {
      if (error instanceof PeerMessageRefusedError) return err(error);
      throw error;
    }
  }
}

function toCallFailure(call: PendingCall, payload: Buffer): CallResult {
  const failed = parseCallError(decodeValue(payload));
  if (failed === undefined) throw new PeerProtocolError('malformed call error');
  return err(new PeerCallFailedError(call.method, failed.code, failed.reason));
}
