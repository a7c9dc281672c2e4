/** Accepts callers and ties each connection to a session. */
import { createServer, type Server, type Socket } from 'node:net';
import type { Milliseconds } from '../core/units.js';
import { CallerSession, type CallerSessionOptions } from './caller-session.js';
import { LineSplitter, WIRE_ENCODING } from './line-splitter.js';
import { afterPendingInput, timeoutAfterInput } from './within.js';

const KEEP_ALIVE_DELAY_MS = 10_000;
/** A caller that does not read holds its own session up once so much waits for it. */
const MAX_UNSENT_BYTES = 256 * 1024;
/**
 * A caller that was told to leave has this long to do so before its connection is ended: the word and what the caller
 * says to it may each wait more than half a second on a full link of 10 Mbit/s (a request took 0.8 s to arrive).
 */
const LEAVE_TIMEOUT_MS = 1500;
/** The last word to a caller has this long to arrive before the connection is dropped. */
const CLOSE_TIMEOUT_MS = 500;

export type SessionDependencies = Omit<CallerSessionOptions, 'write' | 'end'>;

interface OpenSession {
  readonly session: CallerSession;
  readonly socket: Socket;
  /** Ends the time that the caller has to leave. */
  cancelLeaveTimeout?: () => void;
}

export class CallerServer {
  readonly #server: Server;
  readonly #sessions = new Set<OpenSession>();
  #drainMode: 'none' | 'idle' | 'any' = 'none';
  #accepted = 0;

  constructor(
    private readonly dependencies: SessionDependencies,
    private readonly leaveTimeoutMs: Milliseconds = LEAVE_TIMEOUT_MS,
  ) {
    this.#server = createServer({ noDelay: true }, (socket) => this.#accept(socket));
  }

  get sessionCount(): number {
    return this.#sessions.size;
  }

  /** Sessions that are owed an answer. */
  get busyCount(): number {
    return [...this.#sessions].filter(({ session }) => session.busy).length;
  }

  get acceptedCount(): number {
    return this.#accepted;
  }

  listen(address: { readonly host: string; readonly port: number }): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ ...address, backlog: 4096 }, () => {
        this.#server.removeListener('error', reject);
        resolve();
      });
    });
  }

  /** Where it listens; useful if the port was chosen by the system. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Takes no more connections. */
  stopAccepting(): void {
    if (this.#server.listening) this.#server.close();
  }

  /**
   * From now on each session ends between requests: outside any transaction, or with
   * `inTransactions` inside one too.
   */
  drain(inTransactions: boolean): void {
    this.#drainMode = inTransactions ? 'any' : 'idle';
    afterPendingInput(() => {
      for (const open of [...this.#sessions]) this.#notifyIfEndable(open);
    });
  }

  /** Ends whatever is left; callers that are owed answers are told that there are none. */
  close(): void {
    this.stopAccepting();
    for (const { session, socket } of [...this.#sessions]) {
      session.cutOff();
      closeWithoutReading(socket);
    }
  }

  #accept(socket: Socket): void {
    this.#accepted += 1;
    socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
    const splitter = new LineSplitter(this.dependencies.wire.maxMessageBytes);
    const session = new CallerSession({
      ...this.dependencies,
      write: (text) => {
        if (!socket.write(text, WIRE_ENCODING) && socket.writableLength > MAX_UNSENT_BYTES)
          socket.pause();
      },
      end: () => socket.end(),
    });
    if (this.#drainMode !== 'none') session.refuseStart();
    const open: OpenSession = { session, socket };
    this.#sessions.add(open);
    session.onIdle = () => {
      this.#notifyIfEndable(open);
    };
    socket.on('drain', () => {
      if (!socket.writableEnded) socket.resume();
    });
    socket.on('data', (chunk: Buffer) => this.#receive(session, socket, splitter, chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      open.cancelLeaveTimeout?.();
      this.#sessions.delete(open);
      session.close();
    });
  }

  #receive(session: CallerSession, socket: Socket, splitter: LineSplitter, chunk: Buffer): void {
    const { wire } = this.dependencies;
    for (const line of splitter.push(chunk)) {
      if (line === undefined) {
        socket.end(wire.encodeError('too-large', `more than ${wire.maxMessageBytes} bytes`));
        return;
      }
      session.receive(wire.decodeCallerMessage(line));
    }
  }

  /**
   * Ending the connection at once would lose a request that arrived unread or is on its way, since a paused socket
   * still reads: the caller is told, answered if it asks all the same, and leaves by itself.
   */
  #notifyIfEndable(open: OpenSession): void {
    if (!this.#mayEnd(open)) return;
    open.session.notifyStop();
    this.#startLeaveTimeout(open);
  }

  #startLeaveTimeout(open: OpenSession): void {
    open.cancelLeaveTimeout?.();
    open.cancelLeaveTimeout = timeoutAfterInput(this.leaveTimeoutMs, () =>
      this.#closeIfStillOpen(open),
    );
  }

  #mayEnd({ session }: OpenSession): boolean {
    if (this.#drainMode === 'none') return false;
    return this.#drainMode === 'idle' ? session.isIdle : !session.busy;
  }

  /** The caller has heard and not left: it may be out of reach, unless an answer is still on its way to it. */
  #closeIfStillOpen(open: OpenSession): void {
    const { socket } = open;
    if (socket.destroyed || !this.#mayEnd(open)) return;
    if (socket.writableLength > 0) this.#startLeaveTimeout(open);
    else closeWithoutReading(socket);
  }
}

/**
 * Closes a socket to which nothing is left to be sent, reading no more: one that is only ended or paused reads on, and
 * so does this one while something waits to be sent.
 */
function closeWithoutReading(socket: Socket): void {
  socket.destroySoon();
  setTimeout(() => socket.destroy(), CLOSE_TIMEOUT_MS).unref();
}
