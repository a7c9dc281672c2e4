/**
 * Framing of the PostgreSQL v3 wire after start-up: a type byte, an int32 length that counts
 * itself, and the payload. Used on both sides. Source: PostgreSQL manual, "Message Formats".
 */
import { err, ok, type Result } from 'neverthrow';
import { MessageTooLargeError, ProtocolViolationError } from './errors.js';

/** Type byte and length field. */
export const FRAME_HEADER_BYTES = 5;
/** Length of the length field, which the length counts in. */
export const LENGTH_FIELD_BYTES = 4;
/** Default bound of one message. */
export const DEFAULT_MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024;
/** First allocation for a message that spans chunks; it doubles as bytes really arrive. */
const FIRST_PARTIAL_CAPACITY_BYTES = 4 * 1024;

/**
 * Hears of one whole message: `buffer[start]` is its type byte, `end` is one past its last byte.
 * The bytes stay valid after the call; they share memory with the chunk that was pushed.
 */
export type FrameVisitor = (type: number, buffer: Buffer, start: number, end: number) => void;

export type FrameError = ProtocolViolationError | MessageTooLargeError;

/**
 * Cuts a byte stream into messages. A message that lies whole in one chunk is visited in place;
 * one that spans chunks is gathered into a buffer that never exceeds twice the bytes received.
 */
export class FrameReader {
  /** Longest message taken, header included, in bytes. May change between messages. */
  maximumMessageBytes: number;
  private partial: Buffer | undefined;
  private partialLength = 0;
  private stopped = false;

  constructor(
    private readonly visit: FrameVisitor,
    maximumMessageBytes: number = DEFAULT_MAXIMUM_MESSAGE_BYTES,
  ) {
    this.maximumMessageBytes = maximumMessageBytes;
  }

  /** Bytes of a message that has begun and not ended. */
  get pendingBytes(): number {
    return this.partialLength;
  }

  /** Visits no further message: also those of the chunk in work are left out. */
  stop(): void {
    this.stopped = true;
    this.partial = undefined;
    this.partialLength = 0;
  }

  /**
   * Takes the next bytes of the stream; gives how many were used, which is all of them unless
   * `stop` was called meanwhile. After an error the stream can't be read on.
   */
  push(chunk: Buffer): Result<number, FrameError> {
    let offset = 0;
    while (offset < chunk.length && !this.stopped) {
      const next =
        this.partialLength > 0
          ? this.continuePartial(chunk, offset)
          : this.visitInPlace(chunk, offset);
      if (next.isErr()) return err(next.error);
      offset = next.value;
    }
    return ok(offset);
  }

  /** Visits whole messages from `offset` and keeps what is left; gives the offset up to which it was used. */
  private visitInPlace(chunk: Buffer, start: number): Result<number, FrameError> {
    let offset = start;
    while (chunk.length - offset >= FRAME_HEADER_BYTES && !this.stopped) {
      const frameBytes = frameLength(chunk, offset);
      const fault = this.faultOf(frameBytes);
      if (fault !== undefined) return err(fault);
      const end = offset + frameBytes;
      if (end > chunk.length) break;
      this.visit(chunk[offset] ?? 0, chunk, offset, end);
      offset = end;
    }
    if (offset === chunk.length || this.stopped) return ok(offset);
    this.append(chunk, offset, chunk.length);
    return ok(chunk.length);
  }

  /** Adds to the message that spans chunks; gives the offset up to which the chunk was used. */
  private continuePartial(chunk: Buffer, start: number): Result<number, FrameError> {
    let offset = start;
    if (this.partialLength < FRAME_HEADER_BYTES) {
      const headerEnd = Math.min(chunk.length, offset + FRAME_HEADER_BYTES - this.partialLength);
      this.append(chunk, offset, headerEnd);
      offset = headerEnd;
    }
    const partial = this.partial;
    if (partial === undefined || this.partialLength < FRAME_HEADER_BYTES) return ok(offset);
    const frameBytes = frameLength(partial, 0);
    const fault = this.faultOf(frameBytes);
    if (fault !== undefined) return err(fault);
    const bodyEnd = Math.min(chunk.length, offset + frameBytes - this.partialLength);
    this.append(chunk, offset, bodyEnd);
    if (this.partialLength === frameBytes) this.visitPartial();
    return ok(bodyEnd);
  }

  private visitPartial(): void {
    const whole = this.partial;
    const length = this.partialLength;
    this.partial = undefined;
    this.partialLength = 0;
    if (whole !== undefined) this.visit(whole[0] ?? 0, whole, 0, length);
  }

  private append(chunk: Buffer, start: number, end: number): void {
    const needed = this.partialLength + end - start;
    let target = this.partial;
    if (target === undefined || target.length < needed) {
      target = Buffer.allocUnsafeSlow(Math.max(FIRST_PARTIAL_CAPACITY_BYTES, needed * 2));
      this.partial?.copy(target, 0, 0, this.partialLength);
      this.partial = target;
    }
    chunk.copy(target, this.partialLength, start, end);
    this.partialLength = needed;
  }

  private faultOf(frameBytes: number): FrameError | undefined {
    if (frameBytes < FRAME_HEADER_BYTES) {
      return new ProtocolViolationError('a message declares a length below its own length field');
    }
    if (frameBytes > this.maximumMessageBytes) {
      return new MessageTooLargeError(frameBytes, this.maximumMessageBytes);
    }
    return undefined;
  }
}

/** Length of the message at `offset`, type byte included. Needs the header's five bytes. */
export function frameLength(buffer: Buffer, offset: number): number {
  return 1 + buffer.readInt32BE(offset + 1);
}
