/** A caller that sends what it is told to, hears all, and stays until it is closed. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';

export class RawCaller {
  /** All that was heard. */
  text = '';
  readonly closed: Promise<void>;
  /** Resolves once the other side says no more. */
  readonly ended: Promise<void>;
  #onText: () => void = () => {};

  private constructor(readonly socket: Socket) {
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      this.text += chunk.toString('latin1');
      this.#onText();
    });
    this.ended = new Promise((resolve) => socket.once('end', () => resolve()));
    this.closed = new Promise((resolve) => socket.once('close', () => resolve()));
  }

  static async connect(host: string, port: number): Promise<RawCaller> {
    // Its own side stays open when the other one ends, so that it can still ask.
    const socket = connect({ port, host, allowHalfOpen: true });
    await once(socket, 'connect');
    return new RawCaller(socket);
  }

  send(line: string): void {
    this.socket.write(`${line}\r\n`);
  }

  /** Resolves once all that was heard matches; rejects if the connection ends first. */
  async hears(pattern: RegExp): Promise<void> {
    const heard = new Promise<true>((resolve) => {
      this.#onText = () => {
        if (pattern.test(this.text)) resolve(true);
      };
      this.#onText();
    });
    const isHeard = await Promise.race([heard, this.ended, this.closed]);
    if (isHeard !== true) throw new Error(`closed after ${JSON.stringify(this.text)}`);
  }

  destroy(): void {
    this.socket.destroy();
  }
}
