/**
 * Collects the frames of one event-loop turn for a single socket write. Small payloads are copied
 * behind their headers into a slab; large ones are passed on by reference.
 */
import { type FrameTypeCode, HEADER_BYTES, writeHeader } from './frame.js';

/** First slab after an idle period: most links of a large cluster then send only a few frames. */
const INITIAL_SLAB_BYTES = 1024;
/** Slabs double in size up to this while a link stays busy. */
const MAX_SLAB_BYTES = 64 * 1024;
const NO_SLAB = Buffer.alloc(0);
/** Payloads of at least this size are not copied: an extra write vector is cheaper than the copy. */
const NO_COPY_MIN_BYTES = 4 * 1024;

/** Frames collected for the next socket write. */
export class FrameBatch {
  /** Buffer for copied frames. The part that `take` has returned is never written to again. */
  #slab = NO_SLAB;
  #nextSlabBytes = INITIAL_SLAB_BYTES;
  #sliceStart = 0;
  #sliceEnd = 0;
  #parts: Buffer[] = [];
  #bytes = 0;

  /** Bytes collected since the last `take`. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Adds a frame with one payload. */
  add(type: FrameTypeCode, stream: number, payload: Buffer): void {
    this.addHeader(type, stream, payload.length);
    this.addBytes(payload);
  }

  /** Adds a header; the caller adds exactly `payloadBytes` after it. */
  addHeader(type: FrameTypeCode, stream: number, payloadBytes: number): void {
    this.#reserve(HEADER_BYTES);
    writeHeader(this.#slab, this.#sliceEnd, type, stream, payloadBytes);
    this.#sliceEnd += HEADER_BYTES;
    this.#bytes += HEADER_BYTES;
  }

  /** Adds a piece of payload. Large pieces are kept by reference and must not change afterwards. */
  addBytes(piece: Buffer): void {
    this.#bytes += piece.length;
    if (piece.length >= NO_COPY_MIN_BYTES) {
      this.#closeSlice();
      this.#parts.push(piece);
      return;
    }
    this.#reserve(piece.length);
    piece.copy(this.#slab, this.#sliceEnd);
    this.#sliceEnd += piece.length;
  }

  /** Returns all parts in order and empties the batch. */
  take(): Buffer[] {
    this.#closeSlice();
    const parts = this.#parts;
    this.#parts = [];
    this.#bytes = 0;
    return parts;
  }

  /** Drops the slab if nothing is collected, so that an idle link holds no memory. */
  release(): void {
    if (this.#bytes > 0) return;
    this.#slab = NO_SLAB;
    this.#nextSlabBytes = INITIAL_SLAB_BYTES;
    this.#sliceStart = 0;
    this.#sliceEnd = 0;
  }

  /** Bytes of memory allocated for later frames. */
  get heldBytes(): number {
    return this.#slab.length;
  }

  #reserve(bytes: number): void {
    if (this.#slab.length - this.#sliceEnd >= bytes) return;
    this.#closeSlice();
    this.#slab = Buffer.allocUnsafe(Math.max(this.#nextSlabBytes, bytes));
    this.#nextSlabBytes = Math.min(this.#nextSlabBytes * 2, MAX_SLAB_BYTES);
    this.#sliceStart = 0;
    this.#sliceEnd = 0;
  }

  #closeSlice(): void {
    if (this.#sliceEnd === this.#sliceStart) return;
    this.#parts.push(this.#slab.subarray(this.#sliceStart, this.#sliceEnd));
    this.#sliceStart = this.#sliceEnd;
  }
}
