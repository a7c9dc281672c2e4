/** The clients of a round: some send requests without a pause, others pause with their connection open. */
import type { Milliseconds } from '../../src/core/units.js';
import type { DirectCluster } from '../../test/support/direct-cluster.js';
import { ROUTES } from '../../test/support/direct-cluster.js';
import { LoadClient, type LoadOptions } from '../../test/support/direct-load.js';

/** Clients that must be served again after the faults, and clients that need not. */
export interface SoakClients {
  readonly required: readonly LoadClient[];
  readonly optional: readonly LoadClient[];
}

const WRITE_FRACTION = 0.4;
const SHORT_THINK_MS: Milliseconds = 40;
const THINK_MS: Milliseconds = 120;
/** Pause within a transaction, long enough that a graceful shutdown finds the transaction open. */
const TRANSACTION_PAUSE_MS: Milliseconds = 1500;
/** Number of gateways with such transactions: each occupies one of the primary's 34 connections. */
const MAX_TRANSACTION_GATEWAYS = 5;
/** With at least this many gateways all clients pause, so that a round's total load stays similar. */
const MIN_MANY_GATEWAYS = 10;
const MANY_GATEWAYS_THINK_MS: Milliseconds = 1200;
/** Distance between the seeds of two gateways, so that each client has a seed of its own. */
const SEEDS_PER_GATEWAY = 10;

const PAUSING_CLIENTS: readonly Omit<LoadOptions, 'seed' | 'gateway'>[] = [
  { database: 'intake', thinkMs: SHORT_THINK_MS, writes: WRITE_FRACTION },
  { database: 'lookup', thinkMs: THINK_MS, writes: 0 },
  { database: 'roam', thinkMs: SHORT_THINK_MS, writes: WRITE_FRACTION },
  { database: 'archive', thinkMs: SHORT_THINK_MS, writes: WRITE_FRACTION },
  { database: 'assign', thinkMs: THINK_MS, transactionPauseMs: TRANSACTION_PAUSE_MS },
];

/** Starts the clients of each gateway. */
export function startClients(cluster: DirectCluster, seed: number): SoakClients {
  const hasManyGateways = cluster.gateways.length >= MIN_MANY_GATEWAYS;
  const thinkOptions = hasManyGateways ? { thinkMs: MANY_GATEWAYS_THINK_MS } : {};
  const steady: LoadClient[] = [];
  const others: LoadClient[] = [];
  for (const gateway of cluster.gateways.keys()) {
    const seedOf = (index: number) => seed + SEEDS_PER_GATEWAY * gateway + index;
    for (const [index, { database }] of ROUTES.entries()) {
      const writes = database === 'lookup' ? 0 : WRITE_FRACTION;
      const options = { usesValues: true, database, gateway, writes, seed: seedOf(index) };
      steady.push(new LoadClient(cluster, { ...options, ...thinkOptions }));
    }
    for (const [index, options] of PAUSING_CLIENTS.entries()) {
      if (options.transactionPauseMs !== undefined && gateway >= MAX_TRANSACTION_GATEWAYS) continue;
      const ownOptions = { gateway, seed: seedOf(ROUTES.length + index) };
      others.push(new LoadClient(cluster, { ...options, ...thinkOptions, ...ownOptions }));
    }
  }
  return { required: steady, optional: others };
}
