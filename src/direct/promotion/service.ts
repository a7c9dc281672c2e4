/**
 * Runs the promotion state machine of one node with the store, the instances and a timer. The owner starts it, passes on
 * changes of the instances and services, releases leadership before a planned stop, and then stops it.
 */
import type { OwnerRoster, ReachableNode } from '../../core/ownership/owner-roster.js';
import type { Position } from '../../core/position.js';
import type { AcknowledgedCommit } from '../../core/promotion/acknowledged-commits.js';
import type { CommitVerdict } from '../../core/promotion/commit-verdict.js';
import type {
  PromotionEffect,
  PromotionEvent,
  PromotionRequest,
} from '../../core/promotion/contract.js';
import { PromotionStateMachine } from '../../core/promotion/machine.js';
import type { MemberListState, PeerListReport } from '../../core/promotion/member-list-proof.js';
import { DEFAULT_PROMOTION_TIMINGS, type PromotionTimings } from '../../core/promotion/options.js';
import type { UnsettledInstance } from '../../core/promotion/primaries.js';
import type { PeerLocation } from '../../core/promotion/records.js';
import { ReportedStates } from '../../core/promotion/reported-states.js';
import type { QuotaKeepers } from '../../core/tenancy/quota-keepers.js';
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../../core/units.js';
import type { Logger } from '../../observability/logger.js';
import type { PeerAddress } from '../../peer/contract.js';
import type { Store } from '../../platform/contract.js';
import type { InstanceControl, InstanceEntry, PublishedConfiguration } from '../contract.js';
import type { DirectoryFollower } from '../directory-follower.js';
import type { PooledCalls } from '../pooled-control.js';
import { firstWithin } from '../within.js';
import type { BoundedPromotionCaller, EndPrimaryUse, PrimaryUse, PrimaryView } from './contract.js';
import { type ClassifyControlFailure, classifyBySystemCall } from './control-failure.js';
import { rejectReplacedIncarnations } from './incarnation-guard.js';
import { RequestRunner } from './request-runner.js';
import { TermConfirmation } from './term-confirmation.js';

/** Time in which this node learns from the store that a registration has expired. */
const REGISTRATION_DELAY_MS: Milliseconds = 1000;
const ROLE_QUERY_INTERVAL_MS: Milliseconds = 100;
const ROLE_QUERY_TIMEOUT_MS: Milliseconds = 300;
const MIN_CONFIRMATION_INTERVAL_MS = 60;
/** Far above the store's usual response time, and short enough for the next round of queries to be on time. */
const CONFIRM_MEMBERS_TIMEOUT_MS: Milliseconds = 150;

export interface PromotionServiceOptions {
  readonly nodeName: string;
  /** Different for each start of the process. */
  readonly incarnation: string;
  readonly minimumLeaseMs: Milliseconds;
  /** Address at which this node responds to requests for its directory. */
  readonly directoryAt?: PeerAddress | undefined;
  /** Zone and address of this node for other nodes; absent if they can't reach it. */
  readonly peer?: PeerLocation | undefined;
  /** Bandwidth of this node's network link, if known. */
  readonly linkMbps?: number | undefined;
  /** Larger clusters share connections through owners; by default the instances' connection limits decide. */
  readonly largestDirectFleet?: number | undefined;
  /** From this number of nodes on, a few nodes read the store for the others. */
  readonly smallestReaderFleet?: number | undefined;
  /** Tenants have quotas, for which the leader names keepers. */
  readonly hasQuotas?: boolean | undefined;
  readonly isFirstStart?: boolean | undefined;
  /** Time without a heartbeat after which the registration of an instance expires, if known. */
  readonly registrationExpiryMs?: Milliseconds | undefined;
  /** Whether this node may open connections to an instance; true by default. */
  readonly mayConnect?: (instance: InstanceEntry) => boolean;
  readonly store: Store;
  /** The registrations as read from the store; without it, only peers' reports show that no member is unknown. */
  readonly instances?:
    | Pick<DirectoryFollower, 'instancesProvenAt' | 'confirmInstances'>
    | undefined;
  /** Number of other nodes that this node knows of. */
  readonly peersKnown?: () => number;
  readonly control: InstanceControl;
  /**
   * Queries members whether any is the primary of a later term, and holds replicas, over connections of the pools;
   * `control` by default.
   */
  readonly pooled?: PooledCalls;
  readonly promotion: BoundedPromotionCaller;
  readonly logger: Logger;
  readonly timings?: Partial<PromotionTimings>;
  readonly classifyFailure?: ClassifyControlFailure;
  /** Without it, the node acknowledges a primary change without waiting for its writes in flight. */
  readonly endPrimaryUse?: EndPrimaryUse;
  /** Monotonic clock; `performance.now` by default. */
  readonly now?: () => Milliseconds;
  readonly random?: () => number;
}

export class PromotionService implements PrimaryView {
  onChange: (service: string) => void = () => {};
  readonly #machine: PromotionStateMachine;
  readonly #runner: RequestRunner;
  readonly #confirmation: TermConfirmation;
  readonly #now: () => Milliseconds;
  readonly #reportedStates = new ReportedStates();
  readonly #statusControl: Pick<InstanceControl, 'status'>;
  /** Time of the last query for the role of a service's primary. */
  readonly #roleQueriedAt = new Map<string, Milliseconds>();
  readonly #watches = new Map<number, () => void>();
  readonly #releaseWaiters: (() => void)[] = [];
  readonly #stopWaiters: (() => void)[] = [];
  #syncReplicas: ReadonlyMap<string, number> = new Map();
  readonly #queue: PromotionEvent[] = [];
  #isHandling = false;
  #timer: NodeJS.Timeout | undefined;
  #timerAt = Number.POSITIVE_INFINITY;
  #isStopped = false;

  constructor(private readonly options: PromotionServiceOptions) {
    const { nodeName, incarnation, store, promotion } = options;
    const isReplaced = (instance: InstanceEntry): boolean =>
      this.#machine.hasNewIncarnation(instance);
    const guard = { isReplaced, reported: this.#reportedStates };
    const { pooled = options.control } = options;
    const control = rejectReplacedIncarnations(combine(options.control, pooled, 'pause'), guard);
    this.#statusControl = rejectReplacedIncarnations(
      combine(options.control, pooled, 'status'),
      guard,
    );
    const timings = { ...DEFAULT_PROMOTION_TIMINGS, ...expiryOf(options), ...options.timings };
    const minimumSeconds = Math.ceil(options.minimumLeaseMs / MILLISECONDS_PER_SECOND);
    const leaseSeconds = Math.max(timings.leaseSeconds, minimumSeconds);
    this.#now = options.now ?? (() => performance.now());
    this.#machine = new PromotionStateMachine({
      nodeName,
      incarnation,
      directoryAt: options.directoryAt,
      linkMbps: options.linkMbps,
      peer: options.peer,
      largestDirectFleet: options.largestDirectFleet,
      smallestReaderFleet: options.smallestReaderFleet,
      hasQuotas: options.hasQuotas,
      isFirstStart: options.isFirstStart,
      mayConnect: options.mayConnect,
      timings: { ...timings, leaseSeconds },
      random: options.random ?? Math.random,
    });
    const classifyFailure = options.classifyFailure ?? classifyBySystemCall;
    this.#runner = new RequestRunner({ store, control, promotion, classifyFailure, nodeName });
    this.#confirmation = new TermConfirmation({
      control: this.#statusControl,
      classifyFailure,
      onHeld: (primary, term) => this.#demote(control, primary, term, timings.controlTimeoutMs),
      membersOf: (service) => this.#machine.membersOf(service),
      membersWithoutAddressOf: (service) => this.#machine.membersWithoutAddress(service),
      areMembersCurrent: () => this.#machine.areMembersCurrent(this.#now()),
      syncReplicasOf: (service) => this.#syncReplicas.get(service) ?? 0,
      now: this.#now,
      minRoundIntervalMs: MIN_CONFIRMATION_INTERVAL_MS,
      timeoutMs: timings.controlTimeoutMs,
    });
  }

  start(): void {
    this.#handle({ type: 'start' });
  }

  /** Hands over leadership ahead of a planned stop; the node continues as before otherwise. */
  releaseLeadership(): Promise<void> {
    return new Promise((resolve) => {
      this.#releaseWaiters.push(resolve);
      this.#handle({ type: 'release-leadership' });
    });
  }

  /** Ends the right to use primaries, and then the node's lease. */
  stop(): Promise<void> {
    return new Promise((resolve) => {
      if (this.#isStopped) {
        resolve();
        return;
      }
      this.#stopWaiters.push(resolve);
      this.#handle({ type: 'stop' });
    });
  }

  /** The store responds again after an outage. */
  handleStoreReturned(): void {
    this.#handle({ type: 'store-returned' });
  }

  /** The store has reported its era for the first time, or a higher one. */
  handleStoreEra(era: number): void {
    this.#handle({ type: 'store-era', era });
  }

  setInstances(entries: readonly InstanceEntry[]): void {
    this.#handle({ type: 'instances-changed', entries });
  }

  /** Applies the members known to a peer that has read the records. */
  setReportedMembers(entries: readonly InstanceEntry[]): void {
    this.#handle({ type: 'members-told', entries });
  }

  /** How current this node's list of members is, for peers. */
  describeMemberList(): MemberListState {
    const now = this.#now();
    const watchedAt = this.options.instances?.instancesProvenAt() ?? Number.NEGATIVE_INFINITY;
    const provenAt = Math.max(this.#machine.memberListProvenAt, watchedAt);
    const listAgeMs = Number.isFinite(provenAt) ? Math.max(0, now - provenAt) : undefined;
    return {
      hasStore: this.#machine.hasStore(now),
      listAgeMs,
      outages: this.#machine.storeOutages(now),
      fleetNodes: this.#machine.liveNodeCount(),
    };
  }

  /** Applies a peer's report on its list of members. */
  recordMemberList(report: PeerListReport, departed: readonly InstanceEntry[]): void {
    this.#handle({ type: 'member-list-reported', report, departed });
  }

  async confirmMembers(): Promise<Milliseconds> {
    const { instances } = this.options;
    if (instances !== undefined && this.#machine.hasStore(this.#now())) {
      // A slow store's answer still counts for the next round.
      const reading = instances.confirmInstances().then((sentAt) => {
        if (sentAt !== undefined) this.#handle({ type: 'member-list-read', sentAt });
      });
      await firstWithin([reading], CONFIRM_MEMBERS_TIMEOUT_MS);
    }
    return this.#machine.membersCompleteAsOf(this.#now(), this.options.peersKnown?.() ?? 0);
  }

  /** Members of all services, whether or not they are registered in the store. */
  countedMembers(): InstanceEntry[] {
    return [...this.#syncReplicas.keys()].flatMap((service) => this.#machine.membersOf(service));
  }

  setServices({ services }: PublishedConfiguration): void {
    this.#syncReplicas = new Map(services.map(({ name, syncReplicas }) => [name, syncReplicas]));
    this.#handle({ type: 'services-changed', services });
  }

  primaryOf(service: string): InstanceEntry | undefined {
    return this.#machine.primaryOf(service, this.#now());
  }

  mayTrustPrimary(service: string, now: Milliseconds, instance?: string): boolean {
    return this.#machine.mayTrustPrimary(service, now, instance);
  }

  /**
   * Sends a query for the role if it is not known. Where owners hold the instance's connections, this node can't query it
   * and relies on the records.
   */
  hasBeenPrimary(instance: InstanceEntry): boolean {
    if (this.#reportedStates.hasBeenPrimary(instance)) return true;
    if (this.options.mayConnect?.(instance) === false) return true;
    this.#queryRole(instance);
    return false;
  }

  /** The guard of the control calls records the response. */
  #queryRole(instance: InstanceEntry): void {
    const now = this.#now();
    const queriedAt = this.#roleQueriedAt.get(instance.service) ?? Number.NEGATIVE_INFINITY;
    if (now - queriedAt < ROLE_QUERY_INTERVAL_MS) return;
    this.#roleQueriedAt.set(instance.service, now);
    const { logger } = this.options;
    void this.#statusControl.status(instance, ROLE_QUERY_TIMEOUT_MS).match(
      ({ role }) => logger.debug('role of a primary', () => ({ instance: instance.id, role })),
      ({ code }) => logger.debug('role unknown', () => ({ instance: instance.id, code })),
    );
  }

  recordRestart(instance: InstanceEntry): void {
    if (!this.#reportedStates.hasBeenPrimary(instance)) return;
    this.#reportedStates.recordRestart(instance);
    const { id, service } = instance;
    this.options.logger.warn('primary has restarted without its log', { service, instance: id });
  }

  confirmPrimary(service: string, instance: string): Promise<boolean> {
    if (!this.#canQueryMembers(service)) return Promise.resolve(false);
    return this.#confirmation.confirm(service, instance, 'read');
  }

  judgeCommits(
    service: string,
    instance: string,
    position?: Position,
  ): Promise<CommitVerdict | undefined> {
    if (!this.#canQueryMembers(service)) return Promise.resolve(undefined);
    return this.#confirmation.judge(service, instance, position);
  }

  judgeWrite(service: string, instance: string): Promise<CommitVerdict | undefined> {
    if (!this.#canQueryMembers(service)) return Promise.resolve(undefined);
    return this.#confirmation.judgeWrite(service, instance);
  }

  acknowledgedPosition(service: string): Promise<Position | undefined> {
    if (!this.#canQueryMembers(service)) return Promise.resolve(undefined);
    return this.#confirmation.acknowledgedPosition(service);
  }

  /**
   * Any node that learns of a held replica demotes the old primary: the leader of the change may not reach it, and commits
   * sent there before may still be acknowledged by a replica that has just joined.
   */
  #demote(
    control: InstanceControl,
    primary: InstanceEntry,
    term: number,
    timeoutMs: Milliseconds,
  ): void {
    const { id: instance, service } = primary;
    this.options.logger.info('primary to be demoted, a replica is held', {
      ...{ service, instance, term },
    });
    void control.demote(primary, term, timeoutMs).match(
      ({ role }) => this.options.logger.info('primary demoted', { service, instance, term, role }),
      ({ code }) => this.options.logger.warn('primary not demoted', { service, instance, code }),
    );
  }

  /** False if owners hold an instance's connections: it has none left for this node's queries. */
  #canQueryMembers(service: string): boolean {
    const { mayConnect = () => true } = this.options;
    return this.#machine.membersOf(service).every((member) => mayConnect(member));
  }

  unsettledCandidates(service: string): readonly UnsettledInstance[] {
    return this.#machine.unsettledCandidates(service, this.#now());
  }

  isChanging(service: string): boolean {
    return this.#machine.isChanging(service);
  }

  recordCommit(service: string, commit: AcknowledgedCommit): void {
    this.#machine.recordCommit(service, commit);
  }

  recordPosition(instance: InstanceEntry, position: Position): void {
    this.#reportedStates.recordPosition(instance, position);
  }

  reportPrimaryFailure(
    service: string,
    _now: Milliseconds,
    use: PrimaryUse = 'reach',
    silentForMs: Milliseconds = 0,
  ): void {
    this.#handle({ type: 'primary-failed', service, use, silentForMs });
  }

  reportPrimarySuccess(service: string, _now: Milliseconds, use: PrimaryUse = 'reach'): void {
    if (this.#machine.canIgnoreSuccess(service)) return;
    this.#handle({ type: 'primary-succeeded', service, use });
  }

  liveNodeCount(): number {
    return this.#machine.liveNodeCount();
  }

  /** The nodes that read the store for the others; the same array until the leader names others. */
  watchReaders(): readonly ReachableNode[] {
    return this.#machine.watchReaders();
  }

  /** The keepers of the tenants' quotas. */
  quotaKeepers(): QuotaKeepers | undefined {
    return this.#machine.quotaKeepers();
  }

  /** True while no other node can have been named keeper of this node's quota parts. */
  mayKeepQuotas(): boolean {
    return this.#machine.mayKeepQuotas(this.#now());
  }

  /** Addresses at which nodes respond to requests for their directory. */
  peerAddresses(): readonly PeerAddress[] {
    return this.#machine.peerAddresses();
  }

  /** Revision up to which the records of primaries are known; 0 if unknown. */
  get recordsRevision(): number {
    return this.#machine.recordsRevision;
  }

  ownerRoster(): OwnerRoster | undefined {
    return this.#machine.ownerRoster();
  }

  returnRoster(): OwnerRoster | undefined {
    return this.#machine.returnRoster();
  }

  get isLeader(): boolean {
    return this.#machine.isLeader;
  }

  get watchesPrimaries(): boolean {
    return this.isLeader;
  }

  /** Events raised by an effect are handled after the remaining effects of the current event. */
  #handle(event: PromotionEvent): void {
    this.#queue.push(event);
    if (this.#isHandling) return;
    this.#isHandling = true;
    for (let next = this.#queue.shift(); next !== undefined; next = this.#queue.shift()) {
      for (const effect of this.#machine.handle(next, this.#now())) this.#execute(effect);
    }
    this.#isHandling = false;
    if (!this.#isStopped) this.#setTimer();
  }

  #setTimer(): void {
    const at = this.#machine.nextDeadline() ?? Number.POSITIVE_INFINITY;
    if (at === this.#timerAt) return;
    clearTimeout(this.#timer);
    this.#timerAt = at;
    if (at === Number.POSITIVE_INFINITY) return;
    const onTimeout = (): void => {
      this.#timerAt = Number.POSITIVE_INFINITY;
      this.#handle({ type: 'tick' });
    };
    this.#timer = setTimeout(onTimeout, Math.max(0, Math.ceil(at - this.#now())));
  }

  #execute(effect: PromotionEffect): void {
    switch (effect.type) {
      case 'request':
        void this.#runRequest(effect.id, effect.request);
        return;
      case 'open-watch':
        this.#openWatch(effect.id, effect.prefix, effect.fromRevision);
        return;
      case 'close-watch':
        this.#watches.get(effect.id)?.();
        this.#watches.delete(effect.id);
        return;
      case 'primary-changed':
        this.#handlePrimaryChanged(effect.service);
        return;
      case 'end-use':
        void this.#endUse(effect.service, effect.change);
        return;
      case 'leadership-released':
        for (const resolve of this.#releaseWaiters.splice(0)) resolve();
        return;
      case 'stopped':
        this.#handleStopped();
        return;
      case 'log':
        this.options.logger[effect.level](effect.event, effect.fields);
    }
  }

  #handlePrimaryChanged(service: string): void {
    this.onChange(service);
    const primary = this.primaryOf(service);
    // Reads there need to know its role.
    if (primary !== undefined) this.hasBeenPrimary(primary);
  }

  async #runRequest(requestId: number, request: PromotionRequest): Promise<void> {
    const answer = await this.#runner.run(request);
    this.#handle({ type: 'answer', request: requestId, answer });
  }

  async #endUse(service: string, change: number): Promise<void> {
    await this.options.endPrimaryUse?.(service).catch(() => {});
    this.#handle({ type: 'use-ended', service, change });
  }

  #openWatch(id: number, prefix: string, fromRevision: number): void {
    const close = this.options.store.watch(prefix, fromRevision, {
      onEvents: (events, revision) =>
        this.#handle({ type: 'watch-events', watch: id, events, revision }),
      onEnd: (_error, compacted) => {
        this.#watches.delete(id);
        this.#handle({ type: 'watch-ended', watch: id, compacted });
      },
    });
    this.#watches.set(id, close);
  }

  #handleStopped(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    for (const close of this.#watches.values()) close();
    this.#watches.clear();
    for (const resolve of [...this.#stopWaiters.splice(0), ...this.#releaseWaiters.splice(0)])
      resolve();
  }
}

/** The calls of `control`, except that one goes over the pools. */
function combine(
  control: InstanceControl,
  pooled: PooledCalls,
  through: keyof PooledCalls,
): InstanceControl {
  const statusCalls = through === 'status' ? pooled : control;
  const pauseCalls = through === 'pause' ? pooled : control;
  return {
    status: (...call) => statusCalls.status(...call),
    pause: (...call) => pauseCalls.pause(...call),
    resume: (...call) => control.resume(...call),
    demote: (...call) => control.demote(...call),
    close: () => control.close(),
  };
}

function expiryOf({
  registrationExpiryMs,
}: Pick<PromotionServiceOptions, 'registrationExpiryMs'>): Partial<PromotionTimings> {
  if (registrationExpiryMs === undefined) return {};
  return { registrationExpiryMs: registrationExpiryMs + REGISTRATION_DELAY_MS };
}
