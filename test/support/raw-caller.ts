/** A caller that sends raw lines and keeps its connection open until the test closes it. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';

export class RawCaller {
  /** All text received so far. */
  received = '';
  readonly closed: Promise<void>;
  /** Resolves once the other side has ended its stream. */
  readonly ended: Promise<void>;
  #onData: () => void = () => {};

  private constructor(readonly socket: Socket) {
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      this.received += chunk.toString('latin1');
      this.#onData();
    });
    this.ended = new Promise((resolve) => socket.once('end', () => resolve()));
    this.closed = new Promise((resolve) => socket.once('close', () => resolve()));
  }

  static async connect(host: string, port: number): Promise<RawCaller> {
    // Its own side stays open after the other side's end of stream, so that it can still send.
    const socket = connect({ port, host, allowHalfOpen: true });
    await once(socket, 'connect');
    return new RawCaller(socket);
  }

  send(line: string): void {
    this.socket.write(`${line}\r\n`);
  }

  /** Resolves once the received text matches; rejects if the connection ends first. */
  async waitForText(pattern: RegExp): Promise<void> {
    const matched = new Promise<true>((resolve) => {
      this.#onData = () => {
        if (pattern.test(this.received)) resolve(true);
      };
      this.#onData();
    });
    const hasMatched = await Promise.race([matched, this.ended, this.closed]);
    if (hasMatched !== true) throw new Error(`closed after ${JSON.stringify(this.received)}`);
  }

  destroy(): void {
    this.socket.destroy();
  }
}
