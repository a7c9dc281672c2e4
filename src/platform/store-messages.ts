/**
 * Messages of etcd v3's JSON gateway as the client writes and reads them. Source: etcd's API
 * reference, version 3.5. Zero fields are absent in answers.
 */
import { z } from 'zod';
import type { KeyValue, RevisionCompare, TransactionOperation, WatchEvent } from './contract.js';

/** An int64 that must be exact as a number: a revision, a count, a time to live. */
const int64 = z
  .union([z.string().regex(/^-?\d{1,19}$/), z.int()])
  .default('0')
  .transform(Number)
  .pipe(z.int());

/** An id that may exceed the exact numbers; kept as text. */
const idText = z.union([z.string().regex(/^\d{1,20}$/), z.int().min(0)]).transform(String);

const base64Text = z
  .base64()
  .default('')
  .transform((text) => Buffer.from(text, 'base64').toString('utf8'));

const header = z.object({ revision: int64 });

const keyValue = z
  .object({ key: base64Text, value: base64Text, create_revision: int64, mod_revision: int64 })
  .transform(
    (entry): KeyValue => ({
      key: entry.key,
      value: entry.value,
      createRevision: entry.create_revision,
      modRevision: entry.mod_revision,
    }),
  );

/** Answer to a read of a range. */
export const rangeAnswer = z.object({
  header,
  kvs: z.array(keyValue).default([]),
  more: z.boolean().default(false),
});

/** Answer to a transaction. */
export const transactionAnswer = z.object({
  header,
  succeeded: z.boolean().default(false),
  responses: z
    .array(
      z.object({ response_range: z.object({ kvs: z.array(keyValue).default([]) }).optional() }),
    )
    .default([]),
});

/** Answer to the grant of a lease. */
export const leaseGrantAnswer = z.object({ ID: idText, TTL: int64 });
/** Answer to the renewal of a lease. */
export const leaseKeepAliveAnswer = z.object({
  result: z.object({ ID: idText, TTL: int64 }),
});
/** Answer to the end of a lease. */
export const leaseRevokeAnswer = z.object({ header });

/** The body of every refusal. */
export const errorAnswer = z.object({
  code: z.int(),
  message: z.string().default('no message'),
});

const watchEvent = z
  .object({ type: z.enum(['PUT', 'DELETE']).default('PUT'), kv: keyValue })
  .transform(({ type, kv }): WatchEvent => {
    if (type === 'PUT') return { type: 'put', entry: kv };
    return { type: 'delete', key: kv.key, modRevision: kv.modRevision };
  });

/** One line of a watch's stream. */
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
/** One line of a watch. */
export type WatchLine = z.output<typeof watchLine>;

function base64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/**
 * The end of the range that covers every key with this prefix: the prefix with its last byte below
 * 0xff raised by one; `\0` (no end) if there is none.
 */
export function prefixRangeEnd(prefix: string): Buffer {
  const bytes = Buffer.from(prefix, 'utf8');
  const last = bytes.findLastIndex((byte) => byte < 0xff);
  if (last < 0) return Buffer.from([0]);
  const end = Buffer.from(bytes.subarray(0, last + 1));
  end.writeUInt8(end.readUInt8(last) + 1, last);
  return end;
}

/** A range of all keys with a prefix; the empty prefix means every key. */
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

/** Body of /v3/kv/txn; if a compare fails, the compared keys are read. */
export function transactionRequest(
  compares: readonly RevisionCompare[],
  operations: readonly TransactionOperation[],
): string {
  return JSON.stringify({
    compare: compares.map((compare) => ({
      key: base64(compare.key),
      target: 'MOD',
      result: 'EQUAL',
      mod_revision: String(compare.modRevision),
    })),
    success: operations.map(operationMessage),
    failure: compares.map((compare) => ({ request_range: { key: base64(compare.key) } })),
  });
}

function operationMessage(operation: TransactionOperation): object {
  const key = base64(operation.key);
  if (operation.type === 'delete') return { request_delete_range: { key } };
  const lease = operation.leaseId === undefined ? {} : { lease: operation.leaseId };
  return { request_put: { key, value: base64(operation.value), ...lease } };
}

/** Body of /v3/lease/grant. The store chooses the id. */
export function leaseGrantRequest(seconds: number): string {
  return JSON.stringify({ TTL: String(seconds), ID: '0' });
}

/** Body of /v3/lease/keepalive and /v3/lease/revoke. */
export function leaseRequest(leaseId: string): string {
  return JSON.stringify({ ID: leaseId });
}
