/**
 * Promotion state machine of one node: its lease and registration, the records it watches, its part in primary
 * changes, and the promotions themselves while it is the leader. Pure: events and times in, effects out.
 */
import type { InstanceEntry } from '../../direct/contract.js';
import type { PeerAddress } from '../../peer/contract.js';
import type { KeyValue } from '../../platform/contract.js';
import type { OwnerRoster, ReachableNode } from '../ownership/owner-roster.js';
import { KEEPER_GRACE_MS, type QuotaKeepers } from '../tenancy/quota-keepers.js';
import type { Milliseconds } from '../units.js';
import { type AcknowledgedCommit, AcknowledgedCommits } from './acknowledged-commits.js';
import type { PrimaryUse, PromotionEffect, PromotionEvent } from './contract.js';
import { Election } from './election.js';
import { Leader } from './leader.js';
import { NodeLease } from './lease.js';
import { MemberListProof } from './member-list-proof.js';
import type { PromotionOptions } from './options.js';
import type { NodeOutage } from './outage-reports.js';
import { Participation } from './participation.js';
import { Primaries, type UnsettledInstance } from './primaries.js';
import {
  decodeRecord,
  ERA_KEY,
  FLEET_KEY,
  type FleetRecord,
  PEERS_KEY,
  parseEraRecord,
  parseFleetRecord,
  parsePeersRecord,
  RECORD_PREFIX,
  serviceOfMembersKey,
  serviceOfPrimaryKey,
} from './records.js';
import { PromotionRuntime } from './runtime.js';
import { StoreView } from './store-view.js';
import { Suspicions } from './suspicion.js';

type PrimaryFailedEvent = Extract<PromotionEvent, { type: 'primary-failed' }>;

/** Period at which a leader checks whether it may hand over leadership. */
const RELEASE_CHECK_PERIOD_MS = 50;
/** Minimum period between reads of the records because the primary is suspected. */
const SUSPICION_REREAD_PERIOD_MS = 1000;
const NO_KEYS: ReadonlySet<string> = new Set();
const NO_READERS: readonly ReachableNode[] = [];

export class PromotionStateMachine {
  readonly #runtime: PromotionRuntime;
  readonly #lease: NodeLease;
  readonly #records: StoreView;
  readonly #participation: Participation;
  readonly #primaries: Primaries;
  readonly #election: Election;
  readonly #leader: Leader;
  readonly #suspicions: Suspicions;
  readonly #commits = new AcknowledgedCommits();
  readonly #memberListProof: MemberListProof;
  /** Primary of each service as it was last announced. */
  readonly #announced = new Map<string, string | undefined>();
  #services: readonly string[] = [];
  #fleetEntry: KeyValue | undefined;
  #fleetRecord: FleetRecord | undefined;
  #rereadAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #isStopped = false;

  constructor(options: PromotionOptions) {
    const runtime = new PromotionRuntime(options);
    this.#runtime = runtime;
    this.#memberListProof = new MemberListProof(options.nodeName);
    this.#lease = new NodeLease(runtime);
    this.#records = new StoreView(runtime, RECORD_PREFIX);
    this.#primaries = new Primaries(
      this.#records,
      options.timings,
      () => this.#lease.lastFailureAt,
    );
    const instanceOf = (id: string): InstanceEntry | undefined => this.#primaries.instance(id);
    const unlistedOf = (service: string): InstanceEntry[] => this.#primaries.unlisted(service);
    this.#participation = new Participation(
      runtime,
      this.#lease,
      this.#records,
      instanceOf,
      unlistedOf,
      this.#commits,
    );
    this.#election = new Election(runtime, this.#lease, this.#participation, this.#records);
    this.#leader = new Leader(runtime, this.#election, this.#lease, this.#primaries, this.#records);
    this.#suspicions = new Suspicions(runtime, this.#lease);
    this.#lease.onGranted = (leaseId) => this.#participation.register(leaseId);
    this.#participation.onRegistered = () => this.#handleRecordChanges(NO_KEYS);
    this.#records.onChange = (keys) => this.#handleRecordChanges(keys);
    this.#election.onChange = () => this.#leader.handleElectionChange();
  }

  /** Earliest time at which a `tick` event is needed. */
  nextDeadline(): Milliseconds | undefined {
    return this.#runtime.timers.nextAt();
  }

  handle(event: PromotionEvent, now: Milliseconds): PromotionEffect[] {
    if (this.#isStopped && event.type !== 'answer' && event.type !== 'tick') return [];
    this.#runtime.now = Math.max(this.#runtime.now, now);
    this.#dispatch(event);
    this.#runtime.timers.runDue(this.#runtime.now);
    return this.#runtime.takeEffects();
  }

  /** The instance that accepts writes now; undefined during a primary change or if it is unknown. */
  primaryOf(service: string, now: Milliseconds): InstanceEntry | undefined {
    return this.#primaries.primaryOf(service, now);
  }

  /**
   * Whether a response sent now by the service's primary, or by the given instance as primary, is certainly not
   * from a replaced primary.
   */
  mayTrustPrimary(service: string, now: Milliseconds, instance?: string): boolean {
    if (!this.#participation.isPermitted(now) || !this.#mayRelyOnRecords(now)) return false;
    if (this.#runtime.era.mayHaveMissedRecords(now)) return false;
    const primary = this.#primaries.primaryOf(service, now);
    return primary !== undefined && (instance === undefined || instance === primary.id);
  }

  /** Other instances than the primary that a promotion call of an earlier leader may still make primary. */
  unsettledCandidates(service: string, now: Milliseconds): readonly UnsettledInstance[] {
    return this.#primaries.unsettledCandidates(service, now);
  }

  /** Members of a service that this node has seen recently or that the leader counts, registered or not. */
  membersOf(service: string): InstanceEntry[] {
    return this.#primaries.countedMembers(service);
  }

  /**
   * Ids of members that may exist and can't be queried: they count as unresponsive. Undefined while nothing can be
   * proven.
   */
  membersWithoutAddress(service: string): string[] | undefined {
    if (!this.#mayRelyOnRecords(this.#runtime.now)) return undefined;
    return this.#primaries.membersWithoutAddress(service);
  }

  /**
   * Time up to which this node knows every member of the groups; an instance may have joined since.
   * @param peersKnown other nodes that this node knows of, also before the leader has counted the fleet
   */
  membersCompleteAsOf(now: Milliseconds, peersKnown = 0): Milliseconds {
    if (this.#runtime.isDisabled('current-members')) return now;
    const counted = this.liveNodeCount();
    return this.#memberListProof.completeAsOf({
      now,
      isStoreResponding: this.#lease.isStoreResponding(now),
      countedNodes: counted > 1 ? counted : undefined,
      knownNodes: peersKnown + 1,
    });
  }

  /** Whether this node knows every member that has joined until now. */
  areMembersCurrent(now: Milliseconds): boolean {
    return this.#runtime.isDisabled('current-members') || this.#lease.isValid(now);
  }

  /** When this node's list of members was last read from the store, by itself or by a peer. */
  get memberListProvenAt(): Milliseconds {
    return this.#memberListProof.provenAt;
  }

  /** Nodes to which the store responds neither with success nor with a refusal, by their own reports. */
  storeOutages(now: Milliseconds): NodeOutage[] {
    return this.#memberListProof.outages({
      now,
      isStoreResponding: this.#lease.isStoreResponding(now),
    });
  }

  /** Whether this node holds a lease at the store. */
  hasStore(now: Milliseconds): boolean {
    return this.#lease.isValid(now);
  }

  /** False while the store may have lost records that were acted on, and this process remembers none of them. */
  #mayRelyOnRecords(now: Milliseconds): boolean {
    return this.#runtime.era.mayRelyOnRecords(now) || this.#runtime.isDisabled('era-memory');
  }

  /** Whether a change of the service's primary is in progress, by its record. */
  isChanging(service: string): boolean {
    return this.#primaries.recordOf(service)?.phase === 'changing';
  }

  /** Number of live nodes as last published by the leader; at least 1, for this node. */
  liveNodeCount(): number {
    return Math.max(1, this.#fleet()?.nodes ?? 1);
  }

  /** Nodes that own connections to instances; undefined while every node connects to every instance. */
  ownerRoster(): OwnerRoster | undefined {
    return this.#fleet()?.owners;
  }

  /** Nodes that lend connections to returning nodes, in a fleet whose nodes otherwise connect by themselves. */
  returnRoster(): OwnerRoster | undefined {
    return this.#fleet()?.returnOwners;
  }

  /** Nodes that read the store for the others; the same list until the leader publishes another. */
  watchReaders(): readonly ReachableNode[] {
    return this.#fleet()?.readers ?? NO_READERS;
  }

  /** Whether another incarnation of this instance is registered now. */
  hasNewIncarnation(instance: InstanceEntry): boolean {
    return this.#primaries.hasNewIncarnation(instance);
  }

  /** Nodes that keep the tenants' quotas, as last published by the leader. */
  quotaKeepers(): QuotaKeepers | undefined {
    return this.#fleet()?.keepers;
  }

  /** True while the leader can't yet have replaced this node as a keeper of quotas. */
  mayKeepQuotas(now: Milliseconds): boolean {
    return this.#participation.isRegistered && now < this.#lease.validUntil + KEEPER_GRACE_MS;
  }

  /** Addresses at which nodes serve their directory, as last published by the leader. */
  peerAddresses(): readonly PeerAddress[] {
    return decodeRecord(this.#records.get(PEERS_KEY), parsePeersRecord)?.addresses ?? [];
  }

  /** Notes a commit that is confirmed to its caller: no promotion may lose it. */
  recordCommit(service: string, commit: AcknowledgedCommit): void {
    this.#commits.record(service, commit);
  }

  /** True if a success at the primary need not be reported, because nothing depends on it. */
  canIgnoreSuccess(service: string): boolean {
    return this.#election.fencingToken === undefined && this.#suspicions.isHealthy(service);
  }

  /** Revision up to which the records are known; 0 if they are not. */
  get recordsRevision(): number {
    return this.#records.revision;
  }

  get isLeader(): boolean {
    return this.#election.mayAct();
  }

  #fleet(): FleetRecord | undefined {
    const entry = this.#records.get(FLEET_KEY);
    if (entry !== this.#fleetEntry) {
      this.#fleetEntry = entry;
      this.#fleetRecord = decodeRecord(entry, parseFleetRecord);
    }
    return this.#fleetRecord;
  }

  #dispatch(event: PromotionEvent): void {
    switch (event.type) {
      case 'start':
        this.#start();
        return;
      case 'tick':
        return;
      case 'answer':
        this.#runtime.handleAnswer(event.request, event.answer);
        return;
      case 'watch-events':
        this.#records.handleWatchEvents(event.watch, event.events, event.revision);
        this.#leader.leaderView.handleWatchEvents(event.watch, event.events, event.revision);
        return;
      case 'watch-ended':
        this.#records.handleWatchEnded(event.watch);
        this.#leader.leaderView.handleWatchEnded(event.watch);
        return;
      case 'instances-changed':
        this.#primaries.updateInstances(event.entries, this.#runtime.now);
        this.#announcePrimaryChanges();
        this.#leader.update();
        return;
      case 'members-told':
        this.#primaries.setReportedMembers(event.entries, this.#runtime.now);
        return;
      case 'member-list-read':
        this.#memberListProof.recordRead(event.sentAt);
        return;
      case 'member-list-reported':
        for (const entry of event.departed) this.#primaries.addDeparted(entry, this.#runtime.now);
        this.#memberListProof.record(event.report);
        return;
      case 'services-changed':
        this.#services = event.services.map(({ name }) => name);
        this.#announcePrimaryChanges();
        this.#leader.setServices(event.services);
        return;
      case 'primary-failed':
        this.#handlePrimaryFailure(event);
        return;
      case 'primary-succeeded':
        this.#handlePrimarySuccess(event.service, event.use);
        return;
      case 'use-ended':
        this.#participation.handleUseEnded(event.service, event.change);
        return;
      case 'store-returned':
        this.#lease.retryNow();
        this.#records.retryNow();
        return;
      case 'store-era':
        this.#handleStoreEra(event.era);
        return;
      case 'release-leadership':
        this.#releaseLeadership();
        return;
      case 'stop':
        this.#stop();
    }
  }

  /**
   * Starts the lease, and after a delay reads the records even without a registration. Records are binding only if
   * read after the registration, but a late or lost response to it must not keep the node from learning which peers
   * and instances it can query. Records read earlier are trusted no more than a peer's report.
   */
  #start(): void {
    this.#lease.start();
    this.#runtime.after(this.#runtime.timings.unregisteredReadDelayMs, () => this.#records.start());
  }

  /**
   * After a restore of the store, leases, registrations and keys bound to them may be gone or present again: each
   * is renewed or rewritten before it counts.
   */
  #handleStoreEra(era: number): void {
    const { now } = this.#runtime;
    const wasPermitted =
      this.#participation.isPermitted(now) || this.#runtime.isDisabled('era-coverage');
    this.#runtime.era.recordEra(era, now, wasPermitted);
    if (this.#runtime.isDisabled('era-registration')) return;
    this.#lease.handleStoreRestore();
    this.#participation.handleStoreRestore();
    this.#suspicions.handleStoreRestore();
  }

  #handlePrimaryFailure({ service, use, silentForMs }: PrimaryFailedEvent): void {
    const instance = this.#primaries.primaryIdOf(service);
    if (instance === undefined) return;
    this.#suspicions.recordFailure(service, instance, use, silentForMs);
    this.#leader.recordFailing(service, instance);
    // The watch may be late with the record that replaces the primary.
    if (this.#suspicions.suspectOf(service) === undefined) return;
    if (this.#runtime.now - this.#rereadAt < SUSPICION_REREAD_PERIOD_MS) return;
    this.#rereadAt = this.#runtime.now;
    this.#records.read();
  }

  #handlePrimarySuccess(service: string, use: PrimaryUse): void {
    const instance = this.#primaries.primaryIdOf(service);
    if (instance === undefined) return;
    this.#suspicions.recordSuccess(service, instance, use);
    this.#leader.recordAlive(service, instance);
  }

  #handleRecordChanges(keys: ReadonlySet<string>): void {
    const settledEra = decodeRecord(this.#records.get(ERA_KEY), parseEraRecord);
    this.#runtime.era.setSettledEra(settledEra?.era);
    this.#announcePrimaryChanges();
    for (const key of keys) {
      const service = serviceOfMembersKey(key);
      if (service !== undefined) this.#primaries.applyMembersRecord(service, this.#runtime.now);
    }
    for (const entry of this.#records.entriesUnder(RECORD_PREFIX)) {
      const service = serviceOfPrimaryKey(entry.key);
      if (service === undefined) continue;
      this.#primaries.noteRecord(service, this.#runtime.now);
      this.#participation.handleRecord(service, this.#primaries.recordOf(service));
    }
    this.#election.update();
    this.#leader.update();
  }

  #announcePrimaryChanges(): void {
    for (const service of this.#services) {
      const id = this.#primaries.primaryIdOf(service);
      if (this.#announced.has(service) && this.#announced.get(service) === id) continue;
      this.#announced.set(service, id);
      this.#suspicions.setPrimary(service, id);
      this.#runtime.emit({ type: 'primary-changed', service });
    }
  }

  /**
   * Hands over leadership, once its successor may call promotions without following this node's last call too soon.
   */
  #releaseLeadership(): void {
    const isLeader = this.#election.fencingToken !== undefined;
    if (isLeader && (this.#leader.isCallInProgress || !this.#election.mayHandOver)) {
      this.#runtime.after(RELEASE_CHECK_PERIOD_MS, () => this.#releaseLeadership());
      return;
    }
    this.#election.stop();
    this.#election.resign(0, () => this.#runtime.emit({ type: 'leadership-released' }));
  }

  #stop(): void {
    this.#isStopped = true;
    this.#participation.stop();
    this.#election.stop();
    this.#leader.stop();
    this.#records.stop();
    const leaseId = this.#lease.stop();
    this.#runtime.clear();
    const onRevoked = (): void => this.#runtime.emit({ type: 'stopped' });
    if (leaseId === undefined) onRevoked();
    else this.#runtime.revokeLease(leaseId, onRevoked);
  }
}
