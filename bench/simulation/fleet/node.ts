/** One simulated proxy across its restarts: home node of sessions, owner and gateway. */
import type { OwnerCandidate } from '../../../src/core/ownership/rendezvous.js';
import type { FleetContext } from './context.js';
import type { GatewayConnection } from './gateway.js';
import { SimulatedHomeNode } from './home-nodes.js';
import { OwnerRole } from './owner-role.js';
import { SimulatedProcess } from './process.js';

const STOP_POLL_PERIOD_MS = 5;

/** Times and result of a graceful shutdown. */
export interface PlannedStop {
  readonly nodeId: string;
  readonly requestedAt: number;
  exitedAt: number | undefined;
  /** Requests in progress that it interrupted. */
  cutCount: number;
}

export class FleetNode {
  process: SimulatedProcess;
  role: OwnerRole;
  isStopping = false;
  readonly connections = new Set<GatewayConnection>();
  readonly plannedStops: PlannedStop[] = [];
  readonly home: SimulatedHomeNode;
  #incarnationCount = 1;

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

  get isAccepting(): boolean {
    return this.process.isAlive && !this.isStopping;
  }

  /** Ends the process, which loses its memory. */
  kill(): void {
    this.process.isAlive = false;
    this.role.terminate();
    for (const connection of [...this.connections]) connection.handleProcessExit();
    this.connections.clear();
  }

  freeze(durationMs: number): void {
    this.process.frozenSince = this.context.clock.now;
    this.process.frozenUntil = Math.max(
      this.process.frozenUntil,
      this.context.clock.now + durationMs,
    );
    this.role.markOwnerFailed();
    for (const connection of this.connections) connection.wasFrozen = true;
  }

  restart(members: readonly OwnerCandidate[]): void {
    this.#incarnationCount += 1;
    this.isStopping = false;
    const name = `${this.nodeId}.${this.#incarnationCount}`;
    this.process = new SimulatedProcess(this.context.clock, this.nodeId, name);
    this.home.restart(this.process);
    this.role = new OwnerRole(this.context, this.process, members, this.zone);
  }

  /** Graceful shutdown: sessions end between requests, then the owner drains, then `onExited` runs. */
  stop(onExited: () => void): void {
    const requestedAt = this.context.clock.now;
    const stop: PlannedStop = {
      nodeId: this.nodeId,
      requestedAt,
      exitedAt: undefined,
      cutCount: 0,
    };
    this.plannedStops.push(stop);
    this.isStopping = true;
    if (this.context.disabledMechanisms.has('drain')) {
      this.#exit(stop, onExited);
      return;
    }
    for (const connection of [...this.connections]) connection.endWhenIdle();
    this.#waitForCallers(stop, onExited);
  }

  #waitForCallers(stop: PlannedStop, exited: () => void): void {
    const again = (): void => this.#waitForCallers(stop, exited);
    if (this.connections.size > 0) {
      this.process.after(STOP_POLL_PERIOD_MS, again);
      return;
    }
    this.role.drain();
    this.#waitForOwner(stop, exited);
  }

  #waitForOwner(stop: PlannedStop, exited: () => void): void {
    const again = (): void => this.#waitForOwner(stop, exited);
    if (this.role.unfinishedCount > 0) this.process.after(STOP_POLL_PERIOD_MS, again);
    else this.#exit(stop, exited);
  }

  #exit(stop: PlannedStop, exited: () => void): void {
    stop.exitedAt = this.context.clock.now;
    stop.cutCount = this.role.unfinishedCount;
    this.kill();
    exited();
  }
}
