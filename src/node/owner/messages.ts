/**
 * Messages on the stream between a gateway and an owner. One stream carries one statement batch or
 * one whole transaction. The header opens it with the first batch; raw backend messages come back
 * as data; each batch ends with a `batch-end` message and the last one with `end`.
 */
import { z } from 'zod';
import {
  type FailureOutcome,
  NotRunError,
  type NotRunReason,
  RequestError,
  type SqlStateCode,
  UnknownOutcomeError,
  type UnknownReason,
} from '../../core/errors.js';

/** Longest batch that an owner takes, in bytes; the gateway refuses longer ones before. */
const MAX_BATCH_BYTES = 128 * 1024 * 1024;

const bytesSchema = z.custom<Uint8Array>((value) => value instanceof Uint8Array);

const positionSchema = z.object({ timeline: z.number().int(), lsn: z.bigint() });

const preparedStatementSchema = z.object({
  backendName: z.string(),
  text: z.string(),
  parameterTypes: z.array(z.number()),
});

/** One batch of frontend messages to run. */
export const batchSchema = z.object({
  type: z.literal('batch'),
  requires: z.array(preparedStatementSchema),
  /** Empty if `followingBytes` says that they come as data. */
  messages: bytesSchema,
  followingBytes: z.number().int().positive().max(MAX_BATCH_BYTES).optional(),
  /** Key under which the batch runs at most once. */
  onceKey: z.string().optional(),
  /** The batch may end the open transaction with COMMIT. */
  mayCommit: z.boolean(),
});
/** One batch on its way to the owner. */
export type BatchMessage = z.infer<typeof batchSchema>;

/** Opens a stream: what to run, for whom, and until when. */
export const openSchema = z.object({
  type: z.literal('open'),
  /** Follows the request over both hops, in logs and errors. */
  requestId: z.string(),
  group: z.string(),
  tenant: z.string(),
  databaseRole: z.string(),
  database: z.string(),
  access: z.enum(['read', 'write']),
  kind: z.string(),
  weight: z.number(),
  stalenessBoundMs: z.number(),
  repeatable: z.boolean(),
  session: z.discriminatedUnion('type', [
    z.object({ type: z.literal('known'), position: positionSchema }),
    z.object({ type: z.literal('unknown') }),
  ]),
  /** Time the caller still waits, in ms from now; clocks are not compared between nodes. */
  remainingMs: z.number(),
  hold: z.enum(['statement', 'transaction']),
  zone: z.string(),
  batch: batchSchema,
});
/** Opens a request. */
export type OpenMessage = z.infer<typeof openSchema>;

/** The caller asked to cancel the batch that is running. */
export const cancelSchema = z.object({ type: z.literal('cancel') });
/** The caller wants its running statement cancelled. */
export type CancelMessage = z.infer<typeof cancelSchema>;

/** What a gateway sends after the opening. */
export const gatewayMessageSchema = z.discriminatedUnion('type', [batchSchema, cancelSchema]);
/** What a gateway sends after the opening. */
export type GatewayMessage = z.infer<typeof gatewayMessageSchema>;

/** A batch inside a transaction ended; the transaction goes on. */
const batchEndSchema = z.object({
  type: z.literal('batch-end'),
  status: z.enum(['I', 'T', 'E']),
  heldBack: bytesSchema,
});

/** The statement or transaction ended and its outcome is final. */
const endSchema = z.object({
  type: z.literal('end'),
  status: z.enum(['I', 'T', 'E']),
  heldBack: bytesSchema,
  position: positionSchema.optional(),
  /** True if a replica served it. */
  fromReplica: z.boolean(),
});

/** The request ended without a database answer. */
const errorSchema = z.object({
  type: z.literal('error'),
  outcome: z.enum(['done', 'not-run', 'unknown', 'failed']),
  code: z.string(),
  sqlState: z.string(),
  /** Of a NotRunError or UnknownOutcomeError. */
  reason: z.string().optional(),
  message: z.string(),
  retryAfterMs: z.number().optional(),
  /** What the session must see from now on, if the error says that something lasts. */
  position: positionSchema.optional(),
});
/** The request failed. */
export type ErrorMessage = z.infer<typeof errorSchema>;

/** A batch inside a transaction ended with an error of the proxy; the block goes on, failed. */
const batchErrorSchema = z.object({
  type: z.literal('batch-error'),
  status: z.enum(['I', 'T', 'E']),
  error: errorSchema,
});

/** What an owner sends. */
export const ownerMessageSchema = z.discriminatedUnion('type', [
  batchEndSchema,
  batchErrorSchema,
  endSchema,
  errorSchema,
]);
/** What an owner sends. */
export type OwnerMessage = z.infer<typeof ownerMessageSchema>;

/** A typed error as another node reported it, of a class that needs no handling of its own here. */
export class ReportedRequestError extends RequestError {
  readonly code: string;
  readonly outcome: FailureOutcome;
  readonly sqlState: SqlStateCode;

  constructor(message: ErrorMessage) {
    super(message.message, message.retryAfterMs);
    this.code = message.code;
    this.outcome = message.outcome;
    this.sqlState = message.sqlState as SqlStateCode;
  }
}

/** The wire form of a typed error. */
export function encodeRequestError(error: RequestError): ErrorMessage {
  const hasReason = error instanceof NotRunError || error instanceof UnknownOutcomeError;
  return {
    type: 'error',
    outcome: error.outcome,
    code: error.code,
    sqlState: error.sqlState,
    message: error.message,
    ...(hasReason ? { reason: error.reason } : {}),
    ...(error.retryAfterMs === undefined ? {} : { retryAfterMs: error.retryAfterMs }),
  };
}

/** The typed error that an owner reported. */
export function decodeRequestError(message: ErrorMessage): RequestError {
  const { reason } = message;
  if (message.outcome === 'not-run' && reason !== undefined) {
    return new NotRunError(reason as NotRunReason, message.message, message.retryAfterMs);
  }
  if (message.outcome === 'unknown' && reason !== undefined) {
    return new UnknownOutcomeError(reason as UnknownReason, message.message);
  }
  return new ReportedRequestError(message);
}
