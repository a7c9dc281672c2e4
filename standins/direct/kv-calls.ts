/** The calls of the metadata store: the input, effect and response of each. */
import { z } from 'zod';
import type { Milliseconds } from '../../src/core/units.js';
import { type Commit, NO_LEASE, type StoredEntry, StoreStandinError } from '../store/model.js';
import type { KvStore } from './kv-store.js';

const MAX_KEY_BYTES = 200;
const MAX_ENTRIES = 32;
const MAX_WAIT_MS = 30_000;
const MAX_TTL_MS = 600_000;
const MAX_PAGE_BYTES = 1_000_000;
/** Keys of the operator and of the instances, which transactions can't write. */
const PROTECTED_PREFIXES = ['op/', 'servers/'];

/** A renewal counts as a tenth of a read. */
export type CallKind = 'read' | 'write' | 'renewal';

export interface KvResponse {
  readonly status: number;
  readonly body: unknown;
}

export interface KvRequest {
  readonly parameters: URLSearchParams;
  readonly body: unknown;
  /** The last path segment, after the path of the call. */
  readonly parameter: string;
  readonly isStale: boolean;
}

type KvHandler = (
  store: KvStore,
  request: KvRequest,
  isGone: () => boolean,
) => KvResponse | Promise<KvResponse>;

export interface KvCall {
  readonly method: string;
  readonly path: string;
  readonly kind: CallKind;
  /** True for a long poll. */
  readonly isLongPoll?: boolean;
  readonly handle: KvHandler;
}

const key = z.string().refine((text) => Buffer.byteLength(text) <= MAX_KEY_BYTES);
const leaseMessage = z.object({ ttl_ms: z.int() });
const transactionMessage = z.object({
  expected_revision: z.array(z.object({ private_key: key, revision: z.int().min(0) })).default([]),
  put: z
    .array(z.object({ private_key: key, value: z.base64(), lease_id: z.int().default(0) }))
    .default([]),
  remove: z.array(key).default([]),
});
const keyParameters = z.object({ private_key: key });
const rangeParameters = z.object({ path_prefix: z.string(), after: z.string().optional() });
const watchParameters = z.object({
  path_prefix: z.string(),
  after: z.coerce.number().int().min(0),
  wait_ms: z.coerce.number().int().min(0).max(MAX_WAIT_MS).default(0),
});

function errorResponse(status: number, error: string): KvResponse {
  return { status, body: { error } };
}

/** Parses the input with `schema` before `handle` runs; responds with 400 if it does not match. */
function withSchema<Schema extends z.ZodType>(
  schema: Schema,
  pick: (request: KvRequest) => unknown,
  handle: (
    store: KvStore,
    input: z.output<Schema>,
    request: KvRequest,
    isGone: () => boolean,
  ) => KvResponse | Promise<KvResponse>,
): KvHandler {
  return (store, request, isGone) => {
    const input = schema.safeParse(pick(request));
    if (!input.success) return errorResponse(400, z.prettifyError(input.error));
    return handle(store, input.data, request, isGone);
  };
}

const queryParameters = (request: KvRequest): unknown => Object.fromEntries(request.parameters);

function toByteString(text: string): string {
  return Buffer.from(text, 'utf8').toString('latin1');
}

function toItem(entry: StoredEntry): Record<string, unknown> {
  return {
    private_key: Buffer.from(entry.key, 'latin1').toString('utf8'),
    value: Buffer.from(entry.value, 'latin1').toString('base64'),
    revision: entry.modRevision,
    created: entry.createRevision,
    lease_id: Number(entry.leaseId),
  };
}

function prefixRange(prefix: string): { readonly key: string; readonly rangeEnd: string } {
  return prefix === '' ? { key: '\0', rangeEnd: '\0' } : { key: prefix, rangeEnd: `${prefix}\xff` };
}

function readEntry(store: KvStore, privateKey: string, revision = 0): StoredEntry | undefined {
  const range = { key: toByteString(privateKey), rangeEnd: '', revision, limit: 1 };
  return store.engine.range(range).entries[0];
}

const readKey = withSchema(
  keyParameters,
  queryParameters,
  (store, { private_key }, { isStale }) => {
    const revision = isStale ? store.staleRevision() : store.engine.revision;
    const entry = readEntry(store, private_key, revision);
    if (entry === undefined) return errorResponse(404, 'no such key');
    return { status: 200, body: { ...toItem(entry), at_revision: revision } };
  },
);

const readRange = withSchema(
  rangeParameters,
  queryParameters,
  (store, { path_prefix, after }, { isStale }) => {
    const revision = isStale ? store.staleRevision() : store.engine.revision;
    const range = prefixRange(toByteString(path_prefix));
    const next = after === undefined ? range.key : `${toByteString(after)}\0`;
    const limit = store.faults.pageItems;
    const found = store.engine.range({ ...range, key: next, revision, limit });
    let size = 0;
    const items: Record<string, unknown>[] = [];
    for (const entry of found.entries) {
      size += entry.value.length;
      if (items.length > 0 && size > MAX_PAGE_BYTES) break;
      items.push(toItem(entry));
    }
    const has_more = items.length < found.count;
    return { status: 200, body: { items, has_more, at_revision: revision } };
  },
);

const watch = withSchema(
  watchParameters,
  queryParameters,
  async (store, input, _request, isGone) => {
    const { engine } = store;
    const prefix = toByteString(input.path_prefix);
    const eventsOf = (commits: readonly Commit[]): Record<string, unknown>[] =>
      commits
        .flatMap(({ events }) => events)
        .flatMap((event) => {
          const eventKey = event.type === 'PUT' ? event.entry.key : event.key;
          if (!eventKey.startsWith(prefix)) return [];
          if (event.type === 'PUT') return [toItem(event.entry)];
          return [{ private_key: event.key, revision: event.modRevision, deleted: true }];
        });
    // A revision above the store's own was lost in a restore.
    const isHistoryMissing =
      input.after + 1 < engine.compactedRevision || input.after > engine.revision;
    if (isHistoryMissing) return errorResponse(410, 'history has been compacted');
    let events = eventsOf(engine.commitsFrom(input.after + 1));
    if (events.length === 0) events = await nextEvents(store, input.wait_ms, eventsOf, isGone);
    return { status: 200, body: { events, at_revision: engine.revision } };
  },
);

/** The events of the next commit that has any, or none after `waitMs`. */
function nextEvents(
  store: KvStore,
  waitMs: Milliseconds,
  eventsOf: (commits: readonly Commit[]) => Record<string, unknown>[],
  isGone: () => boolean,
): Promise<Record<string, unknown>[]> {
  return new Promise((resolve) => {
    const end = (events: Record<string, unknown>[]): void => {
      clearTimeout(timer);
      unsubscribe();
      resolve(events);
    };
    const timer = setTimeout(() => end([]), waitMs);
    const unsubscribe = store.engine.subscribe((commit) => {
      const events = isGone() ? [] : eventsOf([commit]);
      if (events.length > 0 || isGone()) end(events);
    });
  });
}

const transact = withSchema(
  transactionMessage,
  ({ body }) => body,
  (store, message) => {
    const { expected_revision: expected, put, remove } = message;
    if (expected.length + put.length + remove.length > MAX_ENTRIES)
      return errorResponse(400, 'too many entries');
    const changed = [...put.map(({ private_key }) => private_key), ...remove];
    if (changed.some((name) => PROTECTED_PREFIXES.some((prefix) => name.startsWith(prefix)))) {
      return errorResponse(403, 'key is not writable by this call');
    }
    const values = put.map(({ value }) => Buffer.from(value, 'base64').toString('latin1'));
    if (values.some((value) => value.length > store.limits.valueBytes))
      return errorResponse(400, 'value too large');
    const mismatch = expected.some(
      ({ private_key, revision }) => (readEntry(store, private_key)?.modRevision ?? 0) !== revision,
    );
    if (mismatch) {
      const found = expected.map(({ private_key }) => readEntry(store, private_key));
      const items = found.filter((entry) => entry !== undefined).map(toItem);
      return { status: 412, body: { items, at_revision: store.engine.revision } };
    }
    return toResponse(() => {
      store.engine.transaction({
        compares: [],
        success: [
          ...put.map(({ private_key, lease_id }, index) => ({
            type: 'put' as const,
            request: {
              key: toByteString(private_key),
              value: values[index] ?? '',
              leaseId: lease_id === 0 ? NO_LEASE : String(lease_id),
            },
          })),
          ...remove.map((name) => ({
            type: 'delete-range' as const,
            request: { key: toByteString(name), rangeEnd: '' },
          })),
        ],
        failure: [],
      });
      return { revision: store.engine.revision };
    });
  },
);

/** Responds with 200 and the result of `run`, or with the engine's error. */
function toResponse(run: () => unknown): KvResponse {
  try {
    return { status: 200, body: run() };
  } catch (error) {
    if (!(error instanceof StoreStandinError)) throw error;
    return errorResponse(error.status === 'NOT_FOUND' ? 404 : 400, error.message);
  }
}

const grantLease = withSchema(
  leaseMessage,
  ({ body }) => body,
  (store, { ttl_ms }) => {
    if (ttl_ms < store.limits.minTtlMs || ttl_ms > MAX_TTL_MS) return errorResponse(400, 'ttl_ms');
    return { status: 200, body: { lease_id: store.grantLease(ttl_ms), ttl_ms } };
  },
);

const keepLease: KvHandler = ({ engine, leaseNow }, { parameter }) => {
  const seconds = engine.keepLeaseAlive(parameter, leaseNow);
  if (seconds === 0) return errorResponse(404, 'no such lease');
  return { status: 200, body: { ttl_ms: Math.round(seconds * 1000) } };
};

const endLease: KvHandler = ({ engine }, { parameter }) =>
  toResponse(() => {
    engine.revokeLease(parameter);
    return {};
  });

/** All calls. `path` excludes a trailing id. */
export const KV_CALLS: readonly KvCall[] = [
  { method: 'GET', path: '/v1/kv-key', kind: 'read', handle: readKey },
  { method: 'GET', path: '/v1/kv-range', kind: 'read', handle: readRange },
  { method: 'GET', path: '/v1/kv-watch', kind: 'read', isLongPoll: true, handle: watch },
  { method: 'POST', path: '/v1/kv-txn', kind: 'write', handle: transact },
  { method: 'POST', path: '/v1/kv-lease', kind: 'write', handle: grantLease },
  { method: 'POST', path: '/v1/kv-keep', kind: 'renewal', handle: keepLease },
  { method: 'DELETE', path: '/v1/kv-lease-end', kind: 'write', handle: endLease },
];
