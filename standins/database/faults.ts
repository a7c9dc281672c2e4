/** Faults that the control port sets while the process runs. */
import { z } from 'zod';

const CutSchema = z.union([
  z.string().transform((name) => ({ name, direction: 'both' as const })),
  z.object({ name: z.string(), direction: z.enum(['in', 'out', 'both']) }),
]);

/** Body of `POST /faults`; fields that are left out stay as they are. */
export const FaultChangeSchema = z
  .object({
    /** Delay between receiving and replaying a commit. */
    replayLagMs: z.number().min(0),
    /** The replica takes in no commits, though it hears heartbeats. */
    receiveStall: z.boolean(),
    /** Replication traffic with these instances is dropped. */
    cutPeers: z.array(CutSchema),
    /** Nothing listens on the PostgreSQL port; open connections stay. */
    refuseConnections: z.boolean(),
    connectionDelayMs: z.number().min(0),
    statementMs: z.number().min(0),
    /** So many next commits take effect, then the connection is destroyed before the answer. */
    crashAfterCommit: z.number().int().min(0),
    /** So many next commits are rolled back and the connection is destroyed. */
    crashBeforeCommit: z.number().int().min(0),
  })
  .partial()
  .strict();

/** As a harness writes it: a bare name in `cutPeers` cuts both ways. */
export type FaultRequest = z.input<typeof FaultChangeSchema>;
export type FaultChange = z.infer<typeof FaultChangeSchema>;
export type Faults = Required<FaultChange>;

export function initialFaults(connectionDelayMs: number, statementMs: number): Faults {
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
