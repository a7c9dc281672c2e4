/** What the instances ran, for tests to judge: each statement, each commit, each promotion. */
import { createHash } from 'node:crypto';
import { z } from 'zod';

const SIGNATURE_CHARACTERS = 16;
const HEXADECIMAL = 16;

export const positionSchema = z.object({ term: z.int(), number: z.int() });

/** One statement that used a slot, or was one of the callers' own. */
export const runRecordSchema = z.object({
  run: z.int(),
  service: z.string(),
  instance: z.string(),
  /** Number of the connection, one for all instances. */
  connection: z.int(),
  /** Who the connection was opened for, as its `START` said. */
  account: z.string(),
  /** Id and text as received, without a leading `AFTER`. */
  id: z.string(),
  text: z.string(),
  kind: z.enum(['read', 'write', 'commit']),
  /** Shape of the prepared name that was executed. */
  shape: z.string().optional(),
  /** Number of the instance's transaction; 0 outside one. */
  transaction: z.int(),
  /** Session values in force. */
  values: z.record(z.string(), z.string()),
  startedAt: z.number(),
  /** The log as the statement saw it. */
  position: positionSchema,
  rows: z.array(z.string()),
  signature: z.string(),
  /** Where a write or commit went in the log. */
  committed: positionSchema.optional(),
  committedAt: z.number().optional(),
  /** The error that it was answered with although it ran. */
  error: z.string().optional(),
  /** True if its answer was withheld or broken off. */
  isAnswerLost: z.boolean().optional(),
});
export type RunRecord = z.infer<typeof runRecordSchema>;

export const promotionEffectSchema = positionSchema.extend({
  service: z.string(),
  id: z.string(),
  leads: z.int(),
  at: z.number(),
});

/** One call of `POST /promotion`, whatever its answer. */
export const promotionCallSchema = z.object({
  service: z.string(),
  id: z.string(),
  holder: z.string(),
  token: z.number(),
  status: z.int(),
  at: z.number(),
});
export type PromotionCall = z.infer<typeof promotionCallSchema>;

/** Answer of `GET /log`. */
export const logSchema = z.object({
  runs: z.array(runRecordSchema),
  promotions: z.array(promotionEffectSchema),
  promotionCalls: z.array(promotionCallSchema),
  /** The log of each service's newest primary, and whether it commits synchronously. */
  services: z.array(
    z.object({
      service: z.string(),
      syncReplicas: z.int(),
      /** Undefined while nobody leads: the old primary is demoted, and no other promoted yet. */
      primary: z.string().optional(),
      entries: z.array(positionSchema.extend({ run: z.int() })),
    }),
  ),
});
export type DirectLog = z.infer<typeof logSchema>;

/** What a statement's record begins with; the log adds its number and signature. */
export type RunStart = Omit<RunRecord, 'run' | 'signature'>;

export class RunLog {
  readonly runs: RunRecord[] = [];
  #connections = 0;
  #transactions = 0;

  nextConnection(): number {
    this.#connections += 1;
    return this.#connections;
  }

  nextTransaction(): number {
    this.#transactions += 1;
    return this.#transactions;
  }

  /** Records a statement as it starts. */
  start(run: RunStart): RunRecord {
    const number = this.runs.length + 1;
    const record = { ...run, run: number, signature: signatureOf(number, run) };
    this.runs.push(record);
    return record;
  }
}

function signatureOf(number: number, { instance, id, text, rows }: RunStart): string {
  const content = [String(number), instance, id, text, ...rows].join('\n');
  const digest = createHash('sha256').update(content).digest('hex');
  return `${number.toString(HEXADECIMAL)}.${digest.slice(0, SIGNATURE_CHARACTERS)}`;
}
