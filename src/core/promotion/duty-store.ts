/**
 * What the leader reads and writes in the store for its duty. Every write has the condition that the
 * leader's key is still this leader's, and that what it replaces is what was read.
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
  acknowledgementKeyOf,
  acknowledgementPrefixOf,
  decodeRecord,
  FLEET_KEY,
  type FleetRecord,
  type HandoverRecord,
  handoverKeyOf,
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
import { isTrouble, type PromotionRuntime } from './runtime.js';
import type { StoreView } from './store-view.js';

/** A service's record or note to be written; both are replaced as they are known now. */
export interface DutyWrite {
  readonly service: string;
  readonly record?: PrimaryRecord;
  readonly note?: HandoverRecord;
}

/** One value of a write, and the view of the store that it belongs to. */
interface Put {
  readonly view: StoreView;
  readonly key: string;
  readonly value: string;
}

const NODE_PREFIX = `${LEADER_WATCH_PREFIX}nodes/`;
const EMPTY_NOTE: HandoverRecord = {
  members: [],
  departed: [],
  primary: undefined,
  candidate: undefined,
  change: 0,
};

/**
 * In a large fleet members are told first once this leader has led for so long, if none has lost its entry by then: in
 * the first moments of a fleet each node polls the store by itself, and each record costs a poll of every node.
 */
const FIRST_MEMBERS_MS: Milliseconds = 3000;

export class DutyStore {
  readonly #decodedNotes = new Map<
    string,
    { readonly entry: KeyValue; readonly note: HandoverRecord }
  >();

  #begunAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly election: Election,
    private readonly primaries: Primaries,
    private readonly records: StoreView,
    private readonly duty: StoreView,
  ) {}

  /** Since when this node has led. */
  get begunAt(): Milliseconds {
    return this.#begunAt;
  }

  /** This node has taken the lead. */
  begin(): void {
    this.#begunAt = this.runtime.now;
  }

  /**
   * The primary as all nodes know it. Before the first record, one that calls itself so; where nobody does, a change was
   * begun whose record a return of the store took back, and it is whom a leader noted last.
   */
  primaryIdOf(service: string): string | undefined {
    const known = this.primaries.primaryIdOf(service);
    if (known !== undefined || this.runtime.isDisabled('noted-primary')) return known;
    if (!this.records.isReady || this.primaries.recordOf(service) !== undefined) return undefined;
    const present = this.primaries.present(service);
    if (present.some(({ role }) => role === 'primary')) return undefined;
    return this.noteOf(service).primary;
  }

  noteOf(service: string): HandoverRecord {
    const entry = this.duty.get(handoverKeyOf(service));
    if (entry === undefined) return EMPTY_NOTE;
    const known = this.#decodedNotes.get(service);
    if (known?.entry === entry) return known.note;
    const note = decodeRecord(entry, parseHandoverRecord) ?? EMPTY_NOTE;
    this.#decodedNotes.set(service, { entry, note });
    return note;
  }

  /**
   * Members by the record that all nodes follow, where it is later than the note: both are written together, but the note
   * is known to leaders alone, and a return of the store from a copy may have taken it back.
   */
  membersBeyondNote(service: string): readonly InstanceEntry[] {
    const record = this.records.get(membersKeyOf(service));
    const note = this.duty.get(handoverKeyOf(service));
    if (record === undefined || (note?.modRevision ?? 0) >= record.modRevision) return [];
    return decodeRecord(record, parseMembersRecord)?.members ?? [];
  }

  /** Members that nodes have seen and no record names, as told with their acknowledgements of the change under way. */
  unlistedByNodes(service: string): readonly InstanceEntry[] {
    const record = this.primaries.recordOf(service);
    if (record?.phase !== 'changing') return [];
    const told: InstanceEntry[] = [];
    for (const entry of this.duty.under(acknowledgementPrefixOf(service))) {
      const acknowledged = decodeRecord(entry, parseAcknowledgementRecord);
      if (acknowledged?.change === record.change) told.push(...(acknowledged.unlisted ?? []));
    }
    return told;
  }

  /** Nodes whose lease has not run out. */
  liveNodes(): number {
    return [...this.duty.under(NODE_PREFIX)].length;
  }

  /** The live nodes that others can reach. */
  reachableNodes(): ReachableNode[] {
    const reachable: ReachableNode[] = [];
    for (const entry of this.duty.under(NODE_PREFIX)) {
      const nodeId = nodeOfNodeKey(entry.key);
      const peer = decodeRecord(entry, parseNodeRecord)?.peer;
      if (nodeId !== undefined && peer !== undefined) reachable.push({ nodeId, ...peer });
    }
    return reachable;
  }

  /** The live nodes that may read the store for others, where they answer questions for their directory. */
  possibleReaders(): ReaderCandidate[] {
    const nodes: ReaderCandidate[] = [];
    for (const entry of this.duty.under(NODE_PREFIX)) {
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

  /** Nodes that suspect this primary. */
  suspicionsOf(service: string, instance: string): number {
    let count = 0;
    for (const entry of this.duty.under(suspicionPrefixOf(service))) {
      if (decodeRecord(entry, parseSuspicionRecord)?.instance === instance) count += 1;
    }
    return count;
  }

  /**
   * Nodes that may use the primary which the change replaces; undefined if that is not known yet,
   * since what the leader knows may be older than the change.
   */
  nodesInUse(service: string, record: PrimaryRecord): string[] | undefined {
    const begunAt = Math.max(this.primaries.recordRevisionOf(service), this.election.token ?? 0);
    if (this.duty.revision < begunAt) return undefined;
    const inUse: string[] = [];
    for (const entry of this.duty.under(NODE_PREFIX)) {
      const node = nodeOfNodeKey(entry.key);
      if (node !== undefined && !this.#hasAcknowledged(service, record, node)) inUse.push(node);
    }
    return inUse;
  }

  /** End of the old primary's log, as the nodes that demoted it tell. */
  endOf(service: string, { change }: PrimaryRecord): Position | undefined {
    let latest: Position | undefined;
    for (const entry of this.duty.under(acknowledgementPrefixOf(service))) {
      const record = decodeRecord(entry, parseAcknowledgementRecord);
      if (record?.change !== change || record.end === undefined) continue;
      latest = latest === undefined ? record.end : laterPosition(latest, record.end);
    }
    return latest;
  }

  /** Reads the duty's keys anew, for when the watch is behind. */
  readAnew(): void {
    this.duty.read();
  }

  write({ service, record, note }: DutyWrite, onDone: (succeeded: boolean) => void): void {
    const recordKey = primaryKeyOf(service);
    const noteKey = handoverKeyOf(service);
    const puts: Put[] = [];
    if (note !== undefined) {
      puts.push({ view: this.duty, key: noteKey, value: JSON.stringify(note) });
    }
    if (record !== undefined) {
      puts.push({ view: this.records, key: recordKey, value: JSON.stringify(record) });
    }
    const members = note && this.#membersToPublish(service, note);
    if (members !== undefined) puts.push({ view: this.records, ...members });
    const operations = puts.map(({ key, value }) => ({ type: 'put', key, value }) as const);
    const compares = [
      { key: LEADER_KEY, modRevision: this.election.token ?? 0 },
      { key: recordKey, modRevision: this.records.get(recordKey)?.modRevision ?? 0 },
      { key: noteKey, modRevision: this.duty.get(noteKey)?.modRevision ?? 0 },
    ];
    this.runtime.transaction(compares, operations, (answer) => {
      const succeeded = !isTrouble(answer) && answer.succeeded;
      if (succeeded) {
        for (const { view, key, value } of puts) view.noteOwnPut(key, value, answer.revision);
      }
      onDone(succeeded);
    });
  }

  /** True if the nodes have heard of a note's members. */
  areMembersPublished(service: string): boolean {
    return this.#membersToPublish(service, this.noteOf(service)) === undefined;
  }

  /** The members of a note where all nodes hear of them; undefined if they have heard, or may hear later. */
  #membersToPublish(service: string, note: HandoverRecord): Omit<Put, 'view'> | undefined {
    const { members } = note;
    const key = membersKeyOf(service);
    const known = this.records.get(key);
    if (known === undefined && this.#mayTellLater(members)) return undefined;
    const departed = this.#departedToPublish(service, note);
    const value = JSON.stringify({ members, departed } satisfies MembersRecord);
    return value === known?.value ? undefined : { key, value };
  }

  /** Those that this leader counts no more, other nodes need not hear of. */
  #departedToPublish(service: string, { departed }: HandoverRecord): readonly InstanceEntry[] {
    if (departed.length === 0 || this.runtime.isDisabled('forgotten-members')) return [];
    const remembered = new Set(this.primaries.remembered(service).map(({ id }) => id));
    return departed.filter(({ id }) => remembered.has(id));
  }

  /** Asked at every update of the leader: what looks at all nodes comes last. */
  #mayTellLater(members: readonly InstanceEntry[]): boolean {
    if (this.runtime.now - this.#begunAt >= FIRST_MEMBERS_MS) return false;
    const areAllPresent = members.every(({ id }) => this.primaries.isPresent(id));
    return areAllPresent && this.liveNodes() >= MIN_FLEET_WITH_READERS;
  }

  /** @param gone nodes that must have no lease, for the record to be written */
  publishFleet(fleet: FleetRecord, gone: readonly string[], onDone: () => void): void {
    const value = JSON.stringify(fleet);
    const compares = [
      { key: LEADER_KEY, modRevision: this.election.token ?? 0 },
      ...gone.map((node) => ({ key: nodeKeyOf(node), modRevision: 0 })),
    ];
    this.runtime.transaction(compares, [{ type: 'put', key: FLEET_KEY, value }], () => onDone());
  }

  #hasAcknowledged(service: string, record: PrimaryRecord, node: string): boolean {
    const registered = decodeRecord(
      this.duty.get(`${NODE_PREFIX}${encodeURIComponent(node)}`),
      parseNodeRecord,
    );
    const key = acknowledgementKeyOf(service, node);
    const acknowledged = decodeRecord(this.duty.get(key), parseAcknowledgementRecord);
    if (registered === undefined || acknowledged === undefined) return false;
    return acknowledged.change === record.change && acknowledged.leaseId === registered.leaseId;
  }
}
