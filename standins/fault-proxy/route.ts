/** One route of the fault proxy: a listener, its connections, its faults and its counters. */
import { createServer, type Server } from 'node:net';
import { listen, listenAgain } from '../common/process.js';
import { type RandomSource, seededRandom } from '../common/random.js';
import { type ConnectionContext, ProxiedConnection, type Side } from './connection.js';
import type { DelayTimerFactory } from './scheduler.js';
import {
  type Direction,
  type DirectionFaults,
  NO_FAULTS,
  type RouteDefinition,
  type RouteFaultSettings,
} from './settings.js';

const DEFAULT_SEED = 1;
/** Read buffer size of client sockets; larger reads and writes need fewer system calls. */
const SOCKET_BUFFER_BYTES = 256 * 1024;

/** Counters of a route since it was opened. */
export interface RouteCounters {
  readonly connectionsAccepted: number;
  readonly connectionsOpen: number;
  readonly dialsFailed: number;
  readonly bytesUp: number;
  readonly bytesDown: number;
}

/** State of a route, as reported by the control port. */
export interface RouteState {
  readonly name: string;
  readonly listenHost: string;
  readonly listenPort: number;
  readonly targetHost: string;
  readonly targetPort: number;
  readonly refuse: boolean;
  readonly faults: Readonly<Record<Direction, DirectionFaults>>;
  readonly counters: RouteCounters;
}

export class Route {
  readonly #server: Server;
  readonly #connections = new Set<ProxiedConnection>();
  readonly #counters = { up: { bytes: 0 }, down: { bytes: 0 } };
  #faults: Record<Direction, DirectionFaults> = { up: NO_FAULTS, down: NO_FAULTS };
  #random: RandomSource = seededRandom(DEFAULT_SEED);
  #isRefusing = false;
  #port = 0;
  #acceptedCount = 0;
  #failedDialCount = 0;

  constructor(
    private readonly definition: RouteDefinition,
    newTimer: DelayTimerFactory,
  ) {
    const context: ConnectionContext = {
      targetHost: definition.targetHost,
      targetPort: definition.targetPort,
      faults: (direction) => this.#faults[direction],
      random: () => this.#random,
      newTimer,
      counters: this.#counters,
      onDialFailed: () => {
        this.#failedDialCount += 1;
      },
      onClosed: (connection) => this.#connections.delete(connection),
    };
    const options = { allowHalfOpen: true, highWaterMark: SOCKET_BUFFER_BYTES };
    this.#server = createServer(options, (client) => {
      this.#acceptedCount += 1;
      this.#connections.add(new ProxiedConnection(client, context));
    });
  }

  /** Listens and returns the port. */
  async open(): Promise<number> {
    const { listenHost, listenPort } = this.definition;
    this.#port = await listen(this.#server, listenHost, listenPort);
    return this.#port;
  }

  /** Changes some faults of this route; bytes that are no longer held back are sent immediately. */
  async apply(settings: RouteFaultSettings): Promise<void> {
    if (settings.seed !== undefined) this.#random = seededRandom(settings.seed);
    this.#faults = {
      up: mergeFaults(this.#faults.up, settings.up),
      down: mergeFaults(this.#faults.down, settings.down),
    };
    if (settings.refuse !== undefined) await this.#setRefuse(settings.refuse);
    for (const connection of this.#connections) connection.handleFaultsChanged();
  }

  async #setRefuse(refuse: boolean): Promise<void> {
    if (refuse === this.#isRefusing) return;
    this.#isRefusing = refuse;
    if (refuse) this.#server.close();
    else await listenAgain(this.#server, this.definition.listenHost, this.#port);
  }

  /** Removes all faults; held bytes are sent in order. */
  async heal(): Promise<void> {
    for (const connection of this.#connections) connection.heal();
    await this.apply({ up: NO_FAULTS, down: NO_FAULTS, refuse: false });
  }

  /** Resets every open connection; returns their number. */
  resetConnections(): number {
    const connections = [...this.#connections];
    for (const connection of connections) connection.reset();
    return connections.length;
  }

  /** Closes one side of every open connection without notifying the other; returns their number. */
  halfOpenConnections(closedSide: Side): number {
    for (const connection of this.#connections) connection.makeHalfOpen(closedSide);
    return this.#connections.size;
  }

  /** Closes the listener and resets the connections. */
  close(): void {
    if (this.#server.listening) this.#server.close();
    this.resetConnections();
  }

  state(): RouteState {
    const { name, listenHost, targetHost, targetPort } = this.definition;
    return {
      name,
      listenHost,
      listenPort: this.#port,
      targetHost,
      targetPort,
      refuse: this.#isRefusing,
      faults: this.#faults,
      counters: {
        connectionsAccepted: this.#acceptedCount,
        connectionsOpen: this.#connections.size,
        dialsFailed: this.#failedDialCount,
        bytesUp: this.#counters.up.bytes,
        bytesDown: this.#counters.down.bytes,
      },
    };
  }
}

function mergeFaults(faults: DirectionFaults, settings: RouteFaultSettings['up']): DirectionFaults {
  return {
    latencyMs: settings?.latencyMs ?? faults.latencyMs,
    jitterMs: settings?.jitterMs ?? faults.jitterMs,
    bytesPerSecond: settings?.bytesPerSecond ?? faults.bytesPerSecond,
    cut: settings?.cut ?? faults.cut,
  };
}
