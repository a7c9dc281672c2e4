/**
 * One link: a TCP connection, its handshake, and its streams and calls. Only the dialling side opens
 * streams and sends calls; the accepting side responds. A malformed frame closes only the link that
 * it arrived on.
 */
import type { Socket } from 'node:net';
import type { ResultAsync } from 'neverthrow';
import type { MeadowstackError } from '../core/errors.js';
import { decodeValue, encodeValue } from './codec.js';
import type { NodeIdentity, PeerHandlers, WireValue } from './contract.js';
import type { MutableCounters } from './counters.js';
import {
  PeerConnectionError,
  PeerHandshakeError,
  PeerLinkIdleError,
  PeerProtocolError,
  PeerUnreachableError,
} from './errors.js';
import {
  FrameDecoder,
  FrameType,
  type FrameTypeCode,
  MAX_HANDSHAKE_PAYLOAD_BYTES,
} from './frame.js';
import { Handshake, type HandshakeRole, type HandshakeStep } from './handshake.js';
import { LinkCalls } from './link-calls.js';
import { LinkHeartbeat } from './link-heartbeat.js';
import { LinkWriter } from './link-writer.js';
import type { PeerLinkLimits } from './options.js';
import { LinkStream, type StreamLink } from './stream.js';

const EMPTY = Buffer.alloc(0);
const MAX_ABORT_REASON_LENGTH = 200;
const CREDIT_PAYLOAD_BYTES = 4;

/** Dependencies and callbacks of a link. */
export interface PeerLinkParts {
  readonly linkNumber: number;
  readonly role: HandshakeRole;
  readonly socket: Socket;
  readonly peerName: string;
  readonly identity: NodeIdentity;
  readonly secret: Buffer | undefined;
  readonly fleet: readonly string[];
  readonly handlers: PeerHandlers;
  readonly limits: PeerLinkLimits;
  readonly counters: MutableCounters;
  /** The handshake succeeded. */
  onReady(link: PeerLink, remote: NodeIdentity): void;
  /** The other side belongs to another fleet: the link will not become ready. */
  onForeignFleet(remote: NodeIdentity): void;
  /** The other side accepts no new streams; those that it has accepted continue. */
  onGoAway(link: PeerLink): void;
  /** Called once, whether or not the link was ever ready. */
  onClosed(link: PeerLink, error: MeadowstackError): void;
}

type LinkState = 'handshake' | 'ready' | 'closed';

export class PeerLink implements StreamLink {
  readonly linkNumber: number;
  readonly role: HandshakeRole;
  readonly peerName: string;
  readonly limits: PeerLinkLimits;
  readonly #parts: PeerLinkParts;
  readonly #socket: Socket;
  readonly #counters: MutableCounters;
  readonly #handshake: Handshake;
  readonly #decoder: FrameDecoder;
  readonly #writer: LinkWriter;
  readonly #calls: LinkCalls;
  readonly #heartbeat: LinkHeartbeat;
  readonly #streams = new Map<number, LinkStream>();
  readonly #handshakeTimer: NodeJS.Timeout;
  #state: LinkState = 'handshake';
  #remote: NodeIdentity | undefined;
  /** The accepting side is stopping: no more streams are opened. */
  #isGoingAway = false;
  #isForeignFleetReported = false;
  /**
   * Streams and calls have separate, rising numbers, because a call may be sent before a stream that
   * was opened earlier.
   */
  #lastStreamNumber = 0;
  #lastCallNumber = 0;

  constructor(parts: PeerLinkParts) {
    this.#parts = parts;
    this.linkNumber = parts.linkNumber;
    this.role = parts.role;
    this.peerName = parts.peerName;
    this.limits = parts.limits;
    this.#socket = parts.socket;
    this.#counters = parts.counters;
    this.#handshake = new Handshake(parts.role, parts.identity, parts.secret, parts.fleet);
    this.#decoder = new FrameDecoder(
      (type, stream, payload) => this.#onFrame(type, stream, payload),
      MAX_HANDSHAKE_PAYLOAD_BYTES,
    );
    this.#writer = new LinkWriter(parts.socket, parts.counters, parts.limits.socketBufferBytes);
    const addFrame = (type: FrameTypeCode, stream: number, payload: Buffer): void =>
      this.#writer.addFrame(type, stream, payload);
    this.#calls = new LinkCalls(addFrame, parts.handlers, parts.limits, parts.counters);
    this.#heartbeat = new LinkHeartbeat(parts.limits);
    this.#writer.onFlushed = () => this.#calls.markFlushed();
    this.#handshakeTimer = setTimeout(
      () => this.close(new PeerHandshakeError('handshake timed out')),
      parts.limits.handshakeTimeoutMs,
    );
    this.#listenToSocket();
  }

  get isReady(): boolean {
    return this.#state === 'ready';
  }

  get isClosed(): boolean {
    return this.#state === 'closed';
  }

  /** Opens a stream; only on a dialled link. May be called before the handshake is complete. */
  openStream(header: Buffer): LinkStream {
    const stream = new LinkStream(this, this.#nextStreamNumber(), false);
    this.#streams.set(stream.number, stream);
    this.#counters.streamsOpened += 1;
    stream.open(header);
    return stream;
  }

  /** Calls a method of the other side; only on a dialled link. */
  call(
    method: string,
    body: WireValue,
    timeoutMs: number,
  ): ResultAsync<WireValue, MeadowstackError> {
    return this.#calls.call(this.#nextCallNumber(), method, body, timeoutMs);
  }

  /**
   * Starts the graceful shutdown of the accepting side: sends the number of the last stream that it
   * accepted. Streams still in transit are thereby proven not to have been acted on. The other side
   * closes the link.
   */
  sendGoAway(): void {
    this.#isGoingAway = true;
    this.#writer.addFrame(FrameType.GOAWAY, this.#lastStreamNumber, EMPTY);
  }

  /** Closes the link immediately; its streams and calls end with an error. */
  close(error: MeadowstackError): void {
    if (this.#state === 'closed') return;
    const wasReady = this.#state === 'ready';
    this.#state = 'closed';
    clearTimeout(this.#handshakeTimer);
    this.#writer.stop();
    this.#socket.destroy();
    this.#parts.onClosed(this, error);
    this.#calls.close(this.peerName, error.message);
    const streams = [...this.#streams.values()];
    this.#streams.clear();
    for (const stream of streams) {
      if (wasReady) stream.handleLinkLost(error.message);
      else stream.fail(new PeerUnreachableError(this.peerName, error.message, { cause: error }));
    }
  }

  /** A reset discards what a partition holds up: its senders have been told that the link is lost. */
  #closeSilent(): void {
    this.#socket.resetAndDestroy();
    this.close(new PeerProtocolError('no heartbeat'));
  }

  /** To be called every `heartbeatPeriodMs`. */
  onHeartbeat(): void {
    if (this.#state !== 'ready') return;
    const inUse = this.#streams.size + this.#calls.size > 0;
    const action = this.#heartbeat.endInterval(inUse);
    if (!inUse) this.#writer.releaseMemory();
    if (action === 'send-ping') this.#writer.addFrame(FrameType.PING, 0, EMPTY);
    else if (action === 'close-silent') this.#closeSilent();
    else if (action === 'close-idle' && this.role === 'dialler') {
      this.close(new PeerLinkIdleError());
    }
  }

  scheduleStream(stream: LinkStream): void {
    this.#writer.schedule(stream);
  }

  sendCredit(stream: number, bytes: number): void {
    this.#writer.addUint32Frame(FrameType.CREDIT, stream, bytes);
  }

  sendAbort(stream: number, reason: string): void {
    const shortened = reason.slice(0, MAX_ABORT_REASON_LENGTH);
    const payload = encodeValue(shortened, this.limits.maxMessageBytes);
    this.#writer.addFrame(FrameType.ABORT, stream, payload);
  }

  removeStream(stream: LinkStream): void {
    this.#streams.delete(stream.number);
    this.#writer.unschedule(stream);
    this.#closeIfDrained();
  }

  #nextStreamNumber(): number {
    this.#lastStreamNumber += 1;
    return this.#lastStreamNumber;
  }

  #nextCallNumber(): number {
    this.#lastCallNumber += 1;
    return this.#lastCallNumber;
  }

  #listenToSocket(): void {
    const socket = this.#socket;
    socket.setNoDelay(true);
    if (this.role === 'dialler') {
      socket.on('connect', () => this.#writer.writeNow(this.#handshake.start()));
    }
    socket.on('data', (chunk: Buffer) => this.#onChunk(chunk));
    socket.on('error', (cause) => this.close(connectionError(cause.message, cause)));
    socket.on('close', () => this.#onSocketClosed());
  }

  #onSocketClosed(): void {
    if (this.#state === 'closed') return;
    if (this.#decoder.isInsideFrame) this.#counters.framesMalformed += 1;
    this.close(connectionError('connection closed by the other side'));
  }

  #onChunk(chunk: Buffer): void {
    this.#counters.bytesReceived += chunk.length;
    this.#heartbeat.recordReceived();
    try {
      this.#decoder.push(chunk);
    } catch (error) {
      this.#onReceiveError(error);
    }
  }

  /** Only violations by the other side close the link; errors of this program are thrown on. */
  #onReceiveError(error: unknown): void {
    if (error instanceof PeerProtocolError) this.#counters.framesMalformed += 1;
    else if (error instanceof PeerHandshakeError) this.#counters.handshakesRefused += 1;
    else throw error;
    this.close(error);
  }

  #onFrame(type: FrameTypeCode, number: number, payload: Buffer): void {
    if (this.#state === 'ready') this.#onReadyFrame(type, number, payload);
    else if (this.#state === 'handshake') this.#onHandshakeFrame(type, payload);
  }

  #onHandshakeFrame(type: FrameTypeCode, payload: Buffer): void {
    const step = this.#receiveHandshake(type, payload);
    if (step.send !== undefined) this.#writer.writeNow(step.send);
    if (step.identity !== undefined) this.#becomeReady(step.identity);
  }

  #receiveHandshake(type: FrameTypeCode, payload: Buffer): HandshakeStep {
    try {
      return this.#handshake.receive(type, payload);
    } finally {
      const { foreignIdentity } = this.#handshake;
      if (foreignIdentity !== undefined) this.#reportForeignFleet(foreignIdentity);
    }
  }

  #reportForeignFleet(remote: NodeIdentity): void {
    if (this.#isForeignFleetReported) return;
    this.#isForeignFleetReported = true;
    this.#counters.foreignFleets += 1;
    this.#parts.onForeignFleet(remote);
  }

  #becomeReady(remote: NodeIdentity): void {
    this.#state = 'ready';
    this.#remote = remote;
    clearTimeout(this.#handshakeTimer);
    this.#decoder.setMaxPayloadBytes(this.limits.maxMessageBytes);
    this.#parts.onReady(this, remote);
    this.#writer.start();
  }

  #onReadyFrame(type: FrameTypeCode, number: number, payload: Buffer): void {
    switch (type) {
      case FrameType.PING:
        this.#writer.addFrame(FrameType.PONG, 0, EMPTY);
        return;
      case FrameType.PONG:
        return;
      case FrameType.OPEN:
      case FrameType.CALL:
        this.#onOpening(type, number, payload);
        return;
      case FrameType.RESULT:
      case FrameType.CALL_ERROR:
        this.#countDropped(this.#calls.receiveResponse(type, number, payload));
        this.#closeIfDrained();
        return;
      case FrameType.GOAWAY:
        this.#onGoAway(number);
        return;
      case FrameType.HELLO:
      case FrameType.PROOF:
        throw new PeerProtocolError('handshake frame after the handshake');
      default:
        this.#onStreamFrame(type, number, payload);
    }
  }

  /** Numbers must rise: one that was used before is a protocol violation by the other side. */
  #onOpening(type: FrameTypeCode, number: number, payload: Buffer): void {
    const from = this.#remote;
    if (this.role === 'dialler' || from === undefined) {
      throw new PeerProtocolError('only the dialling side opens streams and calls');
    }
    if (type === FrameType.CALL) {
      if (number <= this.#lastCallNumber) throw new PeerProtocolError('call number used twice');
      this.#lastCallNumber = number;
      this.#calls.receiveCall(number, payload, from);
      return;
    }
    if (this.#isGoingAway) {
      this.#counters.framesDropped += 1;
      return;
    }
    if (number <= this.#lastStreamNumber) throw new PeerProtocolError('stream number used twice');
    this.#lastStreamNumber = number;
    this.#acceptStream(number, decodeValue(payload), from);
  }

  /** Streams that the other side has not accepted were not acted on, although bytes were written. */
  #onGoAway(lastAccepted: number): void {
    if (this.role === 'acceptor')
      throw new PeerProtocolError('only the accepting side sends GOAWAY');
    this.#isGoingAway = true;
    this.#parts.onGoAway(this);
    for (const stream of [...this.#streams.values()]) {
      if (stream.number <= lastAccepted) continue;
      stream.fail(new PeerUnreachableError(this.peerName, 'the other side is stopping'));
    }
    this.#closeIfDrained();
  }

  /** On the dialling side: closes a link that got GOAWAY once no stream or call is open on it. */
  #closeIfDrained(): void {
    const isUnused = this.#streams.size + this.#calls.size === 0;
    if (this.#isGoingAway && this.role === 'dialler' && isUnused)
      this.close(new PeerLinkIdleError());
  }

  #acceptStream(number: number, header: WireValue, from: NodeIdentity): void {
    if (this.#streams.size >= this.limits.maxStreamsPerLink) {
      this.sendAbort(number, 'too many streams');
      return;
    }
    const stream = new LinkStream(this, number, true);
    this.#streams.set(number, stream);
    this.#counters.streamsOpened += 1;
    this.#parts.handlers.onStream(header, stream, from);
  }

  #onStreamFrame(type: FrameTypeCode, number: number, payload: Buffer): void {
    const stream = this.#streams.get(number);
    if (stream === undefined) this.#counters.framesDropped += 1;
    else if (type === FrameType.DATA) this.#countDropped(stream.receiveData(payload));
    else if (type === FrameType.MESSAGE) {
      this.#countDropped(stream.receiveMessage(decodeValue(payload)));
    } else if (type === FrameType.CREDIT) stream.receiveCredit(creditOf(payload));
    else if (type === FrameType.END) stream.receiveEnd();
    else stream.receiveAbort(String(decodeValue(payload)));
  }

  #countDropped(delivered: boolean): void {
    if (!delivered) this.#counters.framesDropped += 1;
  }
}

function connectionError(message: string, cause?: Error): PeerConnectionError {
  return new PeerConnectionError(message, cause === undefined ? {} : { cause });
}

function creditOf(payload: Buffer): number {
  if (payload.length !== CREDIT_PAYLOAD_BYTES) throw new PeerProtocolError('malformed credit');
  return payload.readUInt32BE();
}
