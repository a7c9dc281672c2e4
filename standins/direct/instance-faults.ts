/** Faults of one database instance, set at the control port. */
import { z } from 'zod';

/** Body of `POST /instances/:id/faults`. Absent fields stay as they are. */
export const instanceFaultSettings = z.strictObject({
  /** Time from receiving an entry to applying it. */
  lagMs: z.number().min(0).optional(),
  /** It receives nothing, though it is not paused. */
  isStalled: z.boolean().optional(),
  /** Work and new connections take so many times as long. */
  slowFactor: z.number().min(0).optional(),
  /** So many next answers to reads, writes and commits are lost: run, and the connection breaks. */
  loseAnswers: z.int().min(0).optional(),
  /** So many next answers break off after the rows. */
  breakAnswers: z.int().min(0).optional(),
  /** So many next reads and writes run and fail. */
  failNext: z.int().min(0).optional(),
  /** Every read, write, commit and STATUS is answered with BUSY. */
  isBusy: z.boolean().optional(),
  /** STATUS, PAUSE, RESUME and DEMOTE are neither heard nor answered, as if those who ask were cut off. */
  isDeafToControl: z.boolean().optional(),
  /** Its heartbeats do not reach the store. */
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
