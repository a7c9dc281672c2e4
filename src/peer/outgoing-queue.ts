/**
 * Ordered queue of what one stream still has to send: data and control frames. Adjacent pieces of
 * data are sent in one frame.
 */
import { FrameType, type FrameTypeCode, MAX_DATA_PAYLOAD_BYTES } from './frame.js';
import type { FrameBatch } from './frame-batch.js';

class ControlFrame {
  constructor(
    readonly type: FrameTypeCode,
    readonly payload: Buffer,
  ) {}
}

type OutgoingItem = Buffer | ControlFrame;

/** Result of one turn of a stream. */
export interface TurnResult {
  /** Bytes of data written. */
  readonly dataBytes: number;
  /** True if the END frame was written. */
  readonly ended: boolean;
}

export class OutgoingQueue {
  #items: OutgoingItem[] = [];
  #head = 0;
  #dataBytes = 0;

  /** Bytes of data queued; control frames are not counted. */
  get dataBytes(): number {
    return this.#dataBytes;
  }

  get isEmpty(): boolean {
    return this.#head === this.#items.length;
  }

  /** True if the next item is data, which needs credit. */
  get beginsWithData(): boolean {
    return this.#items[this.#head] instanceof Buffer;
  }

  pushData(data: Buffer): void {
    this.#items.push(data);
    this.#dataBytes += data.length;
  }

  pushControl(type: FrameTypeCode, payload: Buffer): void {
    this.#items.push(new ControlFrame(type, payload));
  }

  clear(): void {
    this.#items = [];
    this.#head = 0;
    this.#dataBytes = 0;
  }

  /** Writes the control frames at the head and at most one data frame, within the credit. */
  takeTurn(batch: FrameBatch, stream: number, credit: number): TurnResult {
    let ended = this.#takeControls(batch, stream);
    const dataBytes = Math.min(credit, MAX_DATA_PAYLOAD_BYTES, this.#countLeadingDataBytes());
    if (dataBytes > 0) {
      batch.addHeader(FrameType.DATA, stream, dataBytes);
      this.#takeData(batch, dataBytes);
      ended = this.#takeControls(batch, stream) || ended;
    }
    return { dataBytes, ended };
  }

  #takeControls(batch: FrameBatch, stream: number): boolean {
    let ended = false;
    let item = this.#items[this.#head];
    while (item instanceof ControlFrame) {
      batch.add(item.type, stream, item.payload);
      ended = ended || item.type === FrameType.END;
      this.#shift();
      item = this.#items[this.#head];
    }
    return ended;
  }

  #countLeadingDataBytes(): number {
    let bytes = 0;
    for (let index = this.#head; bytes < MAX_DATA_PAYLOAD_BYTES; index += 1) {
      const item = this.#items[index];
      if (!(item instanceof Buffer)) break;
      bytes += item.length;
    }
    return bytes;
  }

  #takeData(batch: FrameBatch, wantedBytes: number): void {
    let missing = wantedBytes;
    this.#dataBytes -= wantedBytes;
    while (missing > 0) {
      const item = this.#items[this.#head] as Buffer;
      if (item.length > missing) {
        batch.addBytes(item.subarray(0, missing));
        this.#items[this.#head] = item.subarray(missing);
        return;
      }
      batch.addBytes(item);
      missing -= item.length;
      this.#shift();
    }
  }

  #shift(): void {
    this.#head += 1;
    if (this.#head < this.#items.length) return;
    this.#items = [];
    this.#head = 0;
  }
}
