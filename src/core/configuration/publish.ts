/**
 * Plans a publish as one compare-and-swap transaction. Every publish compares and writes the head
 * key, so that all publishes form one linear history, and stores a record under its publish id.
 *
 * If the store's response is lost, the publisher reads the record of the publish id. If the record
 * is absent and the head has changed, the transaction can no longer be applied, because its compare
 * on the head will always fail. If the head is unchanged, the same transaction can be sent again:
 * it is applied at most once, because the first copy to arrive changes the head.
 */
import { err, ok, type Result } from 'neverthrow';
import type { KeyValue, RevisionCompare, TransactionOperation } from '../../platform/contract.js';
import { type Catalogue, type CatalogueEntry, resolveCatalogue } from './catalogue.js';
import {
  type Declaration,
  type DeclarationKey,
  keyOf,
  type LocatedDeclaration,
  withoutLocation,
} from './declaration.js';
import { type FieldDifference, findDifferences } from './difference.js';
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
  HEAD_KEY,
  historyKeyOf,
  type PublishRecord,
  publishKeyOf,
  type StoredEntry,
  toConfigurationEntries,
} from './store-layout.js';

/** Number of versions of each declaration that the store keeps. */
export const MAX_HISTORY_VERSIONS = 20;
/** Number of publish records that the store keeps. */
export const MAX_PUBLISH_RECORDS = 200;
/** Three store operations per declaration stay within the usual limit of 128 per transaction. */
export const MAX_CHANGES_PER_PUBLISH = 40;
/** Size of a declaration as JSON; bounded by the maximum size of a message between nodes. */
export const MAX_DECLARATION_BYTES = 128 * 1024;
const MAX_RECORDS_PRUNED_PER_PUBLISH = 4;

/** The published declarations, read from the store at one revision. */
export interface PublishedState {
  /** Mod revision of the head key; 0 before the first publish. */
  readonly headRevision: ConfigurationRevision;
  readonly entries: ReadonlyMap<DeclarationKey, PublishedEntry>;
}

/** A stored declaration or tombstone with its revision. */
export interface PublishedEntry extends StoredEntry {
  readonly revision: ConfigurationRevision;
}

/** A declaration to add or replace, or the key of one to remove. */
export type ProposedChange =
  | { readonly type: 'put'; readonly located: LocatedDeclaration }
  | { readonly type: 'remove'; readonly key: DeclarationKey };

/** A publish: its author, its changes, and the versions that they are based on. */
export interface PublishRequest {
  readonly publishId: string;
  readonly publishedAt: number;
  readonly author: string;
  readonly comment: string;
  readonly changes: readonly ProposedChange[];
  /** Revision that each changed declaration must still have; 0: it must not exist; absent: any. */
  readonly expectedRevisions: ReadonlyMap<DeclarationKey, ConfigurationRevision>;
}

/** The change of one declaration that a publish would make. */
export interface PlannedChange {
  readonly key: DeclarationKey;
  readonly version: number;
  readonly removed: boolean;
  readonly differences: readonly FieldDifference[];
}

/** A transaction for the store. Without operations: the publish would change nothing. */
export interface PublishPlan {
  readonly publishId: string;
  readonly changes: readonly PlannedChange[];
  readonly compares: readonly RevisionCompare[];
  readonly operations: readonly TransactionOperation[];
}

/**
 * Plans a publish against the stored declarations; fails if it conflicts with them or is invalid.
 * @param recordKeys store keys of all publish records, oldest first; the excess is deleted
 */
export function planPublish(
  current: PublishedState,
  request: PublishRequest,
  recordKeys: readonly string[] = [],
): Result<PublishPlan, PublishConflictError | InvalidDeclarationError> {
  const conflicts = findConflicts(current, request);
  if (conflicts.length > 0) return err(new PublishConflictError(conflicts));
  const changes = request.changes.filter((change) => changesDeclaration(current, change));
  const invalid = checkChanges(current, changes);
  if (invalid !== undefined) return err(invalid);
  const planned = changes.map((change) => planChange(current, change));
  return ok(createPlan(current, request, changes, planned, recordKeys));
}

/** Decodes the result of a range request for the current prefix. */
export function toPublishedState(keyValues: readonly KeyValue[]): PublishedState {
  const head = keyValues.find(({ key }) => key === HEAD_KEY);
  return {
    headRevision: head?.modRevision ?? 0,
    entries: decodeEntries(toConfigurationEntries(keyValues)),
  };
}

/** Decodes entries, by key; leaves out those that can't be decoded. */
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

/** The declarations in force, without tombstones. */
export function toLiveCatalogue(
  entries: ReadonlyMap<DeclarationKey, PublishedEntry>,
): Map<DeclarationKey, CatalogueEntry> {
  const catalogue = new Map<DeclarationKey, CatalogueEntry>();
  for (const [key, { declaration, revision }] of entries) {
    if (declaration !== null) catalogue.set(key, { ...withoutLocation(declaration), revision });
  }
  return catalogue;
}

/** Key of the declaration that a change adds, replaces or removes. */
export function keyOfChange(change: ProposedChange): DeclarationKey {
  return change.type === 'remove' ? change.key : keyOf(change.located.declaration);
}

/** The declaration that would be in force after the change; undefined for a removal. */
function declarationOf(change: ProposedChange): Declaration | undefined {
  return change.type === 'remove' ? undefined : change.located.declaration;
}

/** Revision of a declaration in force; 0 if it does not exist or was removed. */
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

function changesDeclaration(current: PublishedState, change: ProposedChange): boolean {
  const inForce = current.entries.get(keyOfChange(change))?.declaration ?? undefined;
  return findDifferences(inForce, declarationOf(change)).length > 0;
}

/** Checks the catalogue that would result. Problems that exist already don't prevent a publish. */
function checkChanges(
  current: PublishedState,
  changes: readonly ProposedChange[],
): InvalidDeclarationError | undefined {
  if (changes.length > MAX_CHANGES_PER_PUBLISH) {
    return new InvalidDeclarationError([createTooManyChangesProblem(changes)]);
  }
  const gatewayProblems = changes.flatMap(checkGateway);
  if (gatewayProblems.length > 0) return new InvalidDeclarationError(gatewayProblems);
  const tooLarge = changes.flatMap(checkSize);
  if (tooLarge.length > 0) return new InvalidDeclarationError(tooLarge);
  const before = toLiveCatalogue(current.entries);
  const existingProblems = new Set(resolveCatalogue(before).problems.map(problemIdentity));
  const after = applyChanges(before, changes);
  const problems = resolveCatalogue(after).problems.filter(
    (problem) => !existingProblems.has(problemIdentity(problem)),
  );
  return problems.length > 0 ? new InvalidDeclarationError(problems) : undefined;
}

/**
 * Rejects templates of the direct gateway: they are built into it, and its nodes don't read this
 * store.
 */
function checkGateway(change: ProposedChange): DocumentProblem[] {
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

function createTooManyChangesProblem(changes: readonly ProposedChange[]): DocumentProblem {
  const source = `publish of ${changes.length} declarations`;
  return {
    location: { source, line: undefined, column: undefined },
    field: '',
    expected: `at most ${MAX_CHANGES_PER_PUBLISH} changed declarations in one publish`,
  };
}

function checkSize(change: ProposedChange): DocumentProblem[] {
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
    differences: findDifferences(entry?.declaration ?? undefined, declarationOf(change)),
  };
}

function createPlan(
  current: PublishedState,
  request: PublishRequest,
  changes: readonly ProposedChange[],
  planned: readonly PlannedChange[],
  recordKeys: readonly string[],
): PublishPlan {
  const { publishId } = request;
  if (planned.length === 0) return { publishId, changes: [], compares: [], operations: [] };
  const writes = changes.flatMap((change, index) => {
    const version = planned[index]?.version ?? 1;
    return operationsOf(change, version, publishId);
  });
  const pruneOperations = selectRecordsToPrune(recordKeys).map(createDeletion);
  const record = createRecord(request, planned);
  return {
    publishId,
    changes: planned,
    compares: [{ key: HEAD_KEY, modRevision: current.headRevision }],
    operations: [
      ...writes,
      ...pruneOperations,
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
  const oldest = version - MAX_HISTORY_VERSIONS;
  return oldest < 1 ? operations : [...operations, createDeletion(historyKeyOf(key, oldest))];
}

function createRecord(request: PublishRequest, planned: readonly PlannedChange[]): PublishRecord {
  const { publishId, publishedAt, author, comment } = request;
  const changes = planned.map(({ key, version, removed }) => ({ key, version, removed }));
  return { publishId, publishedAt, author, comment, changes };
}

/** Selects the oldest of the records in excess of the limit; `keys` are sorted oldest first. */
function selectRecordsToPrune(keys: readonly string[]): readonly string[] {
  const excess = Math.max(0, keys.length + 1 - MAX_PUBLISH_RECORDS);
  return keys.slice(0, Math.min(excess, MAX_RECORDS_PRUNED_PER_PUBLISH));
}

function createDeletion(key: string): TransactionOperation {
  return { type: 'delete', key };
}
