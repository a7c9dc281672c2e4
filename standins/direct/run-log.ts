/** Log of the statements, commits and promotions of all instances, which tests check. */
import { createHash } from 'node:crypto';
import { z } from 'zod';

const SIGNATURE_CHARACTERS = 16;
const HEXADECIMAL = 16;

export const positionSchema = z.object({ term: z.int(), number: z.int() });

/** One read, write or commit that an instance executed. */
export const runRecordSchema = z.object({
  run: z.int(),
  service: z.string(),
  instance: z.string(),
  /** Number of the connection, unique over all instances. */
  connection: z.int(),
  /** Account of the connection, from its `START`. */
  account: z.string(),
  /** Id and text as received, without a leading `AFTER`. */
  id: z.string(),
  text: z.string(),
  kind: z.enum(['read', 'write', 'commit']),
  /** Shape of the prepared statement that was executed. */
  shape: z.string().optional(),
  /** Number of the instance's transaction; 0 outside one. */
  transaction: z.int(),
  /** Session values at the start of the statement. */
  values: z.record(z.string(), z.string()),
  startedAt: z.number(),
  /** Applied log position that the statement saw. */
  position: positionSchema,
  rows: z.array(z.string()),
  signature: z.string(),
  /** Log position of a write or commit. */
  committed: positionSchema.optional(),
  committedAt: z.number().optional(),
  /** Error that answered it although it ran. */
  error: z.string().optional(),
  /** True if its response was withheld or truncated. */
  isAnswerLost: z.boolean().optional(),
});
export type RunRecord = z.infer<typeof runRecordSchema>;

export const promotionEffectSchema = positionSchema.extend({
  service: z.string(),
  id: z.string(),
  leads: z.int(),
  at: z.number(),
});

/** One call of `POST /promotion`, regardless of its response. */
export const promotionCallSchema = z.object({
  service: z.string(),
  id: z.string(),
  holder: z.string(),
  token: z.number(),
  status: z.int(),
  at: z.number(),
});
export type PromotionCall = z.infer<typeof promotionCallSchema>;

/** Response of `GET /log`. */
export const logSchema = z.object({
  runs: z.array(runRecordSchema),
  promotions: z.array(promotionEffectSchema),
  promotionCalls: z.array(promotionCallSchema),
  /** The log of each service's newest primary, and the number of synchronous replicas. */
  services: z.array(
    z.object({
      service: z.string(),
      syncReplicas: z.int(),
      /** Undefined without a primary: the old one is demoted, and no other is promoted yet. */
      primary: z.string().optional(),
      entries: z.array(positionSchema.extend({ run: z.int() })),
    }),
  ),
});
export type DirectLog = z.infer<typeof logSchema>;

/** A statement's record at its start; the log adds its number and signature. */
export type RunStart = Omit<RunRecord, 'run' | 'signature'>;

export class RunLog {
  readonly runs: RunRecord[] = [];
  #connectionCount = 0;
  #transactionCount = 0;

  nextConnectionNumber(): number {
    this.#connectionCount += 1;
    return this.#connectionCount;
  }

  nextTransactionNumber(): number {
    this.#transactionCount += 1;
    return this.#transactionCount;
  }

  /** Records a statement as it starts. */
  start(run: RunStart): RunRecord {
    const number = this.runs.length + 1;
    const record = { ...run, run: number, signature: computeSignature(number, run) };
    this.runs.push(record);
    return record;
  }
}

function computeSignature(number: number, { instance, id, text, rows }: RunStart): string {
  const content = [String(number), instance, id, text, ...rows].join('\n');
  const digest = createHash('sha256').update(content).digest('hex');
  return `${number.toString(HEXADECIMAL)}.${digest.slice(0, SIGNATURE_CHARACTERS)}`;
}
