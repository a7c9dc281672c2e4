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
/** Read size for the sockets of clients; larger writes mean fewer system calls. */
const SOCKET_BUFFER_BYTES = 256 * 1024;

/** What a route has carried so far. */
export interface RouteCounters {
  readonly connectionsAccepted: number;
  readonly connectionsOpen: number;
  readonly dialsFailed: number;
  readonly bytesUp: number;
  readonly bytesDown: number;
}

/** A route as the control port shows it. */
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
  #refuse = false;
  #port = 0;
  #accepted = 0;
  #dialsFailed = 0;

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
        this.#dialsFailed += 1;
      },
      onClosed: (connection) => this.#connections.delete(connection),
    };
    const options = { allowHalfOpen: true, highWaterMark: SOCKET_BUFFER_BYTES };
    this.#server = createServer(options, (client) => {
      this.#accepted += 1;
      this.#connections.add(new ProxiedConnection(client, context));
    });
  }

  /** Listens and gives the port. */
  async open(): Promise<number> {
    const { listenHost, listenPort } = this.definition;
    this.#port = await listen(this.#server, listenHost, listenPort);
    return this.#port;
  }

  /** Changes some faults of this route; bytes that may flow now do so at once. */
  async apply(settings: RouteFaultSettings): Promise<void> {
    if (settings.seed !== undefined) this.#random = seededRandom(settings.seed);
    this.#faults = {
      up: merge(this.#faults.up, settings.up),
      down: merge(this.#faults.down, settings.down),
    };
    if (settings.refuse !== undefined) await this.#setRefuse(settings.refuse);
    for (const connection of this.#connections) connection.faultsChanged();
  }

  async #setRefuse(refuse: boolean): Promise<void> {
    if (refuse === this.#refuse) return;
    this.#refuse = refuse;
    if (refuse) this.#server.close();
    else await listenAgain(this.#server, this.definition.listenHost, this.#port);
  }

  /** Takes all faults away; held bytes flow on in order. */
  async heal(): Promise<void> {
    for (const connection of this.#connections) connection.heal();
    await this.apply({ up: NO_FAULTS, down: NO_FAULTS, refuse: false });
  }

  /** Resets every open connection; gives their number. */
  resetConnections(): number {
    const connections = [...this.#connections];
    for (const connection of connections) connection.reset();
    return connections.length;
  }

  /** Closes one side of every open connection and does not tell the other; gives their number. */
  halfOpenConnections(closedSide: Side): number {
    for (const connection of this.#connections) connection.halfOpen(closedSide);
    return this.#connections.size;
  }

  /** Ends the route and its connections. */
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
      refuse: this.#refuse,
      faults: this.#faults,
      counters: {
        connectionsAccepted: this.#accepted,
        connectionsOpen: this.#connections.size,
        dialsFailed: this.#dialsFailed,
        bytesUp: this.#counters.up.bytes,
        bytesDown: this.#counters.down.bytes,
      },
    };
  }
}

function merge(faults: DirectionFaults, settings: RouteFaultSettings['up']): DirectionFaults {
  return {
    latencyMs: settings?.latencyMs ?? faults.latencyMs,
    jitterMs: settings?.jitterMs ?? faults.jitterMs,
    bytesPerSecond: settings?.bytesPerSecond ?? faults.bytesPerSecond,
    cut: settings?.cut ?? faults.cut,
  };
}
