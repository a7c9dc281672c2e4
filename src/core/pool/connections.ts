/** Back-end connections of one owner to one group: a table of them by instance, role and database. */
import type { ConnectionId } from '../group/contract.js';
import type { DatabaseRole, GroupRequest, InstanceName, TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';

/** What a connection can be used for. */
export interface ConnectionKey {
  readonly databaseRole: DatabaseRole;
  readonly database: string;
}

/** What a connection is doing. */
export type ConnectionStatus = 'opening' | 'idle' | 'resetting' | 'running';

/** One connection. */
export interface PooledConnection {
  readonly id: ConnectionId;
  readonly instance: InstanceName;
  readonly key: ConnectionKey;
  /** Changed through {@link ConnectionTable.setStatus} only. */
  status: ConnectionStatus;
  /** Tenant that used it last; undefined if it is fresh. */
  lastTenant: TenantName | undefined;
  idleSince: Milliseconds;
}

/** A key as text, unique: neither part can contain a zero byte in PostgreSQL. */
export function keyText(key: ConnectionKey): string {
  return `${key.databaseRole}\0${key.database}`;
}

/** The key under which a request's connections are found. */
export function keyOf(request: GroupRequest): ConnectionKey {
  return { databaseRole: request.databaseRole, database: request.database };
}

/** Connections to one instance under one key. */
interface ConnectionGroup {
  /** In the order in which they became idle. */
  readonly idle: Set<PooledConnection>;
  total: number;
  opening: number;
}

/** All connections, opening ones included. */
export class ConnectionTable {
  private readonly connections = new Map<ConnectionId, PooledConnection>();
  private readonly groups = new Map<InstanceName, Map<string, ConnectionGroup>>();
  private readonly totals = new Map<InstanceName, number>();
  private count = 0;

  get(id: ConnectionId): PooledConnection | undefined {
    return this.connections.get(id);
  }

  get size(): number {
    return this.connections.size;
  }

  add(instance: InstanceName, key: ConnectionKey, now: Milliseconds): PooledConnection {
    this.count += 1;
    const connection: PooledConnection = {
      id: `c${this.count}`,
      instance,
      key,
      status: 'opening',
      lastTenant: undefined,
      idleSince: now,
    };
    this.connections.set(connection.id, connection);
    const group = this.groupOf(instance, key);
    group.total += 1;
    group.opening += 1;
    this.totals.set(instance, this.countOf(instance) + 1);
    return connection;
  }

  remove(id: ConnectionId): PooledConnection | undefined {
    const connection = this.connections.get(id);
    if (connection === undefined) return undefined;
    this.connections.delete(id);
    const { instance, key } = connection;
    const group = this.groupOf(instance, key);
    group.idle.delete(connection);
    group.total -= 1;
    if (connection.status === 'opening') group.opening -= 1;
    if (group.total === 0) this.groups.get(instance)?.delete(keyText(key));
    this.totals.set(instance, this.countOf(instance) - 1);
    return connection;
  }

  setStatus(connection: PooledConnection, status: ConnectionStatus): void {
    const group = this.groupOf(connection.instance, connection.key);
    if (connection.status === 'opening') group.opening -= 1;
    if (status === 'opening') group.opening += 1;
    group.idle.delete(connection);
    if (status === 'idle') group.idle.add(connection);
    connection.status = status;
  }

  /** Connections to an instance, of a key if given. */
  countOf(instance: InstanceName, key?: ConnectionKey): number {
    if (key === undefined) return this.totals.get(instance) ?? 0;
    return this.groups.get(instance)?.get(keyText(key))?.total ?? 0;
  }

  /** Connections of a key that carry a request or are being reset for one. */
  busyCountOf(instance: InstanceName, key: ConnectionKey): number {
    const group = this.groups.get(instance)?.get(keyText(key));
    return group === undefined ? 0 : group.total - group.opening - group.idle.size;
  }

  /** An idle connection for a request: one that the tenant used last, else a fresh one, else any. */
  findIdle(
    instance: InstanceName,
    key: ConnectionKey,
    tenant: TenantName,
  ): PooledConnection | undefined {
    const group = this.groups.get(instance)?.get(keyText(key));
    let best: PooledConnection | undefined;
    for (const connection of group?.idle ?? []) {
      if (connection.lastTenant === tenant) return connection;
      if (best === undefined || connection.lastTenant === undefined) best = connection;
    }
    return best;
  }

  /** The connection to an instance that has been idle longest, of another key than `except`. */
  longestIdle(instance: InstanceName, except?: ConnectionKey): PooledConnection | undefined {
    const exceptText = except === undefined ? undefined : keyText(except);
    let oldest: PooledConnection | undefined;
    for (const [text, group] of this.groups.get(instance) ?? []) {
      if (text === exceptText) continue;
      const [first] = group.idle;
      if (first === undefined) continue;
      if (oldest === undefined || first.idleSince < oldest.idleSince) oldest = first;
    }
    return oldest;
  }

  all(): IterableIterator<PooledConnection> {
    return this.connections.values();
  }

  private groupOf(instance: InstanceName, key: ConnectionKey): ConnectionGroup {
    const text = keyText(key);
    const byKey = this.groups.get(instance) ?? new Map<string, ConnectionGroup>();
    this.groups.set(instance, byKey);
    const known = byKey.get(text);
    if (known !== undefined) return known;
    const group: ConnectionGroup = { idle: new Set(), total: 0, opening: 0 };
    byKey.set(text, group);
    return group;
  }
}
