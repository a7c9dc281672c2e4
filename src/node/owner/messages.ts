/**
 * Messages on the stream between a gateway and an owner. One stream carries one statement batch or
 * one whole transaction. The header opens it with the first batch; raw backend messages are
 * returned as data; each batch ends with a `batch-end` message and the last one with `end`.
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

/** Longest batch that an owner accepts; the gateway refuses longer ones beforehand. */
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
  /** Empty if `followingBytes` is set: the bytes then follow as data. */
  messages: bytesSchema,
  followingBytes: z.number().int().positive().max(MAX_BATCH_BYTES).optional(),
  /** Idempotency key: a batch with this key runs at most once. */
  onceKey: z.string().optional(),
  /** The batch may end the open transaction with COMMIT. */
  mayCommit: z.boolean(),
});
/** One batch that a gateway sends to an owner. */
export type BatchMessage = z.infer<typeof batchSchema>;

/** Opens a stream: which batch to run, for which tenant, and until when. */
export const openSchema = z.object({
  type: z.literal('open'),
  /** Identifies the request in logs and errors of the gateway and the owner. */
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
  /** Time until the caller's deadline; not a time of day, since the nodes' clocks may differ. */
  remainingMs: z.number(),
  hold: z.enum(['statement', 'transaction']),
  zone: z.string(),
  batch: batchSchema,
});
/** Opens a request. */
export type OpenMessage = z.infer<typeof openSchema>;

/** Cancels the running batch. */
export const cancelSchema = z.object({ type: z.literal('cancel') });
/** The caller has requested the cancellation of its running batch. */
export type CancelMessage = z.infer<typeof cancelSchema>;

/** Messages that a gateway sends after the open message. */
export const gatewayMessageSchema = z.discriminatedUnion('type', [batchSchema, cancelSchema]);
/** A message that a gateway sends after the open message. */
export type GatewayMessage = z.infer<typeof gatewayMessageSchema>;

/** A batch inside a transaction ended; the transaction stays open. */
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

/** The request ended with an error of the proxy instead of a database response. */
const errorSchema = z.object({
  type: z.literal('error'),
  outcome: z.enum(['done', 'not-run', 'unknown', 'failed']),
  code: z.string(),
  sqlState: z.string(),
  /** Of a NotRunError or UnknownOutcomeError. */
  reason: z.string().optional(),
  message: z.string(),
  retryAfterMs: z.number().optional(),
  /** Position that the session's later reads must have reached, if something was committed. */
  position: positionSchema.optional(),
});
/** The request failed. */
export type ErrorMessage = z.infer<typeof errorSchema>;

/**
 * A batch inside a transaction ended with an error of the proxy; the block stays open, as failed.
 */
const batchErrorSchema = z.object({
  type: z.literal('batch-error'),
  status: z.enum(['I', 'T', 'E']),
  error: errorSchema,
});

/** Messages that an owner sends. */
export const ownerMessageSchema = z.discriminatedUnion('type', [
  batchEndSchema,
  batchErrorSchema,
  endSchema,
  errorSchema,
]);
/** A message that an owner sends. */
export type OwnerMessage = z.infer<typeof ownerMessageSchema>;

/** An error reported by another node whose class this node does not need to distinguish. */
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

/** Converts an error to its message. */
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

/** Restores the error that an owner reported. */
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
