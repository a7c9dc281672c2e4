/** Answers on their way to a client: gathered to larger writes, held back while it does not read. */
import type { Duplex } from 'node:stream';

/** Rows are written out from here on, and the writer waits if the socket takes no more. */
export const OUTPUT_CHUNK_BYTES = 16 * 1024;

export class Output {
  private chunks: Buffer[] = [];
  private size = 0;

  constructor(private readonly stream: Duplex) {}

  get isLarge(): boolean {
    return this.size >= OUTPUT_CHUNK_BYTES;
  }

  /** Bytes that the client has not taken yet, as far as this process holds them. */
  get bufferedBytes(): number {
    return this.size + this.stream.writableLength;
  }

  add(message: Buffer): void {
    this.chunks.push(message);
    this.size += message.length;
  }

  /** Writes what was gathered; undefined if the reader keeps up, else resolves when it does. */
  flush(): Promise<void> | undefined {
    const [first] = this.chunks;
    if (first === undefined || this.stream.destroyed) return undefined;
    const data = this.chunks.length === 1 ? first : Buffer.concat(this.chunks, this.size);
    this.chunks = [];
    this.size = 0;
    return this.stream.write(data) ? undefined : this.drained();
  }

  /** Drops what was not written yet. */
  discard(): void {
    this.chunks = [];
    this.size = 0;
  }

  private drained(): Promise<void> {
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
