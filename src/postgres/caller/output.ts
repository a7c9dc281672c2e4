/** Buffers what is written to a caller in one turn of the event loop, and writes it in one go. */
import type { Socket } from 'node:net';

/** Up to this size chunks are joined into one buffer: cheaper than a writev of many. */
const MAXIMUM_JOINED_BYTES = 64 * 1024;

export class CallerOutput {
  /** Called when the socket accepts bytes again after `write` returned false. */
  onDrain: (() => void) | undefined;
  private chunks: Buffer[] = [];
  private chunkBytes = 0;
  private flushScheduled = false;
  private isDrainPending = false;

  constructor(
    private readonly socket: Socket,
    /** Bytes not yet accepted by the socket from which `write` returns false. */
    private readonly highWaterMarkBytes: number,
  ) {
    socket.on('drain', () => this.reportDrain());
  }

  /** Always accepts the bytes; false: write no more until `onDrain`. */
  write(bytes: Buffer): boolean {
    if (this.socket.destroyed || this.socket.writableEnded) return true;
    this.chunks.push(bytes);
    this.chunkBytes += bytes.length;
    if (!this.flushScheduled) {
      this.flushScheduled = true;
      process.nextTick(flushOutput, this);
    }
    if (this.chunkBytes + this.socket.writableLength < this.highWaterMarkBytes) return true;
    this.isDrainPending = true;
    return false;
  }

  /** Writes all buffered bytes to the socket. */
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
    } else if (bytes <= MAXIMUM_JOINED_BYTES) {
      this.socket.write(Buffer.concat(chunks, bytes));
    } else {
      this.socket.cork();
      for (const chunk of chunks) this.socket.write(chunk);
      this.socket.uncork();
    }
  }

  private reportDrain(): void {
    if (!this.isDrainPending) return;
    this.isDrainPending = false;
    this.onDrain?.();
  }
}

function flushOutput(output: CallerOutput): void {
  output.flush();
}
