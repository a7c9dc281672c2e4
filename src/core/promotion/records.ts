/**
 * Keys and JSON values that the nodes write to the store to agree on primaries. All nodes watch the records.
 * Only the leader watches the keys that every node writes: if all nodes watched them, traffic would grow
 * with the square of the number of nodes.
 */

import { isDeepStrictEqual } from 'node:util';
import type { InstanceEntry, InstanceRole } from '../../direct/contract.js';
import type { PeerAddress } from '../../peer/contract.js';
import type { KeyValue } from '../../platform/contract.js';
import { isObject, type UncheckedFields } from '../fields.js';
import type { OwnerRoster, ReachableNode } from '../ownership/owner-roster.js';
import type { Position } from '../position.js';
import type { QuotaKeepers } from '../tenancy/quota-keepers.js';
import type { InstanceIncarnation } from './incarnations.js';

const MAX_PORT = 65_535;
/** Numeric IPv4 address: host names are never resolved. */
const HOST_PATTERN = /^\d{1,3}(\.\d{1,3}){3}$/;

/** Prefix that every node watches. */
export const RECORD_PREFIX = 'server-groups/';
/** Prefix that only the leader watches. */
export const LEADER_WATCH_PREFIX = 'meadowstack-duty/';
export const LEADER_KEY = `${RECORD_PREFIX}leader`;
export const FLEET_KEY = `${RECORD_PREFIX}fleet`;
/** Latest store era that a leader has settled: it waited until nothing of the previous era was in effect. */
export const ERA_KEY = `${RECORD_PREFIX}era`;
export const PEERS_KEY = `${RECORD_PREFIX}peers`;
const PRIMARY_PREFIX = `${RECORD_PREFIX}primary/`;
const MEMBERS_PREFIX = `${RECORD_PREFIX}members/`;
/** Prefix of the nodes' registrations, one key per node. */
export const NODE_PREFIX = `${LEADER_WATCH_PREFIX}nodes/`;
const ACKNOWLEDGEMENT_PREFIX = `${LEADER_WATCH_PREFIX}acks/`;
const SUSPICION_PREFIX = `${LEADER_WATCH_PREFIX}suspects/`;
const HANDOVER_PREFIX = `${LEADER_WATCH_PREFIX}notes/`;

export const primaryKeyOf = (service: string): string => PRIMARY_PREFIX + encode(service);
export const membersKeyOf = (service: string): string => MEMBERS_PREFIX + encode(service);
export const nodeKeyOf = (node: string): string => NODE_PREFIX + encode(node);
export const handoverKeyOf = (service: string): string => HANDOVER_PREFIX + encode(service);
export const acknowledgementPrefixOf = (service: string): string =>
  `${ACKNOWLEDGEMENT_PREFIX}${encode(service)}/`;
export const acknowledgementKeyOf = (service: string, node: string): string =>
  acknowledgementPrefixOf(service) + encode(node);
export const suspicionKeyOf = (service: string, node: string): string =>
  `${SUSPICION_PREFIX}${encode(service)}/${encode(node)}`;

/** Service of a primary record's key; undefined for any other key. */
export function serviceOfPrimaryKey(key: string): string | undefined {
  return key.startsWith(PRIMARY_PREFIX) ? decode(key.slice(PRIMARY_PREFIX.length)) : undefined;
}

/** Whether a key holds the members record of a service. */
export function isMembersKey(key: string): boolean {
  return key.startsWith(MEMBERS_PREFIX);
}

/** Service of a members record's key; undefined for any other key. */
export function serviceOfMembersKey(key: string): string | undefined {
  return isMembersKey(key) ? decode(key.slice(MEMBERS_PREFIX.length)) : undefined;
}

/** Whether a key holds a leader's handover record. */
export function isHandoverKey(key: string): boolean {
  return key.startsWith(HANDOVER_PREFIX);
}

/** Whether a key holds a node's acknowledgement of a primary change. */
export function isAcknowledgementKey(key: string): boolean {
  return key.startsWith(ACKNOWLEDGEMENT_PREFIX);
}

/** Whether a key holds a node's suspicion of a primary. */
export function isSuspicionKey(key: string): boolean {
  return key.startsWith(SUSPICION_PREFIX);
}

export function nodeOfNodeKey(key: string): string | undefined {
  return key.startsWith(NODE_PREFIX) ? decode(key.slice(NODE_PREFIX.length)) : undefined;
}

export function suspicionPrefixOf(service: string): string {
  return `${SUSPICION_PREFIX}${encode(service)}/`;
}

/** The node that runs promotions; the revision at which the record was written is the fencing token. */
export interface LeaderRecord {
  readonly node: string;
  readonly incarnation: string;
  /** Lease with which the key expires. */
  readonly leaseId: string;
}

/** A node that watches the records. The key expires with its lease. */
export interface NodeRecord {
  readonly incarnation: string;
  readonly leaseId: string;
  /** Address at which it serves its directory to other nodes. */
  readonly directoryAt?: PeerAddress | undefined;
  /** Address for other nodes that borrow connections it owns; absent if they can't reach it. */
  readonly peer?: PeerLocation | undefined;
  /** Bandwidth of its network link; absent if unknown. */
  readonly linkMbps?: number | undefined;
}

/** Addresses at which nodes serve their directory, including nodes that are gone and may return. */
export interface PeersRecord {
  readonly addresses: readonly PeerAddress[];
}

export interface EraRecord {
  readonly era: number;
}

/** Zone and address of a node, for other nodes. */
export type PeerLocation = Omit<ReachableNode, 'nodeId'>;

/** Number of nodes as counted by the leader, and how they share connections and other work. */
export interface FleetRecord {
  readonly nodes: number;
  /** Absent while every node connects to every instance. */
  readonly owners?: OwnerRoster | undefined;
  /** Nodes that lend connections to returning nodes, while every other node connects by itself. */
  readonly returnOwners?: OwnerRoster | undefined;
  /** Nodes that read the store for the others; absent while each node reads it itself. */
  readonly readers?: readonly ReachableNode[] | undefined;
  /** Nodes that keep the tenants' quotas, one per part; absent where tenants have no quotas. */
  readonly keepers?: QuotaKeepers | undefined;
}

/** States that a node no longer uses the primary that this change replaces. */
export interface AcknowledgementRecord {
  readonly change: number;
  readonly leaseId: string;
  /** End of the old primary's log, if this node demoted it. */
  readonly end: Position | undefined;
  /** End of the log at the latest commit of the service that this node has confirmed to a caller. */
  readonly acknowledged?: Position | undefined;
  /** Position that replicas had received when those commits were acknowledged. */
  readonly replicated?: Position | undefined;
  /** Members that this node has seen and no record lists; absent if there are none. */
  readonly unlisted?: readonly InstanceEntry[] | undefined;
}

/** States that a node can't reach a primary or gets no commit acknowledged there. */
export interface SuspicionRecord {
  readonly instance: string;
}

/** Primary of a service. `change` numbers the primary changes: each one is one higher than the last. */
export type PrimaryRecord =
  | {
      readonly phase: 'changing';
      readonly change: number;
      /** Primary that is being replaced. */
      readonly from: string;
      /** Address of that primary; absent in records of older versions. */
      readonly at?: PeerAddress | undefined;
      /** Highest term seen when the change began. */
      readonly term: number;
      readonly planned: boolean;
    }
  | {
      readonly phase: 'serving';
      readonly change: number;
      readonly instance: string;
      /** Address of the primary; absent in records of older versions. */
      readonly at?: PeerAddress | undefined;
      readonly term: number;
      /** Other instances that a promotion call of an earlier leader may still make primary; absent if there are none. */
      readonly unsettled?: readonly InstanceIncarnation[] | undefined;
    };

export type ChangingRecord = Extract<PrimaryRecord, { phase: 'changing' }>;
export type ServingRecord = Extract<PrimaryRecord, { phase: 'serving' }>;

/**
 * Every instance that may have counted towards an acknowledged commit, for nodes that were absent when one of them
 * lost its registration.
 */
export interface MembersRecord {
  readonly members: readonly InstanceEntry[];
  /** Recently removed members that may come back without a registration. */
  readonly departed: readonly InstanceEntry[];
}

/** What a leader stores about a service for its successor. */
export interface HandoverRecord {
  /** Every instance that may have counted towards an acknowledged commit. */
  readonly members: readonly InstanceEntry[];
  /** Most recently removed members: one that comes back may count again immediately. */
  readonly departed: readonly InstanceEntry[];
  /** Last known primary. */
  readonly primary: string | undefined;
  /** Instance for which the promotion may have been called in this `change`. */
  readonly candidate: string | undefined;
  readonly change: number;
  /** Instances that a promotion call of an earlier leader may still make primary; absent if there are none. */
  readonly unsettled?: readonly InstanceIncarnation[] | undefined;
}

export function encodeAcknowledgement(record: AcknowledgementRecord): string {
  const { end, acknowledged, replicated, ...rest } = record;
  return JSON.stringify({
    ...rest,
    end: encodePosition(end),
    acknowledged: encodePosition(acknowledged),
    replicated: encodePosition(replicated),
  });
}

/** The number is written as text, since JSON can't represent a bigint. */
function encodePosition(position: Position | undefined): object | undefined {
  return position && { timeline: position.timeline, lsn: position.lsn.toString() };
}

function parsePosition(value: unknown): Position | undefined {
  if (!isObject(value)) return undefined;
  const { timeline, lsn } = value;
  if (!isNumber(timeline) || !isString(lsn) || !/^\d+$/.test(lsn)) return undefined;
  return { timeline, lsn: BigInt(lsn) };
}

/** Parsed values by entry: the leader examines every node's entry at every change, and parses each only once. */
const parsedValues = new WeakMap<KeyValue, unknown>();

/** Decodes a value written by this module; undefined for anything else. */
export function decodeRecord<Form>(
  entry: KeyValue | undefined,
  form: (value: UncheckedFields) => Form | undefined,
): Form | undefined {
  if (entry === undefined) return undefined;
  if (!parsedValues.has(entry)) parsedValues.set(entry, parseJson(entry.value));
  const value = parsedValues.get(entry);
  return isObject(value) ? form(value) : undefined;
}

/**
 * Whether two stored values hold the same record. Texts are not compared: writers may order fields differently, or add
 * fields that this version does not know.
 */
export function isSameRecord<Form>(
  left: string | undefined,
  right: string | undefined,
  form: (value: UncheckedFields) => Form | undefined,
): boolean {
  if (left === right) return true;
  const [first, second] = [left, right].map((text) => decodeText(text, form));
  return first !== undefined && isDeepStrictEqual(first, second);
}

function decodeText<Form>(
  text: string | undefined,
  form: (value: UncheckedFields) => Form | undefined,
): Form | undefined {
  const value = text === undefined ? undefined : parseJson(text);
  return isObject(value) ? form(value) : undefined;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

export function parseLeaderRecord({
  node,
  incarnation,
  leaseId,
}: UncheckedFields): LeaderRecord | undefined {
  if (!isString(node) || !isString(incarnation) || !isString(leaseId)) return undefined;
  return { node, incarnation, leaseId };
}

export function parseNodeRecord(fields: UncheckedFields): NodeRecord | undefined {
  const { incarnation, leaseId, directoryAt, peer, linkMbps } = fields;
  if (!isString(incarnation) || !isString(leaseId)) return undefined;
  const place = isObject(peer) ? parsePeerLocation(peer) : undefined;
  const record = { incarnation, leaseId, directoryAt: parseNodeAddress(directoryAt), peer: place };
  return isNumber(linkMbps) ? { ...record, linkMbps } : record;
}

export function parseEraRecord({ era }: UncheckedFields): EraRecord | undefined {
  return isNumber(era) ? { era } : undefined;
}

export function parsePeersRecord({ addresses }: UncheckedFields): PeersRecord | undefined {
  if (!Array.isArray(addresses)) return undefined;
  return { addresses: addresses.map(parseNodeAddress).filter((address) => address !== undefined) };
}

export function parseFleetRecord({
  nodes,
  owners,
  returnOwners,
  readers,
  keepers,
}: UncheckedFields): FleetRecord | undefined {
  if (!isNumber(nodes)) return undefined;
  return {
    nodes,
    owners: isObject(owners) ? parseOwnerRoster(owners) : undefined,
    returnOwners: isObject(returnOwners) ? parseOwnerRoster(returnOwners) : undefined,
    readers: parseReachableNodes(readers),
    keepers: parseReachableNodes(keepers),
  };
}

function parsePeerLocation({ zone, host, port }: UncheckedFields): PeerLocation | undefined {
  return isString(zone) && isString(host) && isNumber(port) ? { zone, host, port } : undefined;
}

function parseOwnerRoster({ ownersPerInstance, nodes }: UncheckedFields): OwnerRoster | undefined {
  const members = parseReachableNodes(nodes);
  if (!isNumber(ownersPerInstance) || members === undefined) return undefined;
  return { ownersPerInstance, nodes: members };
}

function parseReachableNodes(value: unknown): readonly ReachableNode[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const nodes = value.map(parseReachableNode).filter((node) => node !== undefined);
  return nodes.length === value.length ? nodes : undefined;
}

function parseReachableNode(value: unknown): ReachableNode | undefined {
  if (!isObject(value) || !isString(value.nodeId)) return undefined;
  const place = parsePeerLocation(value);
  return place === undefined ? undefined : { nodeId: value.nodeId, ...place };
}

export function parseAcknowledgementRecord(
  fields: UncheckedFields,
): AcknowledgementRecord | undefined {
  const { change, leaseId, end, acknowledged, replicated, unlisted } = fields;
  if (!isNumber(change) || !isString(leaseId)) return undefined;
  return {
    ...{ change, leaseId, end: parsePosition(end) },
    acknowledged: parsePosition(acknowledged),
    replicated: parsePosition(replicated),
    unlisted: parseInstanceEntries(unlisted),
  };
}

export function parseSuspicionRecord({ instance }: UncheckedFields): SuspicionRecord | undefined {
  return isString(instance) ? { instance } : undefined;
}

export function parsePrimaryRecord(fields: UncheckedFields): PrimaryRecord | undefined {
  const { phase, change, from, at, term, planned, instance, unsettled } = fields;
  if (!isNumber(change) || !isNumber(term)) return undefined;
  const place = parseInstanceAddress(at);
  if (phase === 'serving' && isString(instance))
    return { phase, change, instance, at: place, term, ...parseUnsettled(unsettled) };
  if (phase !== 'changing' || !isString(from) || typeof planned !== 'boolean') return undefined;
  return { phase, change, from, at: place, term, planned };
}

/** Address of an instance, as stored in records. */
export function addressOfInstance({ host, port }: InstanceEntry): PeerAddress {
  return { host, port };
}

/** Checks an instance's address; the platform may use any host format. */
function parseInstanceAddress(value: unknown): PeerAddress | undefined {
  if (!isObject(value) || !isString(value.host) || !isNumber(value.port)) return undefined;
  return { host: value.host, port: value.port };
}

export function parseMembersRecord({
  members,
  departed,
}: UncheckedFields): MembersRecord | undefined {
  const known = parseInstanceEntries(members);
  if (known === undefined) return undefined;
  // Records of older versions have no departed members.
  return { members: known, departed: parseInstanceEntries(departed) ?? [] };
}

export function parseHandoverRecord(fields: UncheckedFields): HandoverRecord | undefined {
  const { members, departed, primary, candidate, change, unsettled } = fields;
  const present = parseInstanceEntries(members);
  const gone = parseInstanceEntries(departed);
  if (present === undefined || gone === undefined || !isNumber(change)) return undefined;
  return {
    members: present,
    departed: gone,
    primary: isString(primary) ? primary : undefined,
    candidate: isString(candidate) ? candidate : undefined,
    change,
    ...parseUnsettled(unsettled),
  };
}

function parseUnsettled(value: unknown): { readonly unsettled?: readonly InstanceIncarnation[] } {
  if (!Array.isArray(value)) return {};
  const unsettled = value.map(parseIncarnation).filter((one) => one !== undefined);
  return unsettled.length === 0 ? {} : { unsettled };
}

function parseIncarnation(value: unknown): InstanceIncarnation | undefined {
  if (!isObject(value) || !isString(value.id)) return undefined;
  const { id, lifeOf } = value;
  return isString(lifeOf) ? { id, lifeOf } : { id };
}

function parseInstanceEntries(value: unknown): InstanceEntry[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const entries = value.map(parseInstanceEntry).filter((entry) => entry !== undefined);
  return entries.length === value.length ? entries : undefined;
}

/** Checks an instance entry from a record or a peer; undefined if the value is not one. */
export function parseInstanceEntry(value: unknown): InstanceEntry | undefined {
  if (!isObject(value)) return undefined;
  const { id, lifeOf, service, host, port, zone, slots, draining, role } = value;
  if (!isString(id) || !isString(service) || !isString(host) || !isNumber(port)) return undefined;
  if (!isString(zone) || !isNumber(slots) || typeof draining !== 'boolean') return undefined;
  if (!isRole(role)) return undefined;
  const entry = { id, service, host, port, zone, slots, draining, role };
  return isString(lifeOf) ? { ...entry, lifeOf } : entry;
}

/** Checks a node's listening address; undefined if the value is not one. */
export function parseNodeAddress(value: unknown): PeerAddress | undefined {
  if (!isObject(value)) return undefined;
  const { host, port } = value;
  if (!isString(host) || !HOST_PATTERN.test(host) || !isNumber(port)) return undefined;
  const isPort = Number.isInteger(port) && port > 0 && port <= MAX_PORT;
  return isPort ? { host, port } : undefined;
}

function isRole(value: unknown): value is InstanceRole {
  return value === 'primary' || value === 'replica';
}

function isString(value: unknown): value is string {
  return typeof value === 'string';
}

function isNumber(value: unknown): value is number {
  return typeof value === 'number';
}

function encode(name: string): string {
  return encodeURIComponent(name);
}

function decode(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}
