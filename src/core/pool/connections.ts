/** Back-end connections of one owner to one group: a table of them by instance, role and database. */
import type { ConnectionId } from '../group/contract.js';
import type { DatabaseRole, GroupRequest, InstanceName, TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';

/** What a connection can be used for. */
export interface ConnectionKey {
  readonly databaseRole: DatabaseRole;
  readonly database: string;
}

export type ConnectionStatus = 'opening' | 'idle' | 'resetting' | 'running';

/** One connection. */
export interface PooledConnection {
  readonly id: ConnectionId;
  readonly instance: InstanceName;
  readonly key: ConnectionKey;
  status: ConnectionStatus;
  /** Tenant that used it last; undefined if it is fresh. */
  lastTenant: TenantName | undefined;
  idleSince: Milliseconds;
}

/** The key under which a request's connections are found. */
export function keyOf(request: GroupRequest): ConnectionKey {
  return { databaseRole: request.databaseRole, database: request.database };
}

function sameKey(left: ConnectionKey, right: ConnectionKey): boolean {
  return left.databaseRole === right.databaseRole && left.database === right.database;
}

/** All connections, opening ones included. */
export class ConnectionTable {
  private readonly connections = new Map<ConnectionId, PooledConnection>();
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
    return connection;
  }

  remove(id: ConnectionId): PooledConnection | undefined {
    const connection = this.connections.get(id);
    this.connections.delete(id);
    return connection;
  }

  /** Connections to an instance, of a key if given, in a status if given. */
  countOf(instance: InstanceName, key?: ConnectionKey, status?: ConnectionStatus): number {
    let count = 0;
    for (const connection of this.connections.values()) {
      if (connection.instance !== instance) continue;
      if (key !== undefined && !sameKey(connection.key, key)) continue;
      if (status !== undefined && connection.status !== status) continue;
      count += 1;
    }
    return count;
  }

  /** An idle connection for a request: one that the tenant used last, else a fresh one, else any. */
  findIdle(
    instance: InstanceName,
    key: ConnectionKey,
    tenant: TenantName,
  ): PooledConnection | undefined {
    let best: PooledConnection | undefined;
    for (const connection of this.connections.values()) {
      if (connection.instance !== instance || connection.status !== 'idle') continue;
      if (!sameKey(connection.key, key)) continue;
      if (connection.lastTenant === tenant) return connection;
      if (best === undefined || connection.lastTenant === undefined) best = connection;
    }
    return best;
  }

  /** The connection to an instance that has been idle longest, of another key than `except`. */
  longestIdle(instance: InstanceName, except?: ConnectionKey): PooledConnection | undefined {
    let oldest: PooledConnection | undefined;
    for (const connection of this.connections.values()) {
      if (connection.instance !== instance || connection.status !== 'idle') continue;
      if (except !== undefined && sameKey(connection.key, except)) continue;
      if (oldest === undefined || connection.idleSince < oldest.idleSince) oldest = connection;
    }
    return oldest;
  }

  all(): IterableIterator<PooledConnection> {
    return this.connections.values();
  }
}
