/** Responses of etcd v3's HTTP gateway as JSON values: int64 as strings, zero fields omitted. */
import {
  type ByteString,
  GrpcStatus,
  NO_LEASE,
  type OperationResponse,
  type RangeResponse,
  type StoredEntry,
  type StoreEvent,
  type StoreStandinError,
} from './model.js';

const CLUSTER_ID = '14841639068965178418';
const MEMBER_ID = '10276657743932975437';
const RAFT_TERM = '2';

/** A JSON object as the gateway sends it. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Which parts of each entry a range response contains. */
export interface RangeDetail {
  readonly keysOnly: boolean;
  readonly countOnly: boolean;
}

const WHOLE_ENTRIES: RangeDetail = { keysOnly: false, countOnly: false };

/** The header of every response. */
export function headerJson(revision: number): JsonObject {
  return {
    cluster_id: CLUSTER_ID,
    member_id: MEMBER_ID,
    revision: String(revision),
    raft_term: RAFT_TERM,
  };
}

function base64(text: ByteString): string {
  return Buffer.from(text, 'latin1').toString('base64');
}

function entryJson(entry: StoredEntry, detail: RangeDetail): JsonObject {
  return {
    key: base64(entry.key),
    create_revision: String(entry.createRevision),
    mod_revision: String(entry.modRevision),
    version: String(entry.version),
    ...(detail.keysOnly || entry.value === '' ? {} : { value: base64(entry.value) }),
    ...(entry.leaseId === NO_LEASE ? {} : { lease: entry.leaseId }),
  };
}

export function rangeJson(response: RangeResponse, detail = WHOLE_ENTRIES): JsonObject {
  if (response.count === 0) return {};
  const count = { count: String(response.count) };
  if (detail.countOnly) return count;
  const more = response.entries.length < response.count ? { more: true } : {};
  return { kvs: response.entries.map((entry) => entryJson(entry, detail)), ...more, ...count };
}

export function deletedJson(deleted: number): JsonObject {
  return deleted === 0 ? {} : { deleted: String(deleted) };
}

/** The response of one operation within a transaction's response. */
export function operationJson(response: OperationResponse, revision: number): JsonObject {
  const header = { header: { revision: String(revision) } };
  if (response.type === 'put') return { response_put: header };
  if (response.type === 'range') {
    return { response_range: { ...header, ...rangeJson(response.response) } };
  }
  return { response_delete_range: { ...header, ...deletedJson(response.deleted) } };
}

/** One event of a watch. PUT is the zero value of its enumeration and therefore omitted. */
export function eventJson(event: StoreEvent): JsonObject {
  if (event.type === 'PUT') return { kv: entryJson(event.entry, WHOLE_ENTRIES) };
  return {
    type: 'DELETE',
    kv: { key: base64(event.key), mod_revision: String(event.modRevision) },
  };
}

/** The body of an error response. */
export function errorJson(error: StoreStandinError): JsonObject {
  const { code } = GrpcStatus[error.status];
  return { error: error.message, code, message: error.message, details: [] };
}
