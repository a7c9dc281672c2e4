/** A socket to a back end that splits the received bytes into messages and passes them to one listener. */
import type { Socket } from 'node:net';
import { type FrameError, FrameReader, type FrameVisitor } from '../frames.js';

export interface ChannelListener {
  readonly visit: FrameVisitor;
  handleChunkEnd(): void;
  /** Framing is broken; nothing further can be read. */
  handleMalformed(error: FrameError): void;
  /** The socket ended or failed; called once. */
  handleClose(cause: Error | undefined): void;
}

const IGNORE: ChannelListener = {
  visit: () => undefined,
  handleChunkEnd: () => undefined,
  handleMalformed: () => undefined,
  handleClose: () => undefined,
};

/** Handles all events of the socket. */
export class BackendChannel {
  private listener: ChannelListener = IGNORE;
  private lastError: Error | undefined;
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
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('error', (error) => {
      this.lastError = error;
    });
    socket.once('end', () => this.handleEnd());
    socket.once('close', () => this.handleEnd());
  }

  get closed(): boolean {
    return this.isClosed;
  }

  /** Replaces the listener for all further events. */
  setListener(listener: ChannelListener): void {
    this.listener = listener;
  }

  /** Closes the connection at once; the listener isn't called any more. */
  destroy(): void {
    this.listener = IGNORE;
    this.isClosed = true;
    this.reader.stop();
    this.socket.destroy();
  }

  /** Sends a last message and closes; the listener isn't called any more. */
  closeWith(message: Buffer): void {
    this.listener = IGNORE;
    this.isClosed = true;
    this.reader.stop();
    this.socket.write(message);
    this.socket.destroySoon();
  }

  private receive(chunk: Buffer): void {
    const pushed = this.reader.push(chunk);
    this.listener.handleChunkEnd();
    if (pushed.isErr()) this.listener.handleMalformed(pushed.error);
  }

  private handleEnd(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    const listener = this.listener;
    this.listener = IGNORE;
    this.socket.destroy();
    listener.handleClose(this.lastError);
  }
}
