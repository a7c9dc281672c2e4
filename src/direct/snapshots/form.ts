/** Forms of what nodes tell each other about the directory; all that comes over a link is checked here. */

import { err, ok, type Result } from 'neverthrow';
import type {
  ConfigurationPart,
  DirectorySnapshot,
  DirectoryVersions,
  InstancesPart,
  PrimariesPart,
  ServicePrimary,
  ServiceTerm,
} from '../../core/directory/snapshot.js';
import { isObject, type UncheckedFields } from '../../core/fields.js';
import { parseInstanceEntry, parseNodeAddress } from '../../core/promotion/records.js';
import type { PeerAddress, WireValue } from '../../peer/contract.js';
import type { InstanceEntry } from '../contract.js';
import { SnapshotFormError } from './errors.js';

/** Asks for what is newer than the marks in the question. */
export const SNAPSHOT_METHOD = 'directory/snapshot';

const MAX_INSTANCES = 4096;
const MAX_PORT = 65_535;

/** What a node asks its peers. */
export interface SnapshotQuestion {
  readonly known: DirectoryVersions;
  /** Where the asking node answers such questions itself. */
  readonly from: PeerAddress;
}

export type InstanceSnapshot = DirectorySnapshot<InstanceEntry>;

export function parseQuestion(value: WireValue): Result<SnapshotQuestion, SnapshotFormError> {
  const known = isObject(value) ? marksForm(value.known) : undefined;
  const from = isObject(value) ? parseNodeAddress(value.from) : undefined;
  if (known === undefined || from === undefined) {
    return err(new SnapshotFormError('malformed question for a snapshot'));
  }
  return ok({ known, from });
}

/** The answer of a peer; refused as a whole if any part of it is malformed. */
export function parseSnapshot(value: WireValue): Result<InstanceSnapshot, SnapshotFormError> {
  if (!isObject(value)) return malformed('answer');
  const configuration = optional(value.configuration, configurationForm);
  const instances = optional(value.instances, instancesForm);
  const primaries = optional(value.primaries, primariesForm);
  const terms = listForm(value.terms, termForm);
  const { ageMs, configurationAgeMs: proofAge } = value;
  if (configuration === null) return malformed('configuration');
  if (instances === null) return malformed('instances');
  if (primaries === null) return malformed('primaries');
  if (terms === undefined) return malformed('terms');
  if (typeof ageMs !== 'number' || !Number.isFinite(ageMs) || ageMs < 0) return malformed('age');
  const told = { configuration, instances, primaries, terms, ageMs };
  const isProof = typeof proofAge === 'number' && Number.isFinite(proofAge) && proofAge >= 0;
  return ok(isProof ? { ...told, configurationAgeMs: proofAge } : told);
}

function malformed(part: string): Result<never, SnapshotFormError> {
  return err(new SnapshotFormError(`malformed snapshot: ${part}`));
}

/** Undefined if the part is absent, null if it is malformed. */
function optional<Form>(
  value: unknown,
  form: (fields: UncheckedFields) => Form | undefined,
): Form | undefined | null {
  if (value === undefined || value === null) return undefined;
  return (isObject(value) ? form(value) : undefined) ?? null;
}

function configurationForm({ version, text }: UncheckedFields): ConfigurationPart | undefined {
  return isMark(version) && typeof text === 'string' ? { version, text } : undefined;
}

function instancesForm(fields: UncheckedFields): InstancesPart<InstanceEntry> | undefined {
  const { revision } = fields;
  const instances = listForm(fields.instances, reachableForm);
  const departed = listForm(fields.departed, reachableForm);
  if (!isMark(revision) || instances === undefined || departed === undefined) return undefined;
  return { revision, instances, departed };
}

/** An entry whose address a connection can be opened to. */
function reachableForm(value: unknown): InstanceEntry | undefined {
  const entry = parseInstanceEntry(value);
  return entry !== undefined && isPort(entry.port) && isMark(entry.slots) ? entry : undefined;
}

function primariesForm(fields: UncheckedFields): PrimariesPart | undefined {
  const { revision } = fields;
  const primaries = listForm(fields.primaries, primaryForm);
  return isMark(revision) && primaries !== undefined ? { revision, primaries } : undefined;
}

function primaryForm(value: unknown): ServicePrimary | undefined {
  if (!isObject(value)) return undefined;
  const { service, instanceId } = value;
  return isText(service) && isText(instanceId) ? { service, instanceId } : undefined;
}

function termForm(value: unknown): ServiceTerm | undefined {
  if (!isObject(value)) return undefined;
  const { service, instanceId, term } = value;
  if (!isText(service) || !isText(instanceId) || !isMark(term)) return undefined;
  return { service, instanceId, term };
}

function marksForm(value: unknown): DirectoryVersions | undefined {
  if (!isObject(value)) return undefined;
  const { version, instancesRevision, primariesRevision } = value;
  if (!isMark(version) || !isMark(instancesRevision) || !isMark(primariesRevision)) {
    return undefined;
  }
  return { version, instancesRevision, primariesRevision };
}

function listForm<Item>(
  value: unknown,
  form: (item: unknown) => Item | undefined,
): Item[] | undefined {
  if (!Array.isArray(value) || value.length > MAX_INSTANCES) return undefined;
  const items = value.map(form).filter((item) => item !== undefined);
  return items.length === value.length ? items : undefined;
}

function isPort(value: unknown): value is number {
  return isMark(value) && value > 0 && value <= MAX_PORT;
}

function isMark(value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}

function isText(value: unknown): value is string {
  return typeof value === 'string' && value.length > 0;
}
