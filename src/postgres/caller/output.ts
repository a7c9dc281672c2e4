/** Collects what one turn of the event loop writes to a caller, and writes it at once. */
import type { Socket } from 'node:net';

/** Up to this size small messages are joined into one buffer: cheaper than many in one writev. */
const JOIN_BYTES = 64 * 1024;

export class CallerOutput {
  /** The socket takes bytes again after `write` gave false. */
  onDrain: (() => void) | undefined;
  private chunks: Buffer[] = [];
  private chunkBytes = 0;
  private flushScheduled = false;
  private refused = false;

  constructor(
    private readonly socket: Socket,
    /** Bytes not taken by the socket yet from which `write` gives false. */
    private readonly highWaterBytes: number,
  ) {
    socket.on('drain', () => this.reportDrain());
  }

  /** Takes the bytes in any case; false: write no more until `onDrain`. */
  write(bytes: Buffer): boolean {
    if (this.socket.destroyed || this.socket.writableEnded) return true;
    this.chunks.push(bytes);
    this.chunkBytes += bytes.length;
    if (!this.flushScheduled) {
      this.flushScheduled = true;
      process.nextTick(flushOutput, this);
    }
    if (this.chunkBytes + this.socket.writableLength < this.highWaterBytes) return true;
    this.refused = true;
    return false;
  }

  /** Hands everything to the socket. */
  flush(): void {
    this.flushScheduled = false;
    const chunks = this.chunks;
    const bytes = this.chunkBytes;
    if (chunks.length === 0) return;
    this.chunks = [];
    this.chunkBytes = 0;
    if (this.socket.destroyed || this.socket.writableEnded) return;
    this.send(chunks, bytes);
    if (!this.socket.writableNeedDrain) this.reportDrain();
  }

  private send(chunks: readonly Buffer[], bytes: number): void {
    const [first] = chunks;
    if (chunks.length === 1 && first !== undefined) {
      this.socket.write(first);
    } else if (bytes <= JOIN_BYTES) {
      this.socket.write(Buffer.concat(chunks, bytes));
    } else {
      this.socket.cork();
      for (const chunk of chunks) this.socket.write(chunk);
      this.socket.uncork();
    }
  }

  private reportDrain(): void {
    if (!this.refused) return;
    this.refused = false;
    this.onDrain?.();
  }
}

function flushOutput(output: CallerOutput): void {
  output.flush();
}
