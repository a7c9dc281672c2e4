/** What the machine list says of the fleet, split by role. Immutable. */
import type { DatabaseMachine, Machine, ProxyMachine } from '../platform/contract.js';

export interface Fleet {
  readonly proxies: readonly ProxyMachine[];
  readonly databases: readonly DatabaseMachine[];
}

export const EMPTY_FLEET: Fleet = { proxies: [], databases: [] };

export function fleetOf(machines: readonly Machine[]): Fleet {
  return {
    proxies: machines.filter((machine) => machine.role === 'proxy'),
    databases: machines.filter((machine) => machine.role === 'database'),
  };
}
