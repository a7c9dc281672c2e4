/** All faults by name. */
import { MeadowstackError } from '../../src/core/errors.js';
import type { Fault } from './fault.js';
import { MACHINE_LIST_LATE } from './machine-list-late.js';
import { OPERATORS_RACING } from './operators-racing.js';
import {
  PRIMARY_CUT_OFF,
  PRIMARY_CUT_OFF_OUTBOUND,
  PRIMARY_UNREACHABLE,
} from './primary-cut-off.js';
import { PRIMARY_KILLED } from './primary-killed.js';
import { PRIMARY_PAUSED } from './primary-paused.js';
import { LEASE_HOLDER_PAUSED, PROXY_KILLED, PROXY_PLANNED_STOP } from './proxy-faults.js';
import { REPLICA_FAR_BEHIND } from './replica-far-behind.js';
import { STORE_ANSWERS_LOST, STORE_DOWN, STORE_SLOW } from './store-faults.js';
import { ZONE_CUT } from './zone-cut.js';

/** No fault has this name. */
export class UnknownFaultError extends MeadowstackError {
  readonly code = 'MS-BENCH-FAULT';
}

/** Faults that are run alone and in pairs. */
export const MATRIX_FAULTS: readonly Fault[] = [
  PRIMARY_KILLED,
  PRIMARY_CUT_OFF,
  PRIMARY_PAUSED,
  REPLICA_FAR_BEHIND,
  PROXY_KILLED,
  PROXY_PLANNED_STOP,
  STORE_DOWN,
  STORE_SLOW,
  STORE_ANSWERS_LOST,
  MACHINE_LIST_LATE,
  LEASE_HOLDER_PAUSED,
  OPERATORS_RACING,
  ZONE_CUT,
];

/** The faults of the matrix and variants of them. */
export const FAULTS: readonly Fault[] = [
  ...MATRIX_FAULTS,
  PRIMARY_CUT_OFF_OUTBOUND,
  PRIMARY_UNREACHABLE,
];

/** @throws UnknownFaultError */
export function findFault(name: string): Fault {
  const fault = FAULTS.find((candidate) => candidate.name === name);
  if (fault === undefined) {
    const known = FAULTS.map((candidate) => candidate.name).join(', ');
    throw new UnknownFaultError(`no fault ${name}; there are: ${known}`);
  }
  return fault;
}

/** Every combination of two different faults. */
export function allPairs(): readonly (readonly [Fault, Fault])[] {
  return MATRIX_FAULTS.flatMap((first, index) =>
    MATRIX_FAULTS.slice(index + 1).map((second) => [first, second] as const),
  );
}
