/** Parses the messages between readers and their followers. Hand-written: a schema library slows down the start. */
import { asObject, type UncheckedFields } from '../../core/fields.js';
import type { WireValue } from '../../peer/contract.js';
import type { KeyValue, WatchEvent } from '../../platform/contract.js';
import type { RelayedRange, WatchRequest } from './contract.js';

/** Undefined if malformed. */
export function parseWatchRequest(value: WireValue): WatchRequest | undefined {
  const fields = asObject(value);
  const { prefix, after } = fields ?? {};
  if (fields?.type !== 'watch' || typeof prefix !== 'string' || !isRevision(after))
    return undefined;
  return { type: 'watch', prefix, after };
}

/** Undefined if malformed. */
export function parseRelayedRange(value: WireValue): RelayedRange | undefined {
  const { after, revision, ageMs, clockMs, provenMs, events } = asObject(value) ?? {};
  if (!isRevision(after) || !isRevision(revision) || revision < after) return undefined;
  if (!isTime(ageMs) || ageMs < 0 || !isTime(clockMs) || !isTime(provenMs)) return undefined;
  if (provenMs > clockMs) return undefined;
  if (!Array.isArray(events)) return undefined;
  const read = events.map(parseEvent).filter((event) => event !== undefined);
  if (read.length !== events.length) return undefined;
  return { after, revision, ageMs, clockMs, provenMs, events: read };
}

/** Parsers by event type. */
const EVENTS: Readonly<
  Record<WatchEvent['type'], (fields: UncheckedFields) => WatchEvent | undefined>
> = {
  put: (fields) => {
    const entry = parseEntry(fields.entry);
    return entry && { type: 'put', entry };
  },
  delete: ({ key, modRevision }) => {
    if (typeof key !== 'string' || !isRevision(modRevision)) return undefined;
    return { type: 'delete', key, modRevision };
  },
};

function parseEvent(value: unknown): WatchEvent | undefined {
  const fields = asObject(value);
  if (fields?.type !== 'put' && fields?.type !== 'delete') return undefined;
  return EVENTS[fields.type](fields);
}

function parseEntry(value: unknown): KeyValue | undefined {
  const { key, value: text, createRevision, modRevision } = asObject(value) ?? {};
  if (typeof key !== 'string' || typeof text !== 'string') return undefined;
  if (!isRevision(createRevision) || !isRevision(modRevision)) return undefined;
  return { key, value: text, createRevision, modRevision };
}

function isTime(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value);
}

function isRevision(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
