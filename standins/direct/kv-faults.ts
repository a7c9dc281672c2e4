/** Faults of the metadata store: outage, slowness, lost answers, stale reads, a rate limit. */
import { z } from 'zod';

const milliseconds = z.number().min(0);

/** Body of `POST /store/faults`. Absent fields stay as they are. */
export const kvFaultSettings = z.strictObject({
  /** `silent`: nothing is answered, and the connections in use stay mute; `unavailable`: 503. */
  down: z.enum(['no', 'silent', 'unavailable']).optional(),
  /** While it is down, leases wait (true) or run out (false). */
  leasesWait: z.boolean().optional(),
  /** While it is down, entries of instances lapse as if their heartbeats had ended. */
  entriesLapse: z.boolean().optional(),
  /** Time from a call to its answer, without slowness. */
  answerMs: milliseconds.optional(),
  slowFactor: z.number().min(0).optional(),
  /** So many next writing calls (lease renewals too) get no answer. */
  loseNext: z.int().min(0).optional(),
  /** What becomes of those: done at once, done `lateMs` later, or not done at all. */
  loseMode: z.enum(['done', 'late', 'dropped']).optional(),
  lateMs: milliseconds.optional(),
  /** Age of what reads with `is_stale` see. */
  staleMs: milliseconds.optional(),
  /** Calls a second over all clients; `null` lifts the limit. */
  writesPerSecond: z.number().positive().nullable().optional(),
  readsPerSecond: z.number().positive().nullable().optional(),
  /** Most items on one page of a range. */
  pageItems: z.int().positive().optional(),
});
export type KvFaultSettings = z.infer<typeof kvFaultSettings>;
export type KvFaults = Required<KvFaultSettings>;

export const NO_KV_FAULTS: KvFaults = {
  down: 'no',
  leasesWait: true,
  entriesLapse: false,
  answerMs: 4,
  slowFactor: 1,
  loseNext: 0,
  loseMode: 'done',
  lateMs: 2000,
  staleMs: 0,
  writesPerSecond: null,
  readsPerSecond: null,
  pageItems: 500,
};
