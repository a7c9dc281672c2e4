/**
 * Classification and markers of a statement, from its text. Cached by text, since prepared
 * statements repeat; texts with an idempotency key don't repeat and are not cached.
 */
import type { Result } from 'neverthrow';
import type { StatementClassification, StatementMarkers } from '../../postgres/contract.js';
import { classify } from '../../postgres/statements/classify.js';
import { type InvalidMarkerError, readMarkers } from '../../postgres/statements/markers.js';
import { TwoGenerationCache } from '../../postgres/two-generation-cache.js';

const MAX_CACHED_STATEMENT_CHARACTERS = 1024;
const MAX_CACHE_ENTRIES = 4096;
const MAX_CACHE_CHARACTERS = 2 * 1024 * 1024;

/** What is known about a statement from its text alone. */
export interface StatementFacts {
  readonly outsideBlock: StatementClassification;
  readonly insideBlock: StatementClassification;
  readonly markers: Result<StatementMarkers, InvalidMarkerError>;
}

const factsCache = new TwoGenerationCache<StatementFacts>(MAX_CACHE_ENTRIES, MAX_CACHE_CHARACTERS);

/** Classification and markers of a statement. */
export function factsOf(text: string): StatementFacts {
  const cached = factsCache.get(text);
  if (cached !== undefined) return cached;
  const facts: StatementFacts = {
    outsideBlock: classify(text, false),
    insideBlock: classify(text, true),
    markers: readMarkers(text),
  };
  if (isCacheable(text, facts)) factsCache.set(text, facts);
  return facts;
}

function isCacheable(text: string, { markers, outsideBlock }: StatementFacts): boolean {
  if (text.length > MAX_CACHED_STATEMENT_CHARACTERS || markers.isErr()) return false;
  // Writes are not cached: a statement that counts as a write only because it was not parsed within
  // the time limit may be classified as a read the next time.
  return markers.value.once === undefined && outsideBlock.access === 'read';
}
