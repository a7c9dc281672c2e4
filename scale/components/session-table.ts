/** Measures the table of session positions on a home node. */
import { SessionPositionTable } from '../../src/core/session/position-table.js';
import { roundTo } from '../distribution.js';
import { meanMs, measureMemory } from './measure.js';

const SESSIONS = 20_000;

export interface SessionTableCost {
  readonly sessions: number;
  readonly memoryBytesPerSession: number;
  readonly recordMs: number;
}

export function measureSessionTable(): SessionTableCost {
  const table = new SessionPositionTable({ startedAt: 0 });
  const record = (index: number, lsn: bigint): void => {
    const session = { tenant: 'tenant-0001', sessionId: `session-${index}-0123456789abcdef` };
    const positions = [{ group: 'group-0001', position: { timeline: 1, lsn } }];
    table.handle({ type: 'record', session, positions }, 1);
  };
  const { bytes } = measureMemory(() => {
    for (let index = 0; index < SESSIONS; index += 1) record(index, 1n);
    return table;
  });
  const recordMs = meanMs(SESSIONS, (index) => record(index, 2n));
  return {
    sessions: table.sessionCount,
    memoryBytesPerSession: Math.round(bytes / SESSIONS),
    recordMs: roundTo(recordMs, 5),
  };
}
