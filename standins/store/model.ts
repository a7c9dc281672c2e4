/**
 * Types of the store stand-in. Keys are kept as `latin1` strings, one character per byte, so that
 * string order is etcd's byte order.
 */
import { MeadowstackError } from '../../src/core/errors.js';

/** Bytes as a string with one character per byte. */
export type ByteString = string;

/** One version of a key. */
export interface StoredEntry {
  readonly key: ByteString;
  readonly value: ByteString;
  readonly createRevision: number;
  readonly modRevision: number;
  /** Number of puts since the key was created. */
  readonly version: number;
  /** Lease that the key is attached to; `NO_LEASE` if none. */
  readonly leaseId: string;
}

export const NO_LEASE = '0';

/** A change of one key, as watches report it. */
export type StoreEvent =
  | { readonly type: 'PUT'; readonly entry: StoredEntry }
  | { readonly type: 'DELETE'; readonly key: ByteString; readonly modRevision: number };

/** All changes of one revision, in the order of their operations. */
export interface Commit {
  readonly revision: number;
  readonly events: readonly StoreEvent[];
}

/** `rangeEnd` empty: only `key`; `\0`: every key from `key` on; otherwise a half-open range. */
export interface KeyRange {
  readonly key: ByteString;
  readonly rangeEnd: ByteString;
}

export interface RangeRequest extends KeyRange {
  /** Revision to read at; 0 means the newest. */
  readonly revision: number;
  /** Maximum number of entries to return; 0 means no limit. */
  readonly limit: number;
}

export interface RangeResponse {
  readonly entries: readonly StoredEntry[];
  /** Number of entries in the range, regardless of the limit. */
  readonly count: number;
}

export interface PutRequest {
  readonly key: ByteString;
  readonly value: ByteString;
  readonly leaseId: string;
}

export type CompareTarget = 'VERSION' | 'CREATE' | 'MOD' | 'VALUE';
export type CompareResult = 'EQUAL' | 'GREATER' | 'LESS' | 'NOT_EQUAL';

export interface Compare extends KeyRange {
  readonly target: CompareTarget;
  readonly result: CompareResult;
  /** A number for VERSION, CREATE and MOD, bytes for VALUE. */
  readonly operand: number | ByteString;
}

export type Operation =
  | { readonly type: 'range'; readonly request: RangeRequest }
  | { readonly type: 'put'; readonly request: PutRequest }
  | { readonly type: 'delete-range'; readonly request: KeyRange };

export type OperationResponse =
  | { readonly type: 'range'; readonly response: RangeResponse }
  | { readonly type: 'put' }
  | { readonly type: 'delete-range'; readonly deleted: number };

export interface TransactionRequest {
  readonly compares: readonly Compare[];
  readonly success: readonly Operation[];
  readonly failure: readonly Operation[];
}

export interface TransactionResponse {
  readonly succeeded: boolean;
  readonly responses: readonly OperationResponse[];
}

/** gRPC status codes that the gateway reports, with the HTTP status of each. */
export const GrpcStatus = {
  INVALID_ARGUMENT: { code: 3, httpStatus: 400 },
  NOT_FOUND: { code: 5, httpStatus: 404 },
  RESOURCE_EXHAUSTED: { code: 8, httpStatus: 429 },
  FAILED_PRECONDITION: { code: 9, httpStatus: 400 },
  OUT_OF_RANGE: { code: 11, httpStatus: 400 },
  UNIMPLEMENTED: { code: 12, httpStatus: 501 },
  INTERNAL: { code: 13, httpStatus: 500 },
} as const;

export type GrpcStatusName = keyof typeof GrpcStatus;

/** A request that the store rejects, with etcd's own message. */
export class StoreStandinError extends MeadowstackError {
  readonly code = 'MS-STANDIN-STORE';

  constructor(
    readonly status: GrpcStatusName,
    message: string,
  ) {
    super(message);
  }
}
