/** The messages that nodes exchange about the configuration, checked where they are received. */
import { z } from 'zod';
import type { DeclarationKey } from '../../core/configuration/declaration.js';
import type { ConfigurationDelta } from '../../core/configuration/replica.js';
import { isDeclarationKey } from '../../core/configuration/store-layout.js';

/** Exchanges digests. */
export const DIGEST_METHOD = 'configuration.digest';
/** Fetches what changed after a revision. */
export const FETCH_METHOD = 'configuration.fetch';
/** Pushes a change. */
export const PUSH_METHOD = 'configuration.push';

const MAX_VALUE_CHARACTERS = 1_000_000;
const MAX_ENTRIES = 10_000;

const revisionSchema = z.int().min(0);
const keySchema = z.custom<DeclarationKey>(
  (value) => typeof value === 'string' && isDeclarationKey(value),
);
const entrySchema = z.object({
  key: keySchema,
  revision: revisionSchema,
  value: z.string().max(MAX_VALUE_CHARACTERS),
});
const deltaSchema = z.object({
  sinceRevision: revisionSchema,
  revision: revisionSchema,
  entries: z.array(entrySchema).max(MAX_ENTRIES),
});
const digestSchema = z.object({ revision: revisionSchema, hash: z.string().max(64) });

/** Digest of the requesting node. */
export const digestRequestSchema = z.object({ digest: digestSchema });
/** Digest of the responding node. */
export const digestResponseSchema = z.object({ digest: digestSchema, ready: z.boolean() });
/** Requests one page of the changes after a revision. */
export const fetchRequestSchema = z.object({
  sinceRevision: revisionSchema,
  /** Last key of the previous page; empty for the first page. */
  afterKey: z.string().max(200),
});
/** One page, ordered by key. `more`: another page follows after its last key. */
export const fetchResponseSchema = z.object({ delta: deltaSchema, more: z.boolean() });
/** A change that is forwarded along the push tree of the node `root`. */
export const pushRequestSchema = z.object({ root: z.string().max(200), delta: deltaSchema });

/** One page of a fetch. */
export type FetchResponse = z.output<typeof fetchResponseSchema>;

/** Size of the values in one page or push; a single entry is sent even if it is longer. */
export const MAX_PAGE_CHARACTERS = 128 * 1024;

/** Selects the page of a delta that follows a key. */
export function selectPage(delta: ConfigurationDelta, afterKey: string): FetchResponse {
  const remaining = delta.entries.filter((entry) => entry.key > afterKey);
  let characters = 0;
  const page = remaining.filter((entry, index) => {
    characters += entry.value.length;
    return index === 0 || characters <= MAX_PAGE_CHARACTERS;
  });
  return { delta: { ...delta, entries: page }, more: page.length < remaining.length };
}

/** True if a delta is small enough to be sent in one push. */
export function fitsInOnePush(delta: ConfigurationDelta): boolean {
  return delta.entries.reduce((sum, entry) => sum + entry.value.length, 0) <= MAX_PAGE_CHARACTERS;
}
