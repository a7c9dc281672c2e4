/**
 * Runs the promotion machine of one node on the real store, instances and clock. Start, feed it the
 * instances and services as they change, release the lead ahead of a planned stop, then stop.
 */
import type { OwnerRoster, ReachableNode } from '../../core/ownership/owner-roster.js';
import type { Position } from '../../core/position.js';
import type { CommitVerdict } from '../../core/promotion/commit-verdict.js';
import type {
  PromotionEffect,
  PromotionEvent,
  PromotionRequest,
} from '../../core/promotion/contract.js';
import { PromotionStateMachine } from '../../core/promotion/machine.js';
import { DEFAULT_PROMOTION_TIMINGS, type PromotionTimings } from '../../core/promotion/options.js';
import type { PeerLocation } from '../../core/promotion/records.js';
import type { QuotaKeepers } from '../../core/tenancy/quota-keepers.js';
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../../core/units.js';
import type { Logger } from '../../observability/logger.js';
import type { PeerAddress } from '../../peer/contract.js';
import type { Store } from '../../platform/contract.js';
import type { InstanceControl, InstanceEntry, PublishedConfiguration } from '../contract.js';
import type { BoundedPromotionCaller, EndPrimaryUse, PrimaryUse, PrimaryView } from './contract.js';
import { type ClassifyControlFailure, classifyBySystemCall } from './control-failure.js';
import { rejectReplacedIncarnations } from './incarnation-guard.js';
import { RequestRunner } from './request-runner.js';
import { TermConfirmation } from './term-confirmation.js';

const CONFIRMATION_GAP_MS = 60;

export interface PromotionServiceOptions {
  readonly nodeName: string;
  /** Differs with every start of the process. */
  readonly incarnation: string;
  readonly minimumLeaseMs: Milliseconds;
  /** Where this node answers other nodes' questions for its directory. */
  readonly directoryAt?: PeerAddress | undefined;
  /** Where other nodes reach this one; absent if they can't. */
  readonly peer?: PeerLocation | undefined;
  /** What this node's link carries, as far as it is known. */
  readonly linkMbps?: number | undefined;
  /** Larger fleets share connections through owners; by default the instances' limits decide. */
  readonly largestDirectFleet?: number | undefined;
  /** From so many nodes on, a few read the store for the others. */
  readonly smallestReaderFleet?: number | undefined;
  /** Tenants have quotas, which some nodes keep. */
  readonly hasQuotas?: boolean | undefined;
  readonly isFirstStart?: boolean | undefined;
  /** Whether this node may open connections to an instance; by default it may. */
  readonly mayConnect?: (instance: InstanceEntry) => boolean;
  readonly store: Store;
  readonly control: InstanceControl;
  /** Asks members whether any leads a later term; `control` by default. */
  readonly status?: Pick<InstanceControl, 'status'>;
  readonly promotion: BoundedPromotionCaller;
  readonly logger: Logger;
  readonly timings?: Partial<PromotionTimings>;
  readonly classifyFailure?: ClassifyControlFailure;
  /** Without it, a node acknowledges a change without waiting for its writes. */
  readonly endPrimaryUse?: EndPrimaryUse;
  /** Monotonic clock; the process's own by default. */
  readonly now?: () => Milliseconds;
  readonly random?: () => number;
}

export class PromotionService implements PrimaryView {
  onChange: (service: string) => void = () => {};
  readonly #machine: PromotionStateMachine;
  readonly #runner: RequestRunner;
  readonly #confirmation: TermConfirmation;
  readonly #now: () => Milliseconds;
  readonly #watches = new Map<number, () => void>();
  readonly #released: (() => void)[] = [];
  readonly #stopped: (() => void)[] = [];
  #syncReplicas: ReadonlyMap<string, number> = new Map();
  readonly #queue: PromotionEvent[] = [];
  #isHandling = false;
  #timer: NodeJS.Timeout | undefined;
  #timerAt = Number.POSITIVE_INFINITY;
  #isStopped = false;

  constructor(private readonly options: PromotionServiceOptions) {
    const { nodeName, incarnation, store, promotion } = options;
    const isOver = (instance: InstanceEntry): boolean => this.#machine.hasNewIncarnation(instance);
    const control = rejectReplacedIncarnations(options.control, isOver);
    const asking =
      options.status &&
      rejectReplacedIncarnations({ ...control, ...bound(options.status) }, isOver);
    const timings = { ...DEFAULT_PROMOTION_TIMINGS, ...options.timings };
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
      control: asking ?? control,
      classifyFailure,
      onHeld: (primary, term) => this.#demote(control, primary, term, timings.controlTimeoutMs),
      membersOf: (service) => this.#machine.membersOf(service),
      unseenMembersOf: (service) => this.#machine.membersWithoutAddress(service),
      areMembersCurrent: (service) => this.#machine.areMembersCurrent(service, this.#now()),
      syncReplicasOf: (service) => this.#syncReplicas.get(service) ?? 0,
      now: this.#now,
      minimumGapMs: CONFIRMATION_GAP_MS,
      timeoutMs: timings.controlTimeoutMs,
    });
  }

  start(): void {
    this.#handle({ type: 'start' });
  }

  /** Hands on the duty of promotions, for a planned stop; the node goes on as before otherwise. */
  releaseLeadership(): Promise<void> {
    return new Promise((resolve) => {
      this.#released.push(resolve);
      this.#handle({ type: 'release-leadership' });
    });
  }

  /** Ends the permission to use primaries, and then the node's lease. */
  stop(): Promise<void> {
    return new Promise((resolve) => {
      if (this.#isStopped) {
        resolve();
        return;
      }
      this.#stopped.push(resolve);
      this.#handle({ type: 'stop' });
    });
  }

  /** The store answers again, after a while in which it answered nothing. */
  noteStoreReturned(): void {
    this.#handle({ type: 'store-returned' });
  }

  /** The store has named its era for the first time, or one that is higher. */
  noteStoreEra(era: number): void {
    this.#handle({ type: 'store-era', era });
  }

  noteInstances(entries: readonly InstanceEntry[]): void {
    this.#handle({ type: 'instances-changed', entries });
  }

  /** Takes members as a peer knows them that has read the records. */
  noteMembersTold(entries: readonly InstanceEntry[]): void {
    this.#handle({ type: 'members-told', entries });
  }

  /** Members of all services that count, whether or not the store has an entry of them. */
  countedMembers(): InstanceEntry[] {
    return [...this.#syncReplicas.keys()].flatMap((service) => this.#machine.membersOf(service));
  }

  noteServices({ services }: PublishedConfiguration): void {
    this.#syncReplicas = new Map(services.map(({ name, syncReplicas }) => [name, syncReplicas]));
    this.#handle({ type: 'services-changed', services });
  }

  primaryOf(service: string): InstanceEntry | undefined {
    return this.#machine.primaryOf(service, this.#now());
  }

  mayTrustPrimary(service: string, now: Milliseconds, instance?: string): boolean {
    return this.#machine.mayTrustPrimary(service, now, instance);
  }

  confirmPrimary(service: string, instance: string): Promise<boolean> {
    if (!this.#mayAskMembers(service)) return Promise.resolve(false);
    return this.#confirmation.confirm(service, instance, 'read');
  }

  judgeCommits(
    service: string,
    instance: string,
    position?: Position,
  ): Promise<CommitVerdict | undefined> {
    if (!this.#mayAskMembers(service)) return Promise.resolve(undefined);
    return this.#confirmation.judge(service, instance, position);
  }

  judgeWrite(service: string, instance: string): Promise<CommitVerdict | undefined> {
    if (!this.#mayAskMembers(service)) return Promise.resolve(undefined);
    return this.#confirmation.judgeAhead(service, instance);
  }

  acknowledgedPosition(service: string): Promise<Position | undefined> {
    if (!this.#mayAskMembers(service)) return Promise.resolve(undefined);
    return this.#confirmation.acknowledgedPosition(service);
  }

  /**
   * The leader of the change may not reach the old primary, where commits that were sent before may be acknowledged yet
   * by a replica that has just joined. Whoever learns of a hold demotes it.
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

  /** Where owners hold the connections, an instance has none left for this node's questions. */
  #mayAskMembers(service: string): boolean {
    const { mayConnect = () => true } = this.options;
    return this.#machine.membersOf(service).every((member) => mayConnect(member));
  }

  isChanging(service: string): boolean {
    return this.#machine.isChanging(service);
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

  /** The nodes that read the store for the others; the same list until another is named. */
  watchReaders(): readonly ReachableNode[] {
    return this.#machine.watchReaders();
  }

  /** The nodes that keep the tenants' quotas. */
  quotaKeepers(): QuotaKeepers | undefined {
    return this.#machine.quotaKeepers();
  }

  /** True while no other node can have been named for what this one keeps. */
  mayKeepQuotas(): boolean {
    return this.#machine.mayKeepQuotas(this.#now());
  }

  /** Where nodes answer questions for their directory. */
  peerAddresses(): readonly PeerAddress[] {
    return this.#machine.peerAddresses();
  }

  /** Revision up to which the records of primaries are known; 0 if they are not. */
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

  /** What an effect brings about at once comes after the effects of the event at hand. */
  #handle(event: PromotionEvent): void {
    this.#queue.push(event);
    if (this.#isHandling) return;
    this.#isHandling = true;
    for (let next = this.#queue.shift(); next !== undefined; next = this.#queue.shift()) {
      for (const effect of this.#machine.handle(next, this.#now())) this.#carryOut(effect);
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
    const onTime = (): void => {
      this.#timerAt = Number.POSITIVE_INFINITY;
      this.#handle({ type: 'tick' });
    };
    this.#timer = setTimeout(onTime, Math.max(0, Math.ceil(at - this.#now())));
  }

  #carryOut(effect: PromotionEffect): void {
    switch (effect.type) {
      case 'request':
        void this.#run(effect.id, effect.request);
        return;
      case 'open-watch':
        this.#openWatch(effect.id, effect.prefix, effect.fromRevision);
        return;
      case 'close-watch':
        this.#watches.get(effect.id)?.();
        this.#watches.delete(effect.id);
        return;
      case 'primary-changed':
        this.onChange(effect.service);
        return;
      case 'end-use':
        void this.#endUse(effect.service, effect.change);
        return;
      case 'leadership-released':
        for (const resolve of this.#released.splice(0)) resolve();
        return;
      case 'stopped':
        this.#noteStopped();
        return;
      case 'log':
        this.options.logger[effect.level](effect.event, effect.fields);
    }
  }

  async #run(request: number, asked: PromotionRequest): Promise<void> {
    const answer = await this.#runner.run(asked);
    this.#handle({ type: 'answer', request, answer });
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

  #noteStopped(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    for (const close of this.#watches.values()) close();
    this.#watches.clear();
    for (const resolve of [...this.#stopped.splice(0), ...this.#released.splice(0)]) resolve();
  }
}

function bound(status: Pick<InstanceControl, 'status'>): Pick<InstanceControl, 'status'> {
  return { status: (instance, timeoutMs) => status.status(instance, timeoutMs) };
}
