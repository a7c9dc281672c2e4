/** The machine list, split by role. Immutable. */
import type { DatabaseMachine, Machine, ProxyMachine } from '../platform/contract.js';

/** The listed machines, by role. */
export interface Fleet {
  readonly proxies: readonly ProxyMachine[];
  readonly databases: readonly DatabaseMachine[];
}

/** The fleet before the machine list was read. */
export const EMPTY_FLEET: Fleet = { proxies: [], databases: [] };

/** Splits a machine list by role. */
export function splitByRole(machines: readonly Machine[]): Fleet {
  return {
    proxies: machines.filter((machine) => machine.role === 'proxy'),
    databases: machines.filter((machine) => machine.role === 'database'),
  };
}
