/** Accepts callers' connections and creates a session for each. */
import { createServer, type Server, type Socket } from 'node:net';
import type { Milliseconds } from '../core/units.js';
import { CallerSession, type CallerSessionOptions } from './caller-session.js';
import { LineSplitter, WIRE_ENCODING } from './line-splitter.js';
import { afterPendingInput, timeoutAfterInput } from './within.js';

const KEEP_ALIVE_DELAY_MS = 10_000;
/** With more unsent bytes than this, the session of a caller that does not read is paused. */
const MAX_UNSENT_BYTES = 256 * 1024;
/**
 * Time between the stop notice to a caller and the end of its connection. On a saturated link of
 * 10 Mbit/s the notice and the caller's reaction may each be delayed by more than half a second (a
 * request took 0.8 s to arrive).
 */
const LEAVE_TIMEOUT_MS = 1500;
/** Time for the last message to reach a caller before its connection is dropped. */
const CLOSE_TIMEOUT_MS = 500;

export type SessionDependencies = Omit<CallerSessionOptions, 'write' | 'end'>;

interface OpenSession {
  readonly session: CallerSession;
  readonly socket: Socket;
  /** Cancels the timeout that started with the stop notice. */
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

  /** Sessions with at least one unanswered request. */
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

  /** Port that the server listens on; useful if the system chose it. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  stopAccepting(): void {
    if (this.#server.listening) this.#server.close();
  }

  /**
   * From now on each session ends as soon as no request is in progress and no transaction is open, or,
   * with `inTransactions`, even inside a transaction.
   */
  drain(inTransactions: boolean): void {
    this.#drainMode = inTransactions ? 'any' : 'idle';
    afterPendingInput(() => {
      for (const open of [...this.#sessions]) this.#notifyIfEndable(open);
    });
  }

  /** Ends the remaining sessions; callers with unanswered requests get an error for each. */
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
    session.onAllAnswered = () => {
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
   * Sends the stop notice to a session that may end now. Closing the connection immediately would lose
   * a request that is unread or on its way, since even a paused socket reads ahead. So the caller is
   * notified, gets a response to a request that it sends nevertheless, and disconnects by itself.
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

  /** Closes a connection whose caller did not disconnect in time, unless a response is still being sent to it. */
  #closeIfStillOpen(open: OpenSession): void {
    const { socket } = open;
    if (socket.destroyed || !this.#mayEnd(open)) return;
    if (socket.writableLength > 0) this.#startLeaveTimeout(open);
    else closeWithoutReading(socket);
  }
}

/**
 * Closes a socket without reading more from it; a socket that is only ended or paused continues to read.
 * While bytes wait to be sent, this one reads too.
 */
function closeWithoutReading(socket: Socket): void {
  socket.destroySoon();
  setTimeout(() => socket.destroy(), CLOSE_TIMEOUT_MS).unref();
}
