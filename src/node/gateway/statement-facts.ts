/**
 * What a statement's text says of it: class and markers. Kept by text, since prepared statements
 * come again and again; texts with a once key don't come again and are not kept.
 */
import type { Result } from 'neverthrow';
import type { StatementClassification, StatementMarkers } from '../../postgres/contract.js';
import { classify } from '../../postgres/statements/classify.js';
import { type InvalidMarkerError, readMarkers } from '../../postgres/statements/markers.js';
import { TwoGenerationCache } from '../../postgres/two-generation-cache.js';

const MAXIMUM_KEPT_CHARACTERS = 1024;
const MAXIMUM_ENTRIES = 4096;
const MAXIMUM_CHARACTERS = 2 * 1024 * 1024;

/** What is known of a statement from its text alone. */
export interface StatementFacts {
  readonly outsideBlock: StatementClassification;
  readonly insideBlock: StatementClassification;
  readonly markers: Result<StatementMarkers, InvalidMarkerError>;
}

const kept = new TwoGenerationCache<StatementFacts>(MAXIMUM_ENTRIES, MAXIMUM_CHARACTERS);

/** Class and markers of a statement. */
export function factsOf(text: string): StatementFacts {
  const known = kept.get(text);
  if (known !== undefined) return known;
  const facts: StatementFacts = {
    outsideBlock: classify(text, false),
    insideBlock: classify(text, true),
    markers: readMarkers(text),
  };
  if (isWorthKeeping(text, facts)) kept.set(text, facts);
  return facts;
}

function isWorthKeeping(text: string, { markers, outsideBlock }: StatementFacts): boolean {
  if (text.length > MAXIMUM_KEPT_CHARACTERS || markers.isErr()) return false;
  // A class that is a write only for want of parsing time may be a read the next time.
  return markers.value.once === undefined && outsideBlock.access === 'read';
}
