/**
 * Opens, lends, evicts and closes back-end connections within each instance's budget. Opening is
 * slow, so it opens ahead by demand and keeps spares on instances that may become the primary.
 */
import type { ConnectionId, GroupEffect, InstanceDescription } from '../group/contract.js';
import type { GroupRequest, InstanceName } from '../request.js';
import { backoffPause } from '../retry/backoff.js';
import type { Milliseconds } from '../units.js';
import {
  type ConnectionKey,
  ConnectionTable,
  keyOf,
  type PooledConnection,
} from './connections.js';

/** Bounds and times of the pool. */
export interface PoolOptions {
  /** Idle connections kept on each replica for each role in use on the primary. */
  readonly minIdleConnectionsPerRole: number;
  /** An idle connection that is not a spare is closed after this long. */
  readonly idleTimeoutMs: Milliseconds;
  readonly openBackoffBaseMs: Milliseconds;
  readonly openBackoffCapMs: Milliseconds;
  /** False only in mutation checks. */
  readonly enforceBudget: boolean;
  readonly random: () => number;
}

interface OpenBackoff {
  failures: number;
  until: Milliseconds;
}

/** Connections of one owner to one group. */
export class ConnectionPool {
  readonly table = new ConnectionTable();
  private instances = new Map<InstanceName, InstanceDescription>();
  private readonly backoffs = new Map<InstanceName, OpenBackoff>();

  constructor(private readonly options: PoolOptions) {}

  /** Takes in new descriptions and closes what no longer fits. */
  setInstances(instances: readonly InstanceDescription[], effects: GroupEffect[]): void {
    this.instances = new Map(instances.map((instance) => [instance.name, instance]));
    for (const connection of [...this.table.all()]) {
      const gone = !this.instances.has(connection.instance);
      if (gone && connection.status === 'idle') this.close(connection.id, effects);
    }
    for (const instance of instances) this.shrinkToBudget(instance, effects);
  }

  /** Lends an idle connection, or undefined. */
  findIdle(instance: InstanceName, request: GroupRequest): PooledConnection | undefined {
    return this.table.findIdle(instance, keyOf(request), request.tenant);
  }

  /** Puts a used connection back; closes it if its instance has left or its budget has shrunk. */
  giveBack(id: ConnectionId, now: Milliseconds, effects: GroupEffect[]): void {
    const connection = this.table.get(id);
    if (connection === undefined) return;
    this.table.setStatus(connection, 'idle');
    connection.idleSince = now;
    const instance = this.instances.get(connection.instance);
    const overBudget =
      instance === undefined || this.table.countOf(instance.name) > instance.connectionBudget;
    if (overBudget) this.close(id, effects);
  }

  close(id: ConnectionId, effects: GroupEffect[]): void {
    if (this.table.remove(id) === undefined) return;
    effects.push({ type: 'close-connection', connectionId: id });
  }

  /** Makes sure that `wanted` connections of a key are open, opening or in use, if budget allows. */
  ensure(
    instanceName: InstanceName,
    key: ConnectionKey,
    wanted: number,
    now: Milliseconds,
    effects: GroupEffect[],
  ): void {
    const instance = this.instances.get(instanceName);
    if (instance === undefined || this.isBackingOff(instanceName, now)) return;
    let missing = wanted - this.table.countOf(instanceName, key);
    while (missing > 0 && this.makeRoom(instance, key, effects)) {
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

  /** Opens spares on `instances` for each of `keys`, without evicting anything. */
  keepSpares(
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
        this.ensure(name, key, opened, now, effects);
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
    const backoff = this.backoffs.get(connection.instance) ?? { failures: 0, until: now };
    const { openBackoffBaseMs: baseMs, openBackoffCapMs: maximumMs, random } = this.options;
    const policy = { baseMs, maximumMs };
    const pause = backoffPause(policy, backoff.failures + 1, random(), baseMs);
    const until = Math.max(backoff.until, now + pause);
    this.backoffs.set(connection.instance, { failures: backoff.failures + 1, until });
    return connection;
  }

  /** The instance answers again: new connections may be tried at once. */
  clearBackoff(instance: InstanceName): void {
    this.backoffs.delete(instance);
  }

  isBackingOff(instance: InstanceName, now: Milliseconds): boolean {
    return (this.backoffs.get(instance)?.until ?? now) > now;
  }

  /** When the next back-off ends, if any is running. */
  nextBackoffEnd(now: Milliseconds): Milliseconds {
    let earliest = Number.POSITIVE_INFINITY;
    for (const backoff of this.backoffs.values()) {
      if (backoff.until > now) earliest = Math.min(earliest, backoff.until);
    }
    return earliest;
  }

  /** Closes connections that have been idle for long, except spares. */
  closeIdle(now: Milliseconds, effects: GroupEffect[]): void {
    for (const connection of [...this.table.all()]) {
      if (connection.status !== 'idle') continue;
      if (now - connection.idleSince < this.options.idleTimeoutMs) continue;
      const sameKind = this.table.countOf(connection.instance, connection.key);
      if (sameKind > this.options.minIdleConnectionsPerRole) this.close(connection.id, effects);
    }
  }

  private makeRoom(
    instance: InstanceDescription,
    key: ConnectionKey,
    effects: GroupEffect[],
  ): boolean {
    if (!this.options.enforceBudget) return true;
    if (this.table.countOf(instance.name) < instance.connectionBudget) return true;
    if (this.table.countOf(instance.name) > instance.connectionBudget) return false;
    const idle = this.table.longestIdle(instance.name, key);
    if (idle === undefined) return false;
    this.close(idle.id, effects);
    return true;
  }

  private shrinkToBudget(instance: InstanceDescription, effects: GroupEffect[]): void {
    while (this.table.countOf(instance.name) > instance.connectionBudget) {
      const idle = this.table.longestIdle(instance.name);
      if (idle === undefined) return;
      this.close(idle.id, effects);
    }
  }
}
