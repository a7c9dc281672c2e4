/** Faults that can be set through the control port while the process runs. */
import { z } from 'zod';

const CutSchema = z.union([
  z.string().transform((name) => ({ name, direction: 'both' as const })),
  z.object({ name: z.string(), direction: z.enum(['in', 'out', 'both']) }),
]);

/** Body of `POST /faults`. Absent fields stay as they are. */
export const FaultChangeSchema = z
  .object({
    /** Delay between receiving and replaying a commit. */
    replayLagMs: z.number().min(0),
    /** The replica receives no commits, although it receives heartbeats. */
    receiveStall: z.boolean(),
    /** Replication traffic with these instances is dropped. */
    cutPeers: z.array(CutSchema),
    /** Nothing listens on the PostgreSQL port; open connections stay. */
    refuseConnections: z.boolean(),
    connectionDelayMs: z.number().min(0),
    statementMs: z.number().min(0),
    /** Number of next commits that take effect but destroy the connection before the response. */
    crashAfterCommit: z.number().int().min(0),
    /** Number of next commits that are rolled back and destroy the connection. */
    crashBeforeCommit: z.number().int().min(0),
  })
  .partial()
  .strict();

/** Input form: a plain name in `cutPeers` cuts both directions. */
export type FaultRequest = z.input<typeof FaultChangeSchema>;
export type FaultChange = z.infer<typeof FaultChangeSchema>;
export type Faults = Required<FaultChange>;

export function createInitialFaults(connectionDelayMs: number, statementMs: number): Faults {
  return {
    replayLagMs: 0,
    receiveStall: false,
    cutPeers: [],
    refuseConnections: false,
    connectionDelayMs,
    statementMs,
    crashAfterCommit: 0,
    crashBeforeCommit: 0,
  };
}

export function isCut(faults: Faults, peer: string, direction: 'in' | 'out'): boolean {
  return faults.cutPeers.some(
    (cut) => cut.name === peer && (cut.direction === 'both' || cut.direction === direction),
  );
}
