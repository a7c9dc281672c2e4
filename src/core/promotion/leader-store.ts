/**
 * Reads and writes the store for the leader. Every write has the condition that the leader's key still belongs to this
 * leader and that the replaced values are unchanged since they were read.
 */
import type { InstanceEntry } from '../../direct/contract.js';
import type { KeyValue } from '../../platform/contract.js';
import type { ReachableNode } from '../ownership/owner-roster.js';
import { MIN_FLEET_WITH_READERS, type ReaderCandidate } from '../ownership/watch-readers.js';
import { laterPosition, type Position } from '../position.js';
import type { Milliseconds } from '../units.js';
import type { Election } from './election.js';
import type { Primaries } from './primaries.js';
import {
  type AcknowledgementRecord,
  acknowledgementKeyOf,
  acknowledgementPrefixOf,
  decodeRecord,
  FLEET_KEY,
  type FleetRecord,
  type HandoverRecord,
  handoverKeyOf,
  isSameRecord,
  LEADER_KEY,
  LEADER_WATCH_PREFIX,
  type MembersRecord,
  membersKeyOf,
  nodeKeyOf,
  nodeOfNodeKey,
  type PrimaryRecord,
  parseAcknowledgementRecord,
  parseFleetRecord,
  parseHandoverRecord,
  parseMembersRecord,
  parseNodeRecord,
  parseSuspicionRecord,
  primaryKeyOf,
  suspicionPrefixOf,
} from './records.js';
import { isStoreCallError, type PromotionRuntime } from './runtime.js';
import type { StoreView } from './store-view.js';

/** Primary record and handover record of a service to be written, in one transaction. */
export interface LeaderWrite {
  readonly service: string;
  readonly record?: PrimaryRecord;
  readonly handover?: HandoverRecord;
}

/** A value to be written, and the view that contains its key. */
interface PendingPut {
  readonly view: StoreView;
  readonly key: string;
  readonly value: string;
}

const NODE_PREFIX = `${LEADER_WATCH_PREFIX}nodes/`;
const EMPTY_HANDOVER: HandoverRecord = {
  members: [],
  departed: [],
  primary: undefined,
  candidate: undefined,
  change: 0,
};

/**
 * In a large fleet, time after its election for which a leader delays the first members record while all members are
 * registered. Nodes of a starting fleet each poll the store by themselves, and each record costs a poll by every node.
 */
const INITIAL_MEMBERS_DELAY_MS: Milliseconds = 3000;

export class LeaderStore {
  readonly #decodedHandovers = new Map<
    string,
    { readonly entry: KeyValue; readonly handover: HandoverRecord }
  >();

  #leadingSince: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly election: Election,
    private readonly primaries: Primaries,
    private readonly records: StoreView,
    private readonly leaderView: StoreView,
  ) {}

  /** Time at which this node became leader. */
  get leadingSince(): Milliseconds {
    return this.#leadingSince;
  }

  /** Notes that this node has become leader. */
  startLeading(): void {
    this.#leadingSince = this.runtime.now;
  }

  /**
   * The primary as all nodes know it; before the first record, the instance that declares itself primary. If none does,
   * the record of a primary change was lost in a restore of the store, and the last handover record names the primary.
   */
  primaryIdOf(service: string): string | undefined {
    const known = this.primaries.primaryIdOf(service);
    if (known !== undefined || this.runtime.isDisabled('noted-primary')) return known;
    if (!this.records.isReady || this.primaries.recordOf(service) !== undefined) return undefined;
    const present = this.primaries.registeredInstances(service);
    if (present.some(({ role }) => role === 'primary')) return undefined;
    return this.handoverOf(service).primary;
  }

  handoverOf(service: string): HandoverRecord {
    const entry = this.leaderView.get(handoverKeyOf(service));
    if (entry === undefined) return EMPTY_HANDOVER;
    const known = this.#decodedHandovers.get(service);
    if (known?.entry === entry) return known.handover;
    const handover = decodeRecord(entry, parseHandoverRecord) ?? EMPTY_HANDOVER;
    this.#decodedHandovers.set(service, { entry, handover });
    return handover;
  }

  /**
   * Members of the members record if it is newer than the handover record, otherwise none. Both are written together,
   * but only leaders know the handover record, so a restore of the store may have reverted it to an older version.
   */
  membersNewerThanHandover(service: string): readonly InstanceEntry[] {
    const record = this.records.get(membersKeyOf(service));
    const handover = this.leaderView.get(handoverKeyOf(service));
    if (record === undefined || (handover?.modRevision ?? 0) >= record.modRevision) return [];
    return decodeRecord(record, parseMembersRecord)?.members ?? [];
  }

  /** Members that no record lists, as reported by nodes with their acknowledgements of the current primary change. */
  unlistedMembersFromNodes(service: string): readonly InstanceEntry[] {
    const record = this.primaries.recordOf(service);
    if (record?.phase !== 'changing') return [];
    const reported: InstanceEntry[] = [];
    for (const entry of this.leaderView.entriesUnder(acknowledgementPrefixOf(service))) {
      const acknowledgement = decodeRecord(entry, parseAcknowledgementRecord);
      if (acknowledgement?.change === record.change)
        reported.push(...(acknowledgement.unlisted ?? []));
    }
    return reported;
  }

  /** Number of nodes whose lease has not expired. */
  countLiveNodes(): number {
    return [...this.leaderView.entriesUnder(NODE_PREFIX)].length;
  }

  /** Live nodes that other nodes can reach. */
  reachableNodes(): ReachableNode[] {
    const reachable: ReachableNode[] = [];
    for (const entry of this.leaderView.entriesUnder(NODE_PREFIX)) {
      const nodeId = nodeOfNodeKey(entry.key);
      const peer = decodeRecord(entry, parseNodeRecord)?.peer;
      if (nodeId !== undefined && peer !== undefined) reachable.push({ nodeId, ...peer });
    }
    return reachable;
  }

  /** Live nodes that may read the store for others, with the address at which they serve their directory. */
  readerCandidates(): ReaderCandidate[] {
    const nodes: ReaderCandidate[] = [];
    for (const entry of this.leaderView.entriesUnder(NODE_PREFIX)) {
      const nodeId = nodeOfNodeKey(entry.key);
      const { peer, directoryAt, linkMbps = 0 } = decodeRecord(entry, parseNodeRecord) ?? {};
      if (nodeId === undefined || peer === undefined || directoryAt === undefined) continue;
      nodes.push({ nodeId, zone: peer.zone, ...directoryAt, linkMbps });
    }
    return nodes;
  }

  publishedFleet(): FleetRecord | undefined {
    return decodeRecord(this.records.get(FLEET_KEY), parseFleetRecord);
  }

  /** Number of nodes that suspect this primary. */
  countSuspicions(service: string, instance: string): number {
    let count = 0;
    for (const entry of this.leaderView.entriesUnder(suspicionPrefixOf(service))) {
      if (decodeRecord(entry, parseSuspicionRecord)?.instance === instance) count += 1;
    }
    return count;
  }

  /**
   * Nodes that may still use the primary that the change replaces; undefined while the leader's view may be older than
   * the change.
   */
  nodesUsingOldPrimary(service: string, record: PrimaryRecord): string[] | undefined {
    const minRevision = Math.max(
      this.primaries.recordRevisionOf(service),
      this.election.fencingToken ?? 0,
    );
    if (this.leaderView.revision < minRevision) return undefined;
    const inUse: string[] = [];
    for (const entry of this.leaderView.entriesUnder(NODE_PREFIX)) {
      const node = nodeOfNodeKey(entry.key);
      if (node !== undefined && !this.#hasAcknowledged(service, record, node)) inUse.push(node);
    }
    return inUse;
  }

  /** End of the old primary's log, as reported by the nodes that demoted it. */
  demotedLogEnd(service: string, { change }: PrimaryRecord): Position | undefined {
    return this.#latestAcknowledged(service, change, ({ end }) => end);
  }

  /** End of the log at the latest commit of the service that a node has confirmed to a caller. */
  acknowledgedPosition(service: string, { change }: PrimaryRecord): Position | undefined {
    return this.#latestAcknowledged(service, change, ({ acknowledged }) => acknowledged);
  }

  /** Position that replicas had received when nodes confirmed commits of the service to callers. */
  replicatedPosition(service: string, { change }: PrimaryRecord): Position | undefined {
    return this.#latestAcknowledged(service, change, ({ replicated }) => replicated);
  }

  /** Latest of the positions that the nodes report with their acknowledgements of a change. */
  #latestAcknowledged(
    service: string,
    change: number,
    positionOf: (record: AcknowledgementRecord) => Position | undefined,
  ): Position | undefined {
    let latest: Position | undefined;
    for (const entry of this.leaderView.entriesUnder(acknowledgementPrefixOf(service))) {
      const record = decodeRecord(entry, parseAcknowledgementRecord);
      const position = record?.change === change ? positionOf(record) : undefined;
      if (position === undefined) continue;
      latest = latest === undefined ? position : laterPosition(latest, position);
    }
    return latest;
  }

  /** Reads the leader's keys again, in case the watch lags. */
  reread(): void {
    this.leaderView.read();
  }

  write({ service, record, handover }: LeaderWrite, onDone: (succeeded: boolean) => void): void {
    const recordKey = primaryKeyOf(service);
    const handoverKey = handoverKeyOf(service);
    const puts: PendingPut[] = [];
    if (handover !== undefined) {
      puts.push({ view: this.leaderView, key: handoverKey, value: JSON.stringify(handover) });
    }
    if (record !== undefined) {
      puts.push({ view: this.records, key: recordKey, value: JSON.stringify(record) });
    }
    const members = handover && this.#membersToPublish(service, handover);
    if (members !== undefined) puts.push({ view: this.records, ...members });
    const operations = puts.map(({ key, value }) => ({ type: 'put', key, value }) as const);
    const compares = [
      { key: LEADER_KEY, modRevision: this.election.fencingToken ?? 0 },
      { key: recordKey, modRevision: this.records.get(recordKey)?.modRevision ?? 0 },
      { key: handoverKey, modRevision: this.leaderView.get(handoverKey)?.modRevision ?? 0 },
    ];
    this.runtime.transaction(compares, operations, (answer) => {
      const succeeded = !isStoreCallError(answer) && answer.succeeded;
      if (succeeded) {
        for (const { view, key, value } of puts) view.recordOwnPut(key, value, answer.revision);
      }
      onDone(succeeded);
    });
  }

  /** Whether the members of the handover record need no publication now. */
  areMembersPublished(service: string): boolean {
    return this.#membersToPublish(service, this.handoverOf(service)) === undefined;
  }

  /** Members record to write for all nodes; undefined if it is up to date or may be written later. */
  #membersToPublish(
    service: string,
    handover: HandoverRecord,
  ): Omit<PendingPut, 'view'> | undefined {
    const { members } = handover;
    const key = membersKeyOf(service);
    const known = this.records.get(key);
    if (known === undefined && this.#mayPublishLater(members)) return undefined;
    const departed = this.#departedToPublish(service, handover);
    const value = JSON.stringify({ members, departed } satisfies MembersRecord);
    return isSameRecord(known?.value, value, parseMembersRecord) ? undefined : { key, value };
  }

  /** Departed members that this leader still tracks; the other nodes need not know of any others. */
  #departedToPublish(service: string, { departed }: HandoverRecord): readonly InstanceEntry[] {
    if (departed.length === 0 || this.runtime.isDisabled('forgotten-members')) return [];
    const tracked = new Set(this.primaries.rememberedInstances(service).map(({ id }) => id));
    return departed.filter(({ id }) => tracked.has(id));
  }

  /** Runs at every update of the leader, so the check that iterates over all nodes comes last. */
  #mayPublishLater(members: readonly InstanceEntry[]): boolean {
    if (this.runtime.now - this.#leadingSince >= INITIAL_MEMBERS_DELAY_MS) return false;
    const areAllPresent = members.every(({ id }) => this.primaries.isRegistered(id));
    return areAllPresent && this.countLiveNodes() >= MIN_FLEET_WITH_READERS;
  }

  /** @param gone nodes whose registration must be absent for the record to be written */
  publishFleet(fleet: FleetRecord, gone: readonly string[], onDone: () => void): void {
    const value = JSON.stringify(fleet);
    const compares = [
      { key: LEADER_KEY, modRevision: this.election.fencingToken ?? 0 },
      ...gone.map((node) => ({ key: nodeKeyOf(node), modRevision: 0 })),
    ];
    this.runtime.transaction(compares, [{ type: 'put', key: FLEET_KEY, value }], () => onDone());
  }

  #hasAcknowledged(service: string, record: PrimaryRecord, node: string): boolean {
    const registration = decodeRecord(
      this.leaderView.get(`${NODE_PREFIX}${encodeURIComponent(node)}`),
      parseNodeRecord,
    );
    const key = acknowledgementKeyOf(service, node);
    const acknowledgement = decodeRecord(this.leaderView.get(key), parseAcknowledgementRecord);
    if (registration === undefined || acknowledgement === undefined) return false;
    return (
      acknowledgement.change === record.change && acknowledgement.leaseId === registration.leaseId
    );
  }
}
