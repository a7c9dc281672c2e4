/**
 * The JSON requests of etcd v3's HTTP gateway: base64 bytes, int64 as strings, names in snake or
 * camel case, absent fields meaning zero. Source: etcd's API reference, version 3.5.
 */
import { z } from 'zod';
import { type Compare, NO_LEASE, type Operation, StoreStandinError } from './model.js';

/** Decodes base64 to a `ByteString`. */
const bytes = z
  .base64()
  .default('')
  .transform((text) => Buffer.from(text, 'base64').toString('latin1'));
const integerText = z.union([z.string().regex(/^-?\d+$/), z.int().transform(String)]);
const int64 = integerText.default('0').transform(Number);
const leaseId = integerText.default(NO_LEASE);

const keyRange = { key: bytes, range_end: bytes };

/** Body of /v3/kv/range. Options that the stand-in does not support are rejected, never ignored. */
export const rangeMessage = z
  .object({
    ...keyRange,
    revision: int64,
    limit: int64,
    serializable: z.boolean().default(false),
    keys_only: z.boolean().default(false),
    count_only: z.boolean().default(false),
    sort_order: z.literal('NONE').default('NONE'),
  })
  .transform((message) => ({
    request: {
      key: message.key,
      rangeEnd: message.range_end,
      revision: message.revision,
      limit: message.limit,
    },
    keysOnly: message.keys_only,
    countOnly: message.count_only,
  }));
export type RangeMessage = z.output<typeof rangeMessage>;

/** Body of /v3/kv/put. */
export const putMessage = z
  .object({ key: bytes, value: bytes, lease: leaseId })
  .transform(({ key, value, lease }) => ({ key, value, leaseId: lease }));

/** Body of /v3/kv/deleterange. */
export const deleteRangeMessage = z
  .object(keyRange)
  .transform((message) => ({ key: message.key, rangeEnd: message.range_end }));

const compareMessage = z
  .object({
    ...keyRange,
    target: z.enum(['VERSION', 'CREATE', 'MOD', 'VALUE']).default('VERSION'),
    result: z.enum(['EQUAL', 'GREATER', 'LESS', 'NOT_EQUAL']).default('EQUAL'),
    version: int64,
    create_revision: int64,
    mod_revision: int64,
    value: bytes,
  })
  .transform((message): Compare => {
    const operands = {
      VERSION: message.version,
      CREATE: message.create_revision,
      MOD: message.mod_revision,
      VALUE: message.value,
    };
    const { key, range_end: rangeEnd, target, result } = message;
    return { key, rangeEnd, target, result, operand: operands[target] };
  });

const operationMessage = z.union([
  z
    .strictObject({ request_range: rangeMessage })
    .transform((message): Operation => ({ type: 'range', request: message.request_range.request })),
  z
    .strictObject({ request_put: putMessage })
    .transform((message): Operation => ({ type: 'put', request: message.request_put })),
  z.strictObject({ request_delete_range: deleteRangeMessage }).transform(
    (message): Operation => ({
      type: 'delete-range',
      request: message.request_delete_range,
    }),
  ),
]);

/** Body of /v3/kv/txn. */
export const transactionMessage = z
  .object({
    compare: z.array(compareMessage).default([]),
    success: z.array(operationMessage).default([]),
    failure: z.array(operationMessage).default([]),
  })
  .transform(({ compare, success, failure }) => ({ compares: compare, success, failure }));

/** Body of /v3/kv/compaction. */
export const compactionMessage = z.object({ revision: int64 });

/** Body of /v3/lease/grant. */
export const leaseGrantMessage = z.object({ ID: leaseId, TTL: int64 });

/** Body of /v3/lease/keepalive and /v3/lease/revoke. */
export const leaseIdMessage = z.object({ ID: leaseId });

/** Body of /v3/watch. */
export const watchMessage = z
  .object({
    create_request: z.object({
      ...keyRange,
      start_revision: int64,
      progress_notify: z.boolean().default(false),
    }),
  })
  .transform(({ create_request: create }) => ({
    range: { key: create.key, rangeEnd: create.range_end },
    startRevision: create.start_revision,
    progressNotify: create.progress_notify,
  }));
export type WatchMessage = z.output<typeof watchMessage>;

/** @throws StoreStandinError (INVALID_ARGUMENT) if the body does not match the schema. */
export function parseMessage<Schema extends z.ZodType>(
  schema: Schema,
  body: unknown,
): z.output<Schema> {
  const parsed = schema.safeParse(toSnakeCase(body ?? {}));
  if (parsed.success) return parsed.data;
  throw new StoreStandinError('INVALID_ARGUMENT', z.prettifyError(parsed.error));
}

/** The gateway accepts field names in snake and camel case; the schemas use snake case. */
function toSnakeCase(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(toSnakeCase);
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([name, field]) => [
      name.replace(/([a-z])([A-Z])/g, (_match, before: string, after: string) => {
        return `${before}_${after.toLowerCase()}`;
      }),
      toSnakeCase(field),
    ]),
  );
}
