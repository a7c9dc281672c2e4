/**
 * Plans a publish as one compare-and-swap transaction. All publishes compare and touch the head
 * key, so that they form one line of versions, and each leaves a record under its publish id.
 *
 * A lost answer is resolved by reading the record of the publish id back. If it is absent and the
 * head has moved, the transaction can never apply any more, since its compare on the head fails
 * for good; if the head has not moved, sending the very same transaction again applies it at most
 * once, since the first to arrive moves the head.
 */
import { err, ok, type Result } from 'neverthrow';
import type { KeyValue, RevisionCompare, TransactionOperation } from '../../platform/contract.js';
import { type Catalogue, type CatalogueEntry, resolveCatalogue } from './catalogue.js';
import {
  type Declaration,
  type DeclarationKey,
  keyOf,
  type LocatedDeclaration,
  unlocated,
} from './declaration.js';
import { differencesOf, type FieldDifference } from './difference.js';
import type { DocumentProblem } from './document.js';
import {
  type ConflictingVersion,
  InvalidDeclarationError,
  PublishConflictError,
} from './errors.js';
import type { ConfigurationRevision } from './model.js';
import { isRouteTemplate } from './route-templates.js';
import {
  type ConfigurationEntry,
  currentKeyOf,
  decodeEntry,
  entriesOf,
  HEAD_KEY,
  historyKeyOf,
  type PublishRecord,
  publishKeyOf,
  type StoredEntry,
} from './store-layout.js';

/** Versions of one name that the store keeps. */
export const HISTORY_VERSIONS = 20;
/** Publish records that the store keeps. */
export const PUBLISH_RECORDS = 200;
/** Declarations in one publish: three operations each stay within a store's usual 128. */
export const MAX_CHANGES_PER_PUBLISH = 40;
/** A declaration as JSON: bounded by what one message between nodes may carry. */
export const MAX_DECLARATION_BYTES = 128 * 1024;
const MAX_RECORDS_PRUNED_PER_PUBLISH = 4;

/** What the store holds, read at one revision. */
export interface PublishedState {
  /** Mod revision of the head key; 0 before the first publish. */
  readonly headRevision: ConfigurationRevision;
  readonly entries: ReadonlyMap<DeclarationKey, PublishedEntry>;
}

/** A stored declaration or tombstone with its revision. */
export interface PublishedEntry extends StoredEntry {
  readonly revision: ConfigurationRevision;
}

/** One declaration to put, or one to remove. */
export type ProposedChange =
  | { readonly type: 'put'; readonly located: LocatedDeclaration }
  | { readonly type: 'remove'; readonly key: DeclarationKey };

/** Who publishes what, and on which versions it is based. */
export interface PublishRequest {
  readonly publishId: string;
  readonly publishedAt: number;
  readonly author: string;
  readonly comment: string;
  readonly changes: readonly ProposedChange[];
  /** Revision that each changed declaration must still have; 0: it must not exist. */
  readonly expectedRevisions: ReadonlyMap<DeclarationKey, ConfigurationRevision>;
}

/** The change to one declaration. */
export interface PlannedChange {
  readonly key: DeclarationKey;
  readonly version: number;
  readonly removed: boolean;
  readonly differences: readonly FieldDifference[];
}

/** A transaction ready to send. No operations: nothing would change. */
export interface PublishPlan {
  readonly publishId: string;
  readonly changes: readonly PlannedChange[];
  readonly compares: readonly RevisionCompare[];
  readonly operations: readonly TransactionOperation[];
}

/** Plans a publish against what the store holds, or tells why it can't be. */
export function planPublish(
  current: PublishedState,
  request: PublishRequest,
  oldRecordKeys: readonly string[] = [],
): Result<PublishPlan, PublishConflictError | InvalidDeclarationError> {
  const conflicts = findConflicts(current, request);
  if (conflicts.length > 0) return err(new PublishConflictError(conflicts));
  const changes = request.changes.filter((change) => isChange(current, change));
  const invalid = checkChanges(current, changes);
  if (invalid !== undefined) return err(invalid);
  const planned = changes.map((change) => planChange(current, change));
  return ok(planOf(current, request, changes, planned, oldRecordKeys));
}

/** What the store holds, from a range over the current prefix. */
export function publishedStateOf(keyValues: readonly KeyValue[]): PublishedState {
  const head = keyValues.find(({ key }) => key === HEAD_KEY);
  return {
    headRevision: head?.modRevision ?? 0,
    entries: decodeEntries(entriesOf(keyValues)),
  };
}

/** Decodes entries by key; those that can't be decoded are left out. */
export function decodeEntries(
  entries: Iterable<ConfigurationEntry>,
): ReadonlyMap<DeclarationKey, PublishedEntry> {
  const decoded = new Map<DeclarationKey, PublishedEntry>();
  for (const { key, revision, value } of entries) {
    const stored = decodeEntry(key, value);
    if (stored.isOk()) decoded.set(key, { ...stored.value, revision });
  }
  return decoded;
}

/** The declarations in force; tombstones are left out. */
export function liveCatalogueOf(
  entries: ReadonlyMap<DeclarationKey, PublishedEntry>,
): Map<DeclarationKey, CatalogueEntry> {
  const catalogue = new Map<DeclarationKey, CatalogueEntry>();
  for (const [key, { declaration, revision }] of entries) {
    if (declaration !== null) catalogue.set(key, { ...unlocated(declaration), revision });
  }
  return catalogue;
}

/** Key of the declaration that a change is about. */
export function keyOfChange(change: ProposedChange): DeclarationKey {
  return change.type === 'remove' ? change.key : keyOf(change.located.declaration);
}

/** What the change would leave in force: undefined for a removal. */
function declarationOf(change: ProposedChange): Declaration | undefined {
  return change.type === 'remove' ? undefined : change.located.declaration;
}

/** Revision of a live declaration; 0 for none. A tombstone counts as none. */
export function liveRevisionOf(current: PublishedState, key: DeclarationKey): number {
  const entry = current.entries.get(key);
  return entry === undefined || entry.declaration === null ? 0 : entry.revision;
}

function findConflicts(current: PublishedState, request: PublishRequest): ConflictingVersion[] {
  return request.changes.flatMap((change) => {
    const key = keyOfChange(change);
    const expectedRevision = request.expectedRevisions.get(key);
    const currentRevision = liveRevisionOf(current, key);
    if (expectedRevision === undefined || expectedRevision === currentRevision) return [];
    const inForce = current.entries.get(key)?.declaration ?? undefined;
    const proposed = declarationOf(change);
    return [{ key, expectedRevision, currentRevision, current: inForce, proposed }];
  });
}

function isChange(current: PublishedState, change: ProposedChange): boolean {
  const inForce = current.entries.get(keyOfChange(change))?.declaration ?? undefined;
  return differencesOf(inForce, declarationOf(change)).length > 0;
}

/** Checks the catalogue as it would be. Faults that were there before don't stand in the way. */
function checkChanges(
  current: PublishedState,
  changes: readonly ProposedChange[],
): InvalidDeclarationError | undefined {
  if (changes.length > MAX_CHANGES_PER_PUBLISH) {
    return new InvalidDeclarationError([tooManyChanges(changes)]);
  }
  const elsewhere = changes.flatMap(gatewayProblem);
  if (elsewhere.length > 0) return new InvalidDeclarationError(elsewhere);
  const tooLarge = changes.flatMap(sizeProblem);
  if (tooLarge.length > 0) return new InvalidDeclarationError(tooLarge);
  const before = liveCatalogueOf(current.entries);
  const known = new Set(resolveCatalogue(before).problems.map(problemIdentity));
  const after = applyChanges(before, changes);
  const problems = resolveCatalogue(after).problems.filter(
    (problem) => !known.has(problemIdentity(problem)),
  );
  return problems.length > 0 ? new InvalidDeclarationError(problems) : undefined;
}

/** Templates of the direct gateway are built into it; its nodes read nothing from this store. */
function gatewayProblem(change: ProposedChange): DocumentProblem[] {
  if (change.type !== 'put' || !isRouteTemplate(change.located.declaration)) return [];
  const expected = 'a template for the proxy; those of the direct gateway are built into it';
  return [{ location: change.located.locate(['gateway']), field: 'gateway', expected }];
}

function applyChanges(before: Catalogue, changes: readonly ProposedChange[]): Catalogue {
  const after = new Map(before);
  for (const change of changes) {
    if (change.type === 'remove') after.delete(change.key);
    else after.set(keyOfChange(change), { ...change.located, revision: 0 });
  }
  return after;
}

function problemIdentity(problem: {
  readonly location: { readonly source: string };
  readonly field: string;
  readonly expected: string;
}): string {
  return JSON.stringify([problem.location.source, problem.field, problem.expected]);
}

function tooManyChanges(changes: readonly ProposedChange[]): DocumentProblem {
  const source = `publish of ${changes.length} declarations`;
  return {
    location: { source, line: undefined, column: undefined },
    field: '',
    expected: `at most ${MAX_CHANGES_PER_PUBLISH} changed declarations in one publish`,
  };
}

function sizeProblem(change: ProposedChange): DocumentProblem[] {
  if (change.type === 'remove') return [];
  const { declaration, locate } = change.located;
  if (Buffer.byteLength(JSON.stringify(declaration)) <= MAX_DECLARATION_BYTES) return [];
  const expected = `a declaration of at most ${MAX_DECLARATION_BYTES} bytes`;
  return [{ location: locate([]), field: '', expected }];
}

function planChange(current: PublishedState, change: ProposedChange): PlannedChange {
  const key = keyOfChange(change);
  const entry = current.entries.get(key);
  return {
    key,
    version: (entry?.version ?? 0) + 1,
    removed: change.type === 'remove',
    differences: differencesOf(entry?.declaration ?? undefined, declarationOf(change)),
  };
}

function planOf(
  current: PublishedState,
  request: PublishRequest,
  changes: readonly ProposedChange[],
  planned: readonly PlannedChange[],
  oldRecordKeys: readonly string[],
): PublishPlan {
  const { publishId } = request;
  if (planned.length === 0) return { publishId, changes: [], compares: [], operations: [] };
  const writes = changes.flatMap((change, index) => {
    const version = planned[index]?.version ?? 1;
    return operationsOf(change, version, publishId);
  });
  const prunes = prunedRecords(oldRecordKeys).map(deletion);
  const record = recordOf(request, planned);
  return {
    publishId,
    changes: planned,
    compares: [{ key: HEAD_KEY, modRevision: current.headRevision }],
    operations: [
      ...writes,
      ...prunes,
      { type: 'put', key: publishKeyOf(publishId), value: JSON.stringify(record) },
      { type: 'put', key: HEAD_KEY, value: JSON.stringify({ publishId }) },
    ],
  };
}

function operationsOf(
  change: ProposedChange,
  version: number,
  publishId: string,
): TransactionOperation[] {
  const key = keyOfChange(change);
  const declaration = declarationOf(change) ?? null;
  const value = JSON.stringify({ version, publishId, declaration } satisfies StoredEntry);
  const operations: TransactionOperation[] = [
    { type: 'put', key: currentKeyOf(key), value },
    { type: 'put', key: historyKeyOf(key, version), value },
  ];
  const oldest = version - HISTORY_VERSIONS;
  return oldest < 1 ? operations : [...operations, deletion(historyKeyOf(key, oldest))];
}

function recordOf(request: PublishRequest, planned: readonly PlannedChange[]): PublishRecord {
  const { publishId, publishedAt, author, comment } = request;
  const changes = planned.map(({ key, version, removed }) => ({ key, version, removed }));
  return { publishId, publishedAt, author, comment, changes };
}

/** The oldest records beyond the bound; `keys` are oldest first. */
function prunedRecords(keys: readonly string[]): readonly string[] {
  const excess = Math.max(0, keys.length + 1 - PUBLISH_RECORDS);
  return keys.slice(0, Math.min(excess, MAX_RECORDS_PRUNED_PER_PUBLISH));
}

function deletion(key: string): TransactionOperation {
  return { type: 'delete', key };
}
