/** Faults of one database instance, set through the control port. */
import { z } from 'zod';

/** Body of `POST /instances/:id/faults`. Absent fields stay as they are. */
export const instanceFaultSettings = z.strictObject({
  /** Time from receiving an entry to applying it. */
  lagMs: z.number().min(0).optional(),
  /** It receives no log entries, although it is not paused. */
  isStalled: z.boolean().optional(),
  /** Factor by which work and new connections take longer. */
  slowFactor: z.number().min(0).optional(),
  /** Number of next reads, writes and commits that run but reset the connection instead of answering. */
  loseAnswers: z.int().min(0).optional(),
  /** Number of next responses that end after the rows, without completion. */
  breakAnswers: z.int().min(0).optional(),
  /** Number of next reads and writes that run and are answered with FAILED. */
  failNext: z.int().min(0).optional(),
  /** Every read, write, commit and STATUS is answered with BUSY. */
  isBusy: z.boolean().optional(),
  /** STATUS, PAUSE, RESUME and DEMOTE are ignored, as if the node that sends them were cut off. */
  isDeafToControl: z.boolean().optional(),
  /** Its heartbeats don't reach the store. */
  isSilentToStore: z.boolean().optional(),
});
export type InstanceFaultSettings = z.infer<typeof instanceFaultSettings>;

export interface InstanceFaults {
  slowFactor: number;
  loseAnswers: number;
  breakAnswers: number;
  failNext: number;
  isBusy: boolean;
  isDeafToControl: boolean;
  isSilentToStore: boolean;
}

export function noInstanceFaults(): InstanceFaults {
  return {
    slowFactor: 1,
    loseAnswers: 0,
    breakAnswers: 0,
    failNext: 0,
    isBusy: false,
    isDeafToControl: false,
    isSilentToStore: false,
  };
}
