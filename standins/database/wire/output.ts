/** Output to a client: messages are collected into larger writes, with backpressure. */
import type { Duplex } from 'node:stream';

/** Collected size from which rows are written, with a wait if the socket's buffer is full. */
export const OUTPUT_CHUNK_BYTES = 16 * 1024;

export class Output {
  private chunks: Buffer[] = [];
  private size = 0;

  constructor(private readonly stream: Duplex) {}

  get isLarge(): boolean {
    return this.size >= OUTPUT_CHUNK_BYTES;
  }

  /** Bytes in this process that the client has not received yet. */
  get bufferedBytes(): number {
    return this.size + this.stream.writableLength;
  }

  add(message: Buffer): void {
    this.chunks.push(message);
    this.size += message.length;
  }

  /** Writes the collected messages; returns a promise for the socket's drain if its buffer is full. */
  flush(): Promise<void> | undefined {
    const [first] = this.chunks;
    if (first === undefined || this.stream.destroyed) return undefined;
    const data = this.chunks.length === 1 ? first : Buffer.concat(this.chunks, this.size);
    this.chunks = [];
    this.size = 0;
    return this.stream.write(data) ? undefined : this.waitForDrain();
  }

  /** Drops the messages that are not written yet. */
  discard(): void {
    this.chunks = [];
    this.size = 0;
  }

  private waitForDrain(): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        this.stream.off('drain', finish);
        this.stream.off('close', finish);
        resolve();
      };
      this.stream.on('drain', finish);
      this.stream.on('close', finish);
    });
  }
}
