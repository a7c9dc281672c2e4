/**
 * Frames of a peer link. A frame is a header and a payload:
 *
 *     length  u32  bytes that follow this field
 *     type    u8   see FrameType
 *     stream  u48  stream or call number; 0 for frames of the link itself
 *     payload      raw bytes (DATA), a number (CREDIT) or one cbor value
 *
 * All integers are big-endian. Stream numbers have 48 bits so that a link never runs out of them.
 */
import { PeerProtocolError } from './errors.js';

/** Content of a frame. */
export const FrameType = {
  /** Identity, version and nonce; the first frame each way. */
  HELLO: 1,
  /** The dialler's response to the acceptor's challenge. */
  PROOF: 2,
  PING: 3,
  PONG: 4,
  /** Opens a stream; the payload is its header value. */
  OPEN: 5,
  /** Raw bytes of a stream, subject to credit. */
  DATA: 6,
  /** One cbor value of a stream, in order with its data. */
  MESSAGE: 7,
  /** Returns credit; the payload is the number of bytes as u32. */
  CREDIT: 8,
  /** Orderly end of a stream, both directions. */
  END: 9,
  /** Abrupt end of a stream; the payload is the reason. */
  ABORT: 10,
  /** A call: `[method, body]`. */
  CALL: 11,
  /** Response to a call. */
  RESULT: 12,
  /** Error response to a call: `[code, reason]`. */
  CALL_ERROR: 13,
  /** The accepting side is stopping: it accepts no stream beyond the number in the header. */
  GOAWAY: 14,
} as const;

/** The type byte of a frame. */
export type FrameTypeCode = (typeof FrameType)[keyof typeof FrameType];

/** Length of a frame header. */
export const HEADER_BYTES = 11;
const LENGTH_FIELD_BYTES = 4;
const TYPE_OFFSET = 4;
const STREAM_HIGH_OFFSET = 5;
const STREAM_LOW_OFFSET = 7;
const TWO_POW_32 = 0x1_0000_0000;

/** Maximum payload of a DATA frame: how much one stream may send before the other streams' turns. */
export const MAX_DATA_PAYLOAD_BYTES = 32 * 1024;
/** Maximum payload of handshake frames, which come from a peer that is not authenticated yet. */
export const MAX_HANDSHAKE_PAYLOAD_BYTES = 1024;
const CREDIT_PAYLOAD_BYTES = 4;

const KNOWN_TYPES: ReadonlySet<number> = new Set(Object.values(FrameType));

/** Writes a frame header at `offset` of `target`. */
export function writeHeader(
  target: Buffer,
  offset: number,
  type: FrameTypeCode,
  stream: number,
  payloadBytes: number,
): void {
  target.writeUInt32BE(HEADER_BYTES - LENGTH_FIELD_BYTES + payloadBytes, offset);
  target[offset + TYPE_OFFSET] = type;
  target.writeUInt16BE(Math.floor(stream / TWO_POW_32), offset + STREAM_HIGH_OFFSET);
  target.writeUInt32BE(stream % TWO_POW_32, offset + STREAM_LOW_OFFSET);
}

/** Encodes one whole frame: for handshake frames, which bypass the batch, and for tests. */
export function encodeFrame(type: FrameTypeCode, stream: number, payload: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  writeHeader(frame, 0, type, stream, payload.length);
  payload.copy(frame, HEADER_BYTES);
  return frame;
}

/** Called with each whole frame. The payload may share memory with the chunk that it arrived in. */
export type FrameHandler = (type: FrameTypeCode, stream: number, payload: Buffer) => void;

/**
 * Splits a byte stream, received in chunks of any size, into frames. A frame that lies whole in a
 * chunk is passed on without copying; a frame that spans chunks is copied once.
 */
export class FrameDecoder {
  readonly #onFrame: FrameHandler;
  #maxPayloadBytes: number;
  readonly #header = Buffer.alloc(HEADER_BYTES);
  /** The frame being assembled from several chunks; undefined between frames. */
  #partial: Buffer | undefined;
  #filledBytes = 0;

  constructor(onFrame: FrameHandler, maxPayloadBytes: number) {
    this.#onFrame = onFrame;
    this.#maxPayloadBytes = maxPayloadBytes;
  }

  /** Sets the limit that applies after the handshake. Takes effect with the next frame. */
  setMaxPayloadBytes(maxPayloadBytes: number): void {
    this.#maxPayloadBytes = maxPayloadBytes;
  }

  /** True if the bytes received so far end inside a frame: a connection that ends here was truncated. */
  get isInsideFrame(): boolean {
    return this.#partial !== undefined;
  }

  /** Processes the next bytes. Throws PeerProtocolError if they can't be frames. */
  push(chunk: Buffer): void {
    let offset = 0;
    while (this.#partial !== undefined && offset < chunk.length) {
      offset = this.#fillPartial(this.#partial, chunk, offset);
    }
    while (chunk.length - offset >= HEADER_BYTES) {
      const frameBytes = this.#frameBytesAt(chunk, offset);
      if (chunk.length - offset < frameBytes) break;
      this.#emit(chunk.subarray(offset, offset + frameBytes));
      offset += frameBytes;
    }
    if (offset < chunk.length) this.#startPartialFrame(chunk, offset);
  }

  /** Stores the first bytes of an incomplete frame. */
  #startPartialFrame(chunk: Buffer, offset: number): void {
    this.#partial = this.#header;
    this.#filledBytes = 0;
    let position = offset;
    while (position < chunk.length) position = this.#fillPartial(this.#partial, chunk, position);
  }

  /** Copies the missing bytes, and handles the header or the frame once it is complete. */
  #fillPartial(partial: Buffer, chunk: Buffer, offset: number): number {
    const copied = chunk.copy(partial, this.#filledBytes, offset);
    this.#filledBytes += copied;
    if (this.#filledBytes === partial.length) this.#handleFilled(partial);
    return offset + copied;
  }

  #handleFilled(partial: Buffer): void {
    if (partial !== this.#header) {
      this.#finishFrame(partial);
      return;
    }
    const frameBytes = this.#frameBytesAt(partial, 0);
    if (frameBytes === HEADER_BYTES) {
      this.#finishFrame(Buffer.from(partial));
      return;
    }
    this.#partial = Buffer.allocUnsafe(frameBytes);
    partial.copy(this.#partial);
  }

  #finishFrame(frame: Buffer): void {
    this.#partial = undefined;
    this.#filledBytes = 0;
    this.#emit(frame);
  }

  #emit(frame: Buffer): void {
    const type = (frame[TYPE_OFFSET] ?? 0) as FrameTypeCode;
    const high = frame.readUInt16BE(STREAM_HIGH_OFFSET);
    const stream = high * TWO_POW_32 + frame.readUInt32BE(STREAM_LOW_OFFSET);
    this.#onFrame(type, stream, frame.subarray(HEADER_BYTES));
  }

  /** Checks the header at `offset` and returns the size of its whole frame. */
  #frameBytesAt(source: Buffer, offset: number): number {
    const payloadBytes = source.readUInt32BE(offset) - (HEADER_BYTES - LENGTH_FIELD_BYTES);
    const type = source[offset + TYPE_OFFSET] ?? 0;
    if (payloadBytes < 0) throw new PeerProtocolError('frame shorter than its header');
    if (!KNOWN_TYPES.has(type)) throw new PeerProtocolError(`unknown frame type ${type}`);
    if (payloadBytes > this.#maxPayloadOf(type)) {
      throw new PeerProtocolError(`frame of type ${type} too large: ${payloadBytes} bytes`);
    }
    return HEADER_BYTES + payloadBytes;
  }

  #maxPayloadOf(type: number): number {
    if (type === FrameType.DATA) return Math.min(MAX_DATA_PAYLOAD_BYTES, this.#maxPayloadBytes);
    if (type === FrameType.CREDIT) return CREDIT_PAYLOAD_BYTES;
    return this.#maxPayloadBytes;
  }
}
