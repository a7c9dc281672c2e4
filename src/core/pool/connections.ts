/** Table of one owner's back-end connections to one database group, by instance, role and database. */
import type { ConnectionId } from '../group/contract.js';
import type { DatabaseRole, GroupRequest, InstanceName, TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';

/** Connections with the same key can serve the same requests. */
export interface ConnectionKey {
  readonly databaseRole: DatabaseRole;
  readonly database: string;
}

export type ConnectionStatus = 'opening' | 'idle' | 'resetting' | 'running';

export interface PooledConnection {
  readonly id: ConnectionId;
  readonly instance: InstanceName;
  readonly key: ConnectionKey;
  /** Changed by {@link ConnectionTable.setStatus} only. */
  status: ConnectionStatus;
  /** Tenant that used the connection last; undefined if none has. */
  lastTenant: TenantName | undefined;
  idleSince: Milliseconds;
}

/** Unique text of a key: neither part can contain a zero byte in PostgreSQL. */
export function keyText(key: ConnectionKey): string {
  return `${key.databaseRole}\0${key.database}`;
}

/** Key of the connections that can serve a request. */
export function connectionKeyOf(request: GroupRequest): ConnectionKey {
  return { databaseRole: request.databaseRole, database: request.database };
}

/** Connections to one instance that have the same key. */
interface ConnectionSet {
  /** In the order in which they became idle. */
  readonly idle: Set<PooledConnection>;
  total: number;
  opening: number;
}

/** Contains all connections, including those that are being opened. */
export class ConnectionTable {
  private readonly connections = new Map<ConnectionId, PooledConnection>();
  private readonly setsByInstance = new Map<InstanceName, Map<string, ConnectionSet>>();
  private readonly totalByInstance = new Map<InstanceName, number>();
  private createdCount = 0;

  get(id: ConnectionId): PooledConnection | undefined {
    return this.connections.get(id);
  }

  get size(): number {
    return this.connections.size;
  }

  add(instance: InstanceName, key: ConnectionKey, now: Milliseconds): PooledConnection {
    this.createdCount += 1;
    const connection: PooledConnection = {
      id: `c${this.createdCount}`,
      instance,
      key,
      status: 'opening',
      lastTenant: undefined,
      idleSince: now,
    };
    this.connections.set(connection.id, connection);
    const connectionSet = this.getOrCreateSet(instance, key);
    connectionSet.total += 1;
    connectionSet.opening += 1;
    this.totalByInstance.set(instance, this.countOf(instance) + 1);
    return connection;
  }

  remove(id: ConnectionId): PooledConnection | undefined {
    const connection = this.connections.get(id);
    if (connection === undefined) return undefined;
    this.connections.delete(id);
    const { instance, key } = connection;
    const connectionSet = this.getOrCreateSet(instance, key);
    connectionSet.idle.delete(connection);
    connectionSet.total -= 1;
    if (connection.status === 'opening') connectionSet.opening -= 1;
    if (connectionSet.total === 0) this.setsByInstance.get(instance)?.delete(keyText(key));
    this.totalByInstance.set(instance, this.countOf(instance) - 1);
    return connection;
  }

  setStatus(connection: PooledConnection, status: ConnectionStatus): void {
    const connectionSet = this.getOrCreateSet(connection.instance, connection.key);
    if (connection.status === 'opening') connectionSet.opening -= 1;
    if (status === 'opening') connectionSet.opening += 1;
    connectionSet.idle.delete(connection);
    if (status === 'idle') connectionSet.idle.add(connection);
    connection.status = status;
  }

  /** Number of connections to an instance; only those of a key, if one is given. */
  countOf(instance: InstanceName, key?: ConnectionKey): number {
    if (key === undefined) return this.totalByInstance.get(instance) ?? 0;
    return this.setsByInstance.get(instance)?.get(keyText(key))?.total ?? 0;
  }

  /** Number of connections of a key that run a request or are being reset for one. */
  busyCountOf(instance: InstanceName, key: ConnectionKey): number {
    const connectionSet = this.setsByInstance.get(instance)?.get(keyText(key));
    return connectionSet === undefined
      ? 0
      : connectionSet.total - connectionSet.opening - connectionSet.idle.size;
  }

  /** Finds an idle connection: one that the tenant used last, else one that no tenant has used, else any. */
  findIdle(
    instance: InstanceName,
    key: ConnectionKey,
    tenant: TenantName,
  ): PooledConnection | undefined {
    const connectionSet = this.setsByInstance.get(instance)?.get(keyText(key));
    let best: PooledConnection | undefined;
    for (const connection of connectionSet?.idle ?? []) {
      if (connection.lastTenant === tenant) return connection;
      if (best === undefined || connection.lastTenant === undefined) best = connection;
    }
    return best;
  }

  /** Finds the connection to an instance that has been idle longest, among keys other than `except`. */
  findLongestIdle(instance: InstanceName, except?: ConnectionKey): PooledConnection | undefined {
    const exceptText = except === undefined ? undefined : keyText(except);
    let oldest: PooledConnection | undefined;
    for (const [text, connectionSet] of this.setsByInstance.get(instance) ?? []) {
      if (text === exceptText) continue;
      const [first] = connectionSet.idle;
      if (first === undefined) continue;
      if (oldest === undefined || first.idleSince < oldest.idleSince) oldest = first;
    }
    return oldest;
  }

  all(): IterableIterator<PooledConnection> {
    return this.connections.values();
  }

  private getOrCreateSet(instance: InstanceName, key: ConnectionKey): ConnectionSet {
    const text = keyText(key);
    const byKey = this.setsByInstance.get(instance) ?? new Map<string, ConnectionSet>();
    this.setsByInstance.set(instance, byKey);
    const known = byKey.get(text);
    if (known !== undefined) return known;
    const connectionSet: ConnectionSet = { idle: new Set(), total: 0, opening: 0 };
    byKey.set(text, connectionSet);
    return connectionSet;
  }
}
