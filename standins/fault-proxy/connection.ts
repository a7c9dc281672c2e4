/** One connection through the fault proxy: two sockets and a byte stream each way. */
import { Socket } from 'node:net';
import type { RandomSource } from '../common/random.js';
import { type ByteCounter, ByteStream } from './byte-stream.js';
import type { DelayTimerFactory } from './scheduler.js';
import type { Direction, DirectionFaults } from './settings.js';

export type Side = 'client' | 'target';

/** What a connection needs of its route. */
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
  #dialed = false;
  #halfOpen = false;
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
    for (const socket of [client, this.#target]) this.#watch(socket);
    this.faultsChanged();
  }

  #watch(socket: Socket): void {
    socket.setNoDelay(true);
    // The stream learns of a failure by `close`; node demands a listener for `error` too.
    socket.on('error', () => {});
    socket.on('close', () => {
      this.#openSockets -= 1;
      if (this.#openSockets === 0) this.context.onClosed(this);
    });
  }

  /** Lets bytes flow as the faults now say. A connection is not opened through a cut. */
  faultsChanged(): void {
    const cut = this.context.faults('up').cut || this.context.faults('down').cut;
    if (!this.#dialed && !cut) this.#dial();
    this.#up.flush();
    this.#down.flush();
  }

  #dial(): void {
    this.#dialed = true;
    const failed = (): void => this.context.onDialFailed();
    this.#target.once('error', failed);
    this.#target.once('connect', () => this.#target.off('error', failed));
    this.#target.connect({ host: this.context.targetHost, port: this.context.targetPort });
  }

  /** Closes one side; the other is not told, and what it sends goes nowhere. */
  halfOpen(closedSide: Side): void {
    if (this.#halfOpen) return;
    this.#halfOpen = true;
    this.#up.abandon();
    this.#down.abandon();
    const closed = closedSide === 'client' ? this.client : this.#target;
    closed.destroy();
  }

  /** After a half-open fault, the side that was not told gets its reset now. */
  heal(): void {
    if (this.#halfOpen) this.reset();
  }

  /** Resets both sides at once. */
  reset(): void {
    for (const socket of [this.client, this.#target]) {
      if (socket.connecting) socket.destroy();
      else socket.resetAndDestroy();
    }
  }
}
