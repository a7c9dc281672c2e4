/** Checks and parses the messages by which nodes exchange directory snapshots. */

import { err, ok, type Result } from 'neverthrow';
import type {
  ConfigurationPart,
  DirectorySnapshot,
  DirectoryVersions,
  InstancesPart,
  MemberListPart,
  PrimariesPart,
  ServicePrimary,
  ServiceTerm,
} from '../../core/directory/snapshot.js';
import { isObject, type UncheckedFields } from '../../core/fields.js';
import type { NodeOutage } from '../../core/promotion/outage-reports.js';
import { parseInstanceEntry, parseNodeAddress } from '../../core/promotion/records.js';
import type { PeerAddress, WireValue } from '../../peer/contract.js';
import type { InstanceEntry } from '../contract.js';
import { SnapshotFormError } from './errors.js';

/** Peer method that returns the parts of the directory newer than the requester's versions. */
export const SNAPSHOT_METHOD = 'directory/snapshot';

const MAX_INSTANCES = 4096;
const MAX_PORT = 65_535;

/** Request for a snapshot. */
export interface SnapshotRequest {
  readonly known: DirectoryVersions;
  /** Address at which the requester accepts such requests itself. */
  readonly from: PeerAddress;
}

export type InstanceSnapshot = DirectorySnapshot<InstanceEntry>;

export function parseSnapshotRequest(value: WireValue): Result<SnapshotRequest, SnapshotFormError> {
  const known = isObject(value) ? parseVersions(value.known) : undefined;
  const from = isObject(value) ? parseNodeAddress(value.from) : undefined;
  if (known === undefined || from === undefined) {
    return err(new SnapshotFormError('malformed question for a snapshot'));
  }
  return ok({ known, from });
}

/** Parses a peer's response; rejected as a whole if any part is malformed. */
export function parseSnapshot(value: WireValue): Result<InstanceSnapshot, SnapshotFormError> {
  if (!isObject(value)) return malformed('answer');
  const configuration = parseOptional(value.configuration, parseConfiguration);
  const instances = parseOptional(value.instances, parseInstances);
  const primaries = parseOptional(value.primaries, parsePrimaries);
  const terms = parseList(value.terms, parseTerm);
  const members = parseOptional(value.members, parseMembers);
  const { ageMs, configurationAgeMs: proofAge } = value;
  if (configuration === null) return malformed('configuration');
  if (instances === null) return malformed('instances');
  if (primaries === null) return malformed('primaries');
  if (terms === undefined) return malformed('terms');
  if (members === null) return malformed('members');
  if (typeof ageMs !== 'number' || !Number.isFinite(ageMs) || ageMs < 0) return malformed('age');
  const snapshot = {
    ...{ configuration, instances, primaries, terms, ageMs },
    ...(members !== undefined && { members }),
  };
  return ok(isAge(proofAge) ? { ...snapshot, configurationAgeMs: proofAge } : snapshot);
}

function malformed(part: string): Result<never, SnapshotFormError> {
  return err(new SnapshotFormError(`malformed snapshot: ${part}`));
}

/** Undefined if the part is absent, null if it is malformed. */
function parseOptional<Part>(
  value: unknown,
  parse: (fields: UncheckedFields) => Part | undefined,
): Part | undefined | null {
  if (value === undefined || value === null) return undefined;
  return (isObject(value) ? parse(value) : undefined) ?? null;
}

function parseConfiguration({ version, text }: UncheckedFields): ConfigurationPart | undefined {
  return isCount(version) && typeof text === 'string' ? { version, text } : undefined;
}

function parseInstances(fields: UncheckedFields): InstancesPart<InstanceEntry> | undefined {
  const { revision } = fields;
  const instances = parseList(fields.instances, parseReachableInstance);
  const departed = parseList(fields.departed, parseReachableInstance);
  if (!isCount(revision) || instances === undefined || departed === undefined) return undefined;
  return { revision, instances, departed };
}

function parseMembers(fields: UncheckedFields): MemberListPart<InstanceEntry> | undefined {
  // Older versions report neither outages nor the size of the fleet.
  const { hasStore, listAgeMs, fleetNodes = 1 } = fields;
  const departed = parseList(fields.departed, parseReachableInstance);
  const outages = parseList(fields.outages ?? [], parseOutage);
  const hasAge = listAgeMs !== undefined && listAgeMs !== null;
  if (typeof hasStore !== 'boolean' || departed === undefined) return undefined;
  if (outages === undefined || !isCount(fleetNodes)) return undefined;
  if (hasAge && !isAge(listAgeMs)) return undefined;
  const age = hasAge ? (listAgeMs as number) : undefined;
  return { hasStore, departed, outages, fleetNodes, listAgeMs: age };
}

function parseOutage(value: unknown): NodeOutage | undefined {
  if (!isObject(value)) return undefined;
  const { node, ageMs } = value;
  return isNonEmptyString(node) && isAge(ageMs) ? { node, ageMs } : undefined;
}

/** Parses an instance with a valid port and slot count. */
function parseReachableInstance(value: unknown): InstanceEntry | undefined {
  const entry = parseInstanceEntry(value);
  return entry !== undefined && isPort(entry.port) && isCount(entry.slots) ? entry : undefined;
}

function parsePrimaries(fields: UncheckedFields): PrimariesPart | undefined {
  const { revision } = fields;
  const primaries = parseList(fields.primaries, parsePrimary);
  return isCount(revision) && primaries !== undefined ? { revision, primaries } : undefined;
}

function parsePrimary(value: unknown): ServicePrimary | undefined {
  if (!isObject(value)) return undefined;
  const { service, instanceId } = value;
  return isNonEmptyString(service) && isNonEmptyString(instanceId)
    ? { service, instanceId }
    : undefined;
}

function parseTerm(value: unknown): ServiceTerm | undefined {
  if (!isObject(value)) return undefined;
  const { service, instanceId, term } = value;
  if (!isNonEmptyString(service) || !isNonEmptyString(instanceId) || !isCount(term))
    return undefined;
  return { service, instanceId, term };
}

function parseVersions(value: unknown): DirectoryVersions | undefined {
  if (!isObject(value)) return undefined;
  const { version, instancesRevision, primariesRevision } = value;
  if (!isCount(version) || !isCount(instancesRevision) || !isCount(primariesRevision)) {
    return undefined;
  }
  return { version, instancesRevision, primariesRevision };
}

function parseList<Item>(
  value: unknown,
  parse: (item: unknown) => Item | undefined,
): Item[] | undefined {
  if (!Array.isArray(value) || value.length > MAX_INSTANCES) return undefined;
  const items = value.map(parse).filter((item) => item !== undefined);
  return items.length === value.length ? items : undefined;
}

function isPort(value: unknown): value is number {
  return isCount(value) && value > 0 && value <= MAX_PORT;
}

function isAge(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isCount(value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}

function isNonEmptyString(value: unknown): value is string {
  return typeof value === 'string' && value.length > 0;
}
