/**
 * Framing of the PostgreSQL v3 wire protocol after start-up: a type byte, an int32 length that includes
 * itself, and the payload. Used towards callers and back ends. Source: PostgreSQL manual, "Message Formats".
 */
import { err, ok, type Result } from 'neverthrow';
import { MessageTooLargeError, ProtocolViolationError } from './errors.js';

/** Size of the type byte and the length field. */
export const FRAME_HEADER_BYTES = 5;
/** Size of the length field, which is included in the length. */
export const LENGTH_FIELD_BYTES = 4;
/** Default limit of the size of one message. */
export const DEFAULT_MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024;
/** Initial buffer size for a message that spans chunks; it only grows with the bytes received. */
const INITIAL_PARTIAL_CAPACITY_BYTES = 4 * 1024;

/**
 * Called with each complete message: `buffer[start]` is its type byte, `end` is one past its last byte.
 * The bytes stay valid after the call; they may share memory with the chunk that was pushed.
 */
export type FrameVisitor = (type: number, buffer: Buffer, start: number, end: number) => void;

export type FrameError = ProtocolViolationError | MessageTooLargeError;

/**
 * Splits a byte stream into messages. A message within one chunk is visited in place. One that spans
 * chunks is copied into a buffer of at most twice the bytes received (at least its initial size), whatever
 * length the message declares.
 */
export class FrameReader {
  /** Longest accepted message in bytes, including the header. May be changed between messages. */
  maximumMessageBytes: number;
  private partial: Buffer | undefined;
  private partialLength = 0;
  private isStopped = false;

  constructor(
    private readonly visit: FrameVisitor,
    maximumMessageBytes: number = DEFAULT_MAXIMUM_MESSAGE_BYTES,
  ) {
    this.maximumMessageBytes = maximumMessageBytes;
  }

  /** Number of bytes received of an incomplete message. */
  get pendingBytes(): number {
    return this.partialLength;
  }

  /** Stops visiting messages, including the remaining ones of the current chunk. */
  stop(): void {
    this.isStopped = true;
    this.partial = undefined;
    this.partialLength = 0;
  }

  /**
   * Processes the next bytes of the stream. Returns how many were used, which is all of them unless `stop`
   * was called during the call. After an error the rest of the stream can't be read.
   */
  push(chunk: Buffer): Result<number, FrameError> {
    let offset = 0;
    while (offset < chunk.length && !this.isStopped) {
      const next =
        this.partialLength > 0
          ? this.continuePartial(chunk, offset)
          : this.visitInPlace(chunk, offset);
      if (next.isErr()) return err(next.error);
      offset = next.value;
    }
    return ok(offset);
  }

  /** Visits complete messages from `start` on and buffers the rest; returns the offset after what was used. */
  private visitInPlace(chunk: Buffer, start: number): Result<number, FrameError> {
    let offset = start;
    while (chunk.length - offset >= FRAME_HEADER_BYTES && !this.isStopped) {
      const frameBytes = frameLength(chunk, offset);
      const fault = this.findLengthError(frameBytes);
      if (fault !== undefined) return err(fault);
      const end = offset + frameBytes;
      if (end > chunk.length) break;
      this.visit(chunk[offset] ?? 0, chunk, offset, end);
      offset = end;
    }
    if (offset === chunk.length || this.isStopped) return ok(offset);
    this.append(chunk, offset, chunk.length);
    return ok(chunk.length);
  }

  /** Continues the message that spans chunks; returns the offset after what was used of this chunk. */
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
    const fault = this.findLengthError(frameBytes);
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
      target = Buffer.allocUnsafeSlow(Math.max(INITIAL_PARTIAL_CAPACITY_BYTES, needed * 2));
      this.partial?.copy(target, 0, 0, this.partialLength);
      this.partial = target;
    }
    chunk.copy(target, this.partialLength, start, end);
    this.partialLength = needed;
  }

  private findLengthError(frameBytes: number): FrameError | undefined {
    if (frameBytes < FRAME_HEADER_BYTES) {
      return new ProtocolViolationError('a message declares a length below its own length field');
    }
    if (frameBytes > this.maximumMessageBytes) {
      return new MessageTooLargeError(frameBytes, this.maximumMessageBytes);
    }
    return undefined;
  }
}

/** Length of the message at `offset`, including its type byte. All five header bytes must be there. */
export function frameLength(buffer: Buffer, offset: number): number {
  return 1 + buffer.readInt32BE(offset + 1);
}
