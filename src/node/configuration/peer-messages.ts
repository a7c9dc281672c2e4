/** The messages that nodes exchange about the configuration, checked where they are received. */
import { z } from 'zod';
import type { DeclarationKey } from '../../core/configuration/declaration.js';
import type { ConfigurationDelta } from '../../core/configuration/replica.js';
import { isDeclarationKey } from '../../core/configuration/store-layout.js';

/** Compares digests. */
export const DIGEST_METHOD = 'configuration.digest';
/** Fetches what changed after a revision. */
export const FETCH_METHOD = 'configuration.fetch';
/** Passes a change on. */
export const PUSH_METHOD = 'configuration.push';

const MAX_VALUE_LENGTH = 1_000_000;
const MAX_ENTRIES = 10_000;

const revisionSchema = z.int().min(0);
const keySchema = z.custom<DeclarationKey>(
  (value) => typeof value === 'string' && isDeclarationKey(value),
);
const entrySchema = z.object({
  key: keySchema,
  revision: revisionSchema,
  value: z.string().max(MAX_VALUE_LENGTH),
});
const deltaSchema = z.object({
  sinceRevision: revisionSchema,
  revision: revisionSchema,
  entries: z.array(entrySchema).max(MAX_ENTRIES),
});
const digestSchema = z.object({ revision: revisionSchema, hash: z.string().max(64) });

/** The asker's digest. */
export const digestRequestSchema = z.object({ digest: digestSchema });
/** The asked node's digest. */
export const digestAnswerSchema = z.object({ digest: digestSchema, ready: z.boolean() });
/** Asks for what changed after a revision, a page at a time. */
export const fetchRequestSchema = z.object({
  sinceRevision: revisionSchema,
  /** Last key of the page before; empty for the first page. */
  afterKey: z.string().max(200),
});
/** One page, in order of key. `more`: ask again after the last key of this one. */
export const fetchAnswerSchema = z.object({ delta: deltaSchema, more: z.boolean() });
/** A change on its way along the tree of `root`. */
export const pushRequestSchema = z.object({ root: z.string().max(200), delta: deltaSchema });

/** One page of a fetch. */
export type FetchAnswer = z.output<typeof fetchAnswerSchema>;

/** Bytes of values in one page or push, about; one entry is sent even if it is longer. */
export const PAGE_BYTES = 128 * 1024;

/** The page of a delta that follows a key. */
export function pageOf(delta: ConfigurationDelta, afterKey: string): FetchAnswer {
  const rest = delta.entries.filter((entry) => entry.key > afterKey);
  let bytes = 0;
  const page = rest.filter((entry, index) => {
    bytes += entry.value.length;
    return index === 0 || bytes <= PAGE_BYTES;
  });
  return { delta: { ...delta, entries: page }, more: page.length < rest.length };
}

/** True if a delta is small enough to be pushed whole. */
export function fitsOnePush(delta: ConfigurationDelta): boolean {
  return delta.entries.reduce((sum, entry) => sum + entry.value.length, 0) <= PAGE_BYTES;
}
