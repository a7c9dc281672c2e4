/**
 * Pool of back-end connections within each instance's connection budget. Opening a connection is slow, so the pool
 * opens them ahead of demand and keeps idle ones to instances that may become the primary.
 */
import type { ConnectionId, GroupEffect, InstanceDescription } from '../group/contract.js';
import type { GroupRequest, InstanceName } from '../request.js';
import { backoffPause } from '../retry/backoff.js';
import type { Milliseconds } from '../units.js';
import {
  type ConnectionKey,
  ConnectionTable,
  connectionKeyOf,
  type PooledConnection,
} from './connections.js';

export interface PoolOptions {
  /** Idle connections kept to each replica for each role that is in use on the primary. */
  readonly minIdleConnectionsPerRole: number;
  /** Connections above the minimum are closed after being idle for this time. */
  readonly idleTimeoutMs: Milliseconds;
  readonly openBackoffBaseMs: Milliseconds;
  readonly openBackoffMaxMs: Milliseconds;
  /** False only in mutation tests. */
  readonly enforceBudget: boolean;
  readonly random: () => number;
}

interface OpenBackoff {
  failures: number;
  endsAt: Milliseconds;
}

/** Connections of one owner to one database group. */
export class ConnectionPool {
  readonly table = new ConnectionTable();
  private instances = new Map<InstanceName, InstanceDescription>();
  private readonly backoffs = new Map<InstanceName, OpenBackoff>();

  constructor(private readonly options: PoolOptions) {}

  /** Updates the instances and closes idle connections to removed instances or above the budget. */
  setInstances(instances: readonly InstanceDescription[], effects: GroupEffect[]): void {
    this.instances = new Map(instances.map((instance) => [instance.name, instance]));
    for (const connection of [...this.table.all()]) {
      const isGone = !this.instances.has(connection.instance);
      if (isGone && connection.status === 'idle') this.close(connection.id, effects);
    }
    for (const instance of instances) this.shrinkToBudget(instance, effects);
  }

  /** Finds an idle connection for a request, without changing its status. */
  findIdle(instance: InstanceName, request: GroupRequest): PooledConnection | undefined {
    return this.table.findIdle(instance, connectionKeyOf(request), request.tenant);
  }

  /** Makes a used connection idle; closes it if its instance was removed or is above its budget. */
  release(id: ConnectionId, now: Milliseconds, effects: GroupEffect[]): void {
    const connection = this.table.get(id);
    if (connection === undefined) return;
    this.table.setStatus(connection, 'idle');
    connection.idleSince = now;
    const instance = this.instances.get(connection.instance);
    const isOverBudget =
      instance === undefined || this.table.countOf(instance.name) > instance.connectionBudget;
    if (isOverBudget) this.close(id, effects);
  }

  close(id: ConnectionId, effects: GroupEffect[]): void {
    if (this.table.remove(id) === undefined) return;
    effects.push({ type: 'close-connection', connectionId: id });
  }

  /**
   * Makes sure that `wanted` connections of a key are open or being opened, as far as the budget allows. Closes idle
   * connections of other keys to make room.
   */
  ensureConnections(
    instanceName: InstanceName,
    key: ConnectionKey,
    wanted: number,
    now: Milliseconds,
    effects: GroupEffect[],
  ): void {
    const instance = this.instances.get(instanceName);
    if (instance === undefined || this.isBackingOff(instanceName, now)) return;
    let missing = wanted - this.table.countOf(instanceName, key);
    while (missing > 0 && this.ensureRoom(instance, key, effects)) {
      const connection = this.table.add(instanceName, key, now);
      effects.push({
        type: 'open-connection',
        connectionId: connection.id,
        instance: instanceName,
        databaseRole: key.databaseRole,
        database: key.database,
      });
      missing -= 1;
    }
  }

  /** Opens the minimum of idle connections to `instances` for each of `keys`, without closing others. */
  openMinIdleConnections(
    instances: readonly InstanceName[],
    keys: Iterable<ConnectionKey>,
    now: Milliseconds,
    effects: GroupEffect[],
  ): void {
    for (const key of keys) {
      for (const name of instances) {
        const instance = this.instances.get(name);
        if (instance === undefined || instance.leaving) continue;
        const room = instance.connectionBudget - this.table.countOf(name);
        const missing = this.options.minIdleConnectionsPerRole - this.table.countOf(name, key);
        if (missing <= 0 || room <= 0) continue;
        const opened = this.table.countOf(name, key) + Math.min(missing, room);
        this.ensureConnections(name, key, opened, now, effects);
      }
    }
  }

  recordOpened(id: ConnectionId, now: Milliseconds): PooledConnection | undefined {
    const connection = this.table.get(id);
    if (connection === undefined) return undefined;
    this.table.setStatus(connection, 'idle');
    connection.idleSince = now;
    this.backoffs.delete(connection.instance);
    return connection;
  }

  recordOpenFailed(id: ConnectionId, now: Milliseconds): PooledConnection | undefined {
    const connection = this.table.remove(id);
    if (connection === undefined) return undefined;
    const backoff = this.backoffs.get(connection.instance) ?? { failures: 0, endsAt: now };
    const { openBackoffBaseMs: baseMs, openBackoffMaxMs: maximumMs, random } = this.options;
    const policy = { baseMs, maximumMs };
    const pause = backoffPause(policy, backoff.failures + 1, random(), baseMs);
    const until = Math.max(backoff.endsAt, now + pause);
    this.backoffs.set(connection.instance, { failures: backoff.failures + 1, endsAt: until });
    return connection;
  }

  /** Lets new connections be opened at once, since the instance answers again. */
  clearBackoff(instance: InstanceName): void {
    this.backoffs.delete(instance);
  }

  isBackingOff(instance: InstanceName, now: Milliseconds): boolean {
    return (this.backoffs.get(instance)?.endsAt ?? now) > now;
  }

  /** When the next backoff ends; infinity if none is running. */
  nextBackoffEnd(now: Milliseconds): Milliseconds {
    let earliest = Number.POSITIVE_INFINITY;
    for (const backoff of this.backoffs.values()) {
      if (backoff.endsAt > now) earliest = Math.min(earliest, backoff.endsAt);
    }
    return earliest;
  }

  /** Closes connections whose idle timeout has passed, except the minimum of each key. */
  closeIdle(now: Milliseconds, effects: GroupEffect[]): void {
    for (const connection of [...this.table.all()]) {
      if (connection.status !== 'idle') continue;
      if (now - connection.idleSince < this.options.idleTimeoutMs) continue;
      const sameKeyCount = this.table.countOf(connection.instance, connection.key);
      if (sameKeyCount > this.options.minIdleConnectionsPerRole) this.close(connection.id, effects);
    }
  }

  private ensureRoom(
    instance: InstanceDescription,
    key: ConnectionKey,
    effects: GroupEffect[],
  ): boolean {
    if (!this.options.enforceBudget) return true;
    if (this.table.countOf(instance.name) < instance.connectionBudget) return true;
    if (this.table.countOf(instance.name) > instance.connectionBudget) return false;
    const idle = this.table.findLongestIdle(instance.name, key);
    if (idle === undefined) return false;
    this.close(idle.id, effects);
    return true;
  }

  private shrinkToBudget(instance: InstanceDescription, effects: GroupEffect[]): void {
    while (this.table.countOf(instance.name) > instance.connectionBudget) {
      const idle = this.table.findLongestIdle(instance.name);
      if (idle === undefined) return;
      this.close(idle.id, effects);
    }
  }
}
