/** One proxy of the simulated fleet through its lives: home node of sessions, owner, gateway. */
import type { OwnerCandidate } from '../../../src/core/ownership/rendezvous.js';
import type { FleetContext } from './context.js';
import type { GatewayConnection } from './gateway.js';
import { SimulatedHomeNode } from './home-nodes.js';
import { OwnerRole } from './owner-role.js';
import { SimulatedProcess } from './process.js';

const STOP_POLL_MS = 5;

/** When a planned stop was asked for and over. */
export interface PlannedStop {
  readonly nodeId: string;
  readonly requestedAt: number;
  exitedAt: number | undefined;
  /** Requests in progress that it cut. */
  cut: number;
}

export class FleetNode {
  process: SimulatedProcess;
  role: OwnerRole;
  stopping = false;
  readonly connections = new Set<GatewayConnection>();
  readonly plannedStops: PlannedStop[] = [];
  readonly home: SimulatedHomeNode;
  #lives = 1;

  constructor(
    private readonly context: FleetContext,
    readonly nodeId: string,
    readonly zone: string,
    members: readonly OwnerCandidate[],
  ) {
    this.process = new SimulatedProcess(context.clock, nodeId, `${nodeId}.1`);
    this.role = new OwnerRole(context, this.process, members, zone);
    this.home = new SimulatedHomeNode(context, this.process);
  }

  get accepting(): boolean {
    return this.process.alive && !this.stopping;
  }

  /** Ends the process; what it had in memory is gone. */
  kill(): void {
    this.process.alive = false;
    this.role.die();
    for (const connection of [...this.connections]) connection.broken();
    this.connections.clear();
  }

  freeze(lasts: number): void {
    this.process.frozenSince = this.context.clock.now;
    this.process.frozenUntil = Math.max(this.process.frozenUntil, this.context.clock.now + lasts);
    this.role.excuse();
    for (const connection of this.connections) connection.wasFrozen = true;
  }

  restart(members: readonly OwnerCandidate[]): void {
    this.#lives += 1;
    this.stopping = false;
    const name = `${this.nodeId}.${this.#lives}`;
    this.process = new SimulatedProcess(this.context.clock, this.nodeId, name);
    this.home.restart(this.process);
    this.role = new OwnerRole(this.context, this.process, members, this.zone);
  }

  /** Planned stop: sessions end between requests, then the owner drains; `exited` comes last. */
  stop(exited: () => void): void {
    const requestedAt = this.context.clock.now;
    const stop: PlannedStop = { nodeId: this.nodeId, requestedAt, exitedAt: undefined, cut: 0 };
    this.plannedStops.push(stop);
    this.stopping = true;
    if (this.context.without.has('drain')) {
      this.#exit(stop, exited);
      return;
    }
    for (const connection of [...this.connections]) connection.stop();
    this.#waitForCallers(stop, exited);
  }

  #waitForCallers(stop: PlannedStop, exited: () => void): void {
    const again = (): void => this.#waitForCallers(stop, exited);
    if (this.connections.size > 0) {
      this.process.after(STOP_POLL_MS, again);
      return;
    }
    this.role.drain();
    this.#waitForOwner(stop, exited);
  }

  #waitForOwner(stop: PlannedStop, exited: () => void): void {
    const again = (): void => this.#waitForOwner(stop, exited);
    if (this.role.unfinished > 0) this.process.after(STOP_POLL_MS, again);
    else this.#exit(stop, exited);
  }

  #exit(stop: PlannedStop, exited: () => void): void {
    stop.exitedAt = this.context.clock.now;
    stop.cut = this.role.unfinished;
    this.kill();
    exited();
  }
}
