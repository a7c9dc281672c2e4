/** The positions that a home node keeps of sessions. */
import { SessionPositionTable } from '../../src/core/session/position-table.js';
import { rounded } from '../distribution.js';
import { kept, meanMs } from './measure.js';

const SESSIONS = 20_000;

export interface SessionTableCost {
  readonly sessions: number;
  readonly memoryBytesPerSession: number;
  readonly recordMs: number;
}

export function sessionTableCost(): SessionTableCost {
  const table = new SessionPositionTable({ startedAt: 0 });
  const record = (index: number, lsn: bigint): void => {
    const session = { tenant: 'tenant-0001', sessionId: `session-${index}-0123456789abcdef` };
    const positions = [{ group: 'group-0001', position: { timeline: 1, lsn } }];
    table.handle({ type: 'record', session, positions }, 1);
  };
  const { bytes } = kept(() => {
    for (let index = 0; index < SESSIONS; index += 1) record(index, 1n);
    return table;
  });
  const recordMs = meanMs(SESSIONS, (index) => record(index, 2n));
  return {
    sessions: table.sessionCount,
    memoryBytesPerSession: Math.round(bytes / SESSIONS),
    recordMs: rounded(recordMs, 5),
  };
}
