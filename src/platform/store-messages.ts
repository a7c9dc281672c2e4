/**
 * Requests and response schemas of etcd v3's JSON gateway. Source: etcd's API reference, version 3.5. Responses omit
 * fields whose value is zero.
 */
import { z } from 'zod';
import type { KeyValue, RevisionCompare, TransactionOperation, WatchEvent } from './contract.js';

/** An int64 that a double must represent exactly: a revision, a count, a time to live. */
const int64 = z
  .union([z.string().regex(/^-?\d{1,19}$/), z.int()])
  .default('0')
  .transform(Number)
  .pipe(z.int());

/** An id that a double may not represent exactly; kept as a string. */
const idString = z.union([z.string().regex(/^\d{1,20}$/), z.int().min(0)]).transform(String);

const base64String = z
  .base64()
  .default('')
  .transform((text) => Buffer.from(text, 'base64').toString('utf8'));

const header = z.object({ revision: int64 });

const keyValue = z
  .object({ key: base64String, value: base64String, create_revision: int64, mod_revision: int64 })
  .transform(
    (entry): KeyValue => ({
      key: entry.key,
      value: entry.value,
      createRevision: entry.create_revision,
      modRevision: entry.mod_revision,
    }),
  );

export const rangeResponse = z.object({
  header,
  kvs: z.array(keyValue).default([]),
  more: z.boolean().default(false),
});

export const transactionResponse = z.object({
  header,
  succeeded: z.boolean().default(false),
  responses: z
    .array(
      z.object({ response_range: z.object({ kvs: z.array(keyValue).default([]) }).optional() }),
    )
    .default([]),
});

export const leaseGrantResponse = z.object({ ID: idString, TTL: int64 });
export const leaseKeepAliveResponse = z.object({
  result: z.object({ ID: idString, TTL: int64 }),
});
export const leaseRevokeResponse = z.object({ header });

/** Body of every error response. */
export const errorResponse = z.object({
  code: z.int(),
  message: z.string().default('no message'),
});

const watchEvent = z
  .object({ type: z.enum(['PUT', 'DELETE']).default('PUT'), kv: keyValue })
  .transform(({ type, kv }): WatchEvent => {
    if (type === 'PUT') return { type: 'put', entry: kv };
    return { type: 'delete', key: kv.key, modRevision: kv.modRevision };
  });

/** One line of the response stream of a watch. */
export const watchLine = z.union([
  z.object({
    result: z.object({
      header,
      created: z.boolean().default(false),
      canceled: z.boolean().default(false),
      cancel_reason: z.string().default(''),
      compact_revision: int64,
      events: z.array(watchEvent).default([]),
    }),
  }),
  z.object({ error: z.object({ message: z.string().default('no message') }) }),
]);
export type WatchLine = z.output<typeof watchLine>;

function encodeBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/**
 * Exclusive end of the range of all keys with this prefix: the prefix up to its last byte below 0xff, with that byte
 * incremented; `\0` (no end) if there is no such byte.
 */
export function prefixRangeEnd(prefix: string): Buffer {
  const bytes = Buffer.from(prefix, 'utf8');
  const last = bytes.findLastIndex((byte) => byte < 0xff);
  if (last < 0) return Buffer.from([0]);
  const end = Buffer.from(bytes.subarray(0, last + 1));
  end.writeUInt8(end.readUInt8(last) + 1, last);
  return end;
}

/** The range of all keys with a prefix; the empty prefix covers every key. */
function prefixRange(prefix: string): { readonly key: string; readonly range_end: string } {
  const key = prefix === '' ? Buffer.from([0]) : Buffer.from(prefix, 'utf8');
  return { key: key.toString('base64'), range_end: prefixRangeEnd(prefix).toString('base64') };
}

/** Body of /v3/kv/range for a prefix. */
export function rangeRequest(prefix: string): string {
  return JSON.stringify(prefixRange(prefix));
}

/** Body of /v3/watch for a prefix. */
export function watchRequest(prefix: string, fromRevision: number): string {
  return JSON.stringify({
    create_request: {
      ...prefixRange(prefix),
      start_revision: String(fromRevision),
      progress_notify: true,
    },
  });
}

/** Body of /v3/kv/txn; if a comparison fails, the transaction reads the compared keys. */
export function transactionRequest(
  compares: readonly RevisionCompare[],
  operations: readonly TransactionOperation[],
): string {
  return JSON.stringify({
    compare: compares.map((compare) => ({
      key: encodeBase64(compare.key),
      target: 'MOD',
      result: 'EQUAL',
      mod_revision: String(compare.modRevision),
    })),
    success: operations.map(encodeOperation),
    failure: compares.map((compare) => ({ request_range: { key: encodeBase64(compare.key) } })),
  });
}

function encodeOperation(operation: TransactionOperation): object {
  const key = encodeBase64(operation.key);
  if (operation.type === 'delete') return { request_delete_range: { key } };
  const lease = operation.leaseId === undefined ? {} : { lease: operation.leaseId };
  return { request_put: { key, value: encodeBase64(operation.value), ...lease } };
}

/** Body of /v3/lease/grant. The store assigns the id. */
export function leaseGrantRequest(seconds: number): string {
  return JSON.stringify({ TTL: String(seconds), ID: '0' });
}

/** Body of /v3/lease/keepalive and /v3/lease/revoke. */
export function leaseRequest(leaseId: string): string {
  return JSON.stringify({ ID: leaseId });
}
