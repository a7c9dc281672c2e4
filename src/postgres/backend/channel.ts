/** A socket to a back end whose bytes are cut into messages, with one listener at a time. */
import type { Socket } from 'node:net';
import { type FrameError, FrameReader, type FrameVisitor } from '../frames.js';

export interface ChannelListener {
  readonly visit: FrameVisitor;
  chunkEnded(): void;
  /** The stream can't be read on. */
  malformed(error: FrameError): void;
  /** The socket ended or failed; called once. */
  closed(cause: Error | undefined): void;
}

const IGNORE: ChannelListener = {
  visit: () => undefined,
  chunkEnded: () => undefined,
  malformed: () => undefined,
  closed: () => undefined,
};

/** Owns the socket's events from its construction on. */
export class BackendChannel {
  private listener: ChannelListener = IGNORE;
  private cause: Error | undefined;
  private isClosed = false;
  private readonly reader: FrameReader;

  constructor(
    readonly socket: Socket,
    maximumMessageBytes: number | undefined,
  ) {
    this.reader = new FrameReader(
      (type, buffer, start, end) => this.listener.visit(type, buffer, start, end),
      maximumMessageBytes,
    );
    socket.on('data', (chunk: Buffer) => this.take(chunk));
    socket.on('error', (error) => {
      this.cause = error;
    });
    socket.once('end', () => this.end());
    socket.once('close', () => this.end());
  }

  get closed(): boolean {
    return this.isClosed;
  }

  /** Hands all further events to another listener. */
  listen(listener: ChannelListener): void {
    this.listener = listener;
  }

  /** Drops the connection at once; the listener hears no more. */
  destroy(): void {
    this.listener = IGNORE;
    this.isClosed = true;
    this.reader.stop();
    this.socket.destroy();
  }

  /** Sends a last message and closes; the listener hears no more. */
  closeWith(message: Buffer): void {
    this.listener = IGNORE;
    this.isClosed = true;
    this.reader.stop();
    this.socket.write(message);
    this.socket.destroySoon();
  }

  private take(chunk: Buffer): void {
    const taken = this.reader.push(chunk);
    this.listener.chunkEnded();
    if (taken.isErr()) this.listener.malformed(taken.error);
  }

  private end(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    const listener = this.listener;
    this.listener = IGNORE;
    this.socket.destroy();
    listener.closed(this.cause);
  }
}
