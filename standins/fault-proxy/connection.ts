/** One connection through the fault proxy: two sockets and a byte stream in each direction. */
import { Socket } from 'node:net';
import type { RandomSource } from '../common/random.js';
import { type ByteCounter, ByteStream } from './byte-stream.js';
import type { DelayTimerFactory } from './scheduler.js';
import type { Direction, DirectionFaults } from './settings.js';

export type Side = 'client' | 'target';

/** Data and functions that a connection uses from its route. */
export interface ConnectionContext {
  readonly targetHost: string;
  readonly targetPort: number;
  faults(direction: Direction): DirectionFaults;
  random(): RandomSource;
  readonly newTimer: DelayTimerFactory;
  readonly counters: Readonly<Record<Direction, ByteCounter>>;
  onDialFailed(): void;
  onClosed(connection: ProxiedConnection): void;
}

export class ProxiedConnection {
  readonly #target = new Socket({ allowHalfOpen: true });
  readonly #up: ByteStream;
  readonly #down: ByteStream;
  #isDialed = false;
  #isHalfOpen = false;
  #openSockets = 2;

  constructor(
    private readonly client: Socket,
    private readonly context: ConnectionContext,
  ) {
    const random = (): RandomSource => context.random();
    const stream = (source: Socket, destination: Socket, direction: Direction): ByteStream => {
      const faults = (): DirectionFaults => context.faults(direction);
      const counter = context.counters[direction];
      return new ByteStream(source, destination, faults, random, counter, context.newTimer());
    };
    this.#up = stream(client, this.#target, 'up');
    this.#down = stream(this.#target, client, 'down');
    for (const socket of [client, this.#target]) this.#watchSocket(socket);
    this.handleFaultsChanged();
  }

  #watchSocket(socket: Socket): void {
    socket.setNoDelay(true);
    // The stream handles a failure at `close`; without a listener for `error` Node would throw it.
    socket.on('error', () => {});
    socket.on('close', () => {
      this.#openSockets -= 1;
      if (this.#openSockets === 0) this.context.onClosed(this);
    });
  }

  /** Applies the current faults. The target is not dialed while either direction is cut. */
  handleFaultsChanged(): void {
    const isCut = this.context.faults('up').cut || this.context.faults('down').cut;
    if (!this.#isDialed && !isCut) this.#dial();
    this.#up.flush();
    this.#down.flush();
  }

  #dial(): void {
    this.#isDialed = true;
    const handleDialFailure = (): void => this.context.onDialFailed();
    this.#target.once('error', handleDialFailure);
    this.#target.once('connect', () => this.#target.off('error', handleDialFailure));
    this.#target.connect({ host: this.context.targetHost, port: this.context.targetPort });
  }

  /** Closes one side without notifying the other, whose data is no longer read. */
  makeHalfOpen(closedSide: Side): void {
    if (this.#isHalfOpen) return;
    this.#isHalfOpen = true;
    this.#up.abandon();
    this.#down.abandon();
    const closed = closedSide === 'client' ? this.client : this.#target;
    closed.destroy();
  }

  /** Ends a half-open fault: resets the side that is still open. */
  heal(): void {
    if (this.#isHalfOpen) this.reset();
  }

  /** Resets both sides. */
  reset(): void {
    for (const socket of [this.client, this.#target]) {
      if (socket.connecting) socket.destroy();
      else socket.resetAndDestroy();
    }
  }
}
