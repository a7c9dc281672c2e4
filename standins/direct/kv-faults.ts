/** Faults of the metadata store: outage, slowness, lost responses, stale reads, a rate limit. */
import { z } from 'zod';

const milliseconds = z.number().min(0);

/** Body of `POST /store/faults`. Absent fields stay as they are. */
export const kvFaultSettings = z.strictObject({
  /** `silent`: no response, and none later on connections used meanwhile; `unavailable`: 503. */
  down: z.enum(['no', 'silent', 'unavailable']).optional(),
  /** While it is down, lease times stop (true) or continue to run (false). */
  leasesWait: z.boolean().optional(),
  /** While it is down, registrations of instances expire as if their heartbeats had stopped. */
  entriesLapse: z.boolean().optional(),
  /** Time from a call to its response, before `slowFactor` applies. */
  answerMs: milliseconds.optional(),
  slowFactor: z.number().min(0).optional(),
  /** Number of next writing calls, including lease renewals, that get no response. */
  loseNext: z.int().min(0).optional(),
  /** Calls without a response take effect immediately, after `lateMs`, or never. */
  loseMode: z.enum(['done', 'late', 'dropped']).optional(),
  lateMs: milliseconds.optional(),
  /** Age of the state that reads with `is_stale` return. */
  staleMs: milliseconds.optional(),
  /** Calls per second over all clients; `null` removes the limit. */
  writesPerSecond: z.number().positive().nullable().optional(),
  readsPerSecond: z.number().positive().nullable().optional(),
  /** Maximum number of items on one page of a range. */
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
