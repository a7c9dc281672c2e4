/** One database group as this node uses it: a pool for each instance, and the known positions of the group's log. */
import { connectionsPerOwner, RESERVED_CONNECTIONS } from '../core/ownership/connection-sharing.js';
import type { OwnerRoster } from '../core/ownership/owner-roster.js';
import { UNSETTLED_FRACTION, unsettledConnections } from '../core/ownership/unsettled-share.js';
import type { ReadCandidate } from '../core/placement/expected-time.js';
import { comparePositions, type Position } from '../core/position.js';
import { isOtherIncarnation } from '../core/promotion/incarnations.js';
import { rankInstances } from '../core/statements/instance-choice.js';
import { type PositionSample, PositionSamples } from '../core/statements/position-samples.js';
import type { KnownPrimary } from '../core/statements/primary-evidence.js';
import type { Milliseconds } from '../core/units.js';
import type { LatencyHistogram } from '../observability/latency-histogram.js';
import { Cancellation } from './cancellation.js';
import type { InstanceEntry } from './contract.js';
import type { DirectorySource } from './directory-follower.js';
import { InstancePool, type InstancePoolOptions } from './instance-pool.js';
import type { PrimaryView } from './promotion/contract.js';
import type { InstanceOwnership, LendableInstance, OwnershipView } from './relay/contract.js';

const MIN_CONNECTIONS = 1;
/** Maximum connections to an instance while the number of nodes is only assumed. */
const MAX_CONNECTIONS_UNKNOWN_FLEET = 3;
/**
 * Fraction of an instance's connections that the nodes open without delay. The rest is headroom: the connections of a
 * node that lost power stay open for seconds, and the node needs new ones as soon as it is back.
 */
const SOFT_LIMIT_FRACTION = 0.45;
/** New work for a leaving instance ends this long before its drain timeout. */
const DRAIN_MARGIN_MS = 1500;
/**
 * Time for which an instance is still used that only a peer reported and that the store doesn't list. It may have left
 * long ago, so its use ends before this node has been connected to the store for a few seconds.
 */
const UNCONFIRMED_GRACE_MS = 2500;

/**
 * An instance closes a connection to an unreachable node after 3 s. Until then the connections of nodes that lost
 * power count beside those of the processes that replace them, which therefore use only half of their share at first.
 */
const SETTLING_MS = 3500;

/** A primary that answers no repeated query counts as unavailable between the queries too. */
const RECENT_FAILURE_MS: Milliseconds = 700;
/** Used as instance id of a position that was derived from the replicas' responses together. */
export const REPORTED_BY_REPLICAS = '';

interface PrimaryAnswer {
  readonly instanceId: string;
  readonly position: Position;
  readonly answeredAt: Milliseconds;
}

export interface ServiceRuntimeOptions {
  readonly zone: string;
  /** Initial number of nodes that share the instances' connections. */
  readonly nodeCount: number;
  /** False while `nodeCount` is only assumed; true by default. */
  readonly isNodeCountKnown?: boolean;
  /** Start time of the process; if absent, the process counts as long-running. */
  readonly startedAt?: Milliseconds;
  /** Whether no earlier process can have left connections behind; false by default. */
  readonly isFirstStart?: boolean;
  readonly pool: InstancePoolOptions;
  readonly drainTimeoutMs: Milliseconds;
  readonly view: PrimaryView;
  readonly ownership: OwnershipView;
  /** Whether each connection is bound to one tenant; false by default. */
  readonly isByTenant?: () => boolean;
  /**
   * Time since which the store has kept the registrations current without an outage; undefined while they may be out of
   * date.
   */
  readonly registrationsHealthySince: () => Milliseconds | undefined;
  /** Records the duration of primary changes. */
  readonly changes?: LatencyHistogram;
  readonly now: () => Milliseconds;
}

/** A write or commit that is being sent or not answered yet. */
export interface InFlightWrite {
  /** End of the primary's log as last reported before the write was sent; undefined if unknown. */
  readonly logEndBefore: Position | undefined;
  end(): void;
}

/** An instance with its pool, as a candidate for reads. */
export interface InstanceRuntime extends ReadCandidate {
  readonly pool: InstancePool;
  /** Whether it may get new work. */
  isUsable(now: Milliseconds): boolean;
}

class InstanceState implements InstanceRuntime, LendableInstance {
  /** Time from which it gets no new work. */
  usableUntil: Milliseconds = Number.POSITIVE_INFINITY;
  /** A leaving replica gets no new reads. */
  isLeaving = false;
  /** Its registration is gone without an announced stop. */
  hasVanished = false;
  /** Its registration may be gone only because it could not be renewed during an outage of the store. */
  mayHaveExpired = false;
  primary = false;
  /** The store itself has listed it, not only a peer. */
  isConfirmed = false;
  /** Undefined while every node opens its own connections. */
  ownership: InstanceOwnership | undefined;
  /** Roster that `ownership` was computed from. */
  roster: OwnerRoster | undefined;
  /** Time since which this node has been an owner without interruption. */
  ownedSince: Milliseconds = Number.POSITIVE_INFINITY;

  constructor(
    readonly id: string,
    readonly sameZone: boolean,
    readonly pool: InstancePool,
    private readonly isStoreHealthy: () => boolean,
  ) {}

  get mayConnect(): boolean {
    return this.ownership === undefined || this.ownership.isOwned;
  }

  get isOwned(): boolean {
    return this.ownership?.isOwned === true;
  }

  /** A registration that may merely have expired ends use only while the store is healthy. */
  isUsable(now: Milliseconds): boolean {
    return now < this.usableUntil || (this.mayHaveExpired && !this.isStoreHealthy());
  }

  get outstanding(): number {
    return this.pool.outstanding;
  }

  get answerMs(): Milliseconds {
    return this.pool.health.answerMs;
  }

  get slots(): number {
    return this.pool.instance.slots;
  }

  get avoidUntil(): Milliseconds {
    return this.pool.isUnreachable ? Number.POSITIVE_INFINITY : this.pool.health.avoidUntil;
  }
}

/**
 * Registrations that expired during an outage of the store are back about two seconds after it answers again, if their
 * instances are running.
 */
const REGISTRATIONS_BACK_MS: Milliseconds = 2300;

export class ServiceRuntime {
  readonly samples = new PositionSamples();
  readonly #instances = new Map<string, InstanceState>();
  #maxConnections = 0;
  #nodeCount: number;
  #isNodeCountKnown: boolean;
  #samplesSource: string | undefined;
  /** Highest position that the primary has reported to this node. */
  #newestAnswer: PrimaryAnswer | undefined;
  /** Whether the limits of settled operation were applied. */
  #hasSettled = false;
  #trustedPrimary: KnownPrimary | undefined;
  /** Start of the primary change in progress. */
  #changeStartedAt: Milliseconds | undefined;
  #writes = 0;
  readonly #writeWaiters: (() => void)[] = [];
  #changeOfPrimary = new Cancellation();

  constructor(
    readonly name: string,
    private readonly options: ServiceRuntimeOptions,
  ) {
    this.#nodeCount = options.nodeCount;
    this.#isNodeCountKnown = options.isNodeCountKnown ?? true;
  }

  /** Sets the registered instances. Instances without a registration get no new work after a grace period. */
  setInstances(entries: readonly InstanceEntry[], source: DirectorySource = 'store'): void {
    const now = this.options.now();
    const present = new Set<string>();
    for (const entry of entries) {
      present.add(entry.id);
      const state = this.#applyEntry(entry, now);
      if (source === 'store') state.isConfirmed = true;
    }
    for (const [id, state] of this.#instances) {
      if (present.has(id)) continue;
      if (entries.some((entry) => isOtherIncarnation(state.pool.instance, entry)))
        this.#endUse(state, now);
      if (!state.isLeaving) {
        state.hasVanished = true;
        state.mayHaveExpired = !this.#isStoreSettled(now);
      }
      this.#startLeaving(state, now);
    }
    this.#removeAbsent(now, present);
    this.#updateLimits();
  }

  /** Adds departed members that a peer reports: they get no work, but count in every confirmation of the primary. */
  addDeparted(entries: readonly InstanceEntry[]): void {
    const now = this.options.now();
    for (const entry of entries) {
      if (!this.#instances.has(entry.id)) this.#applyEntry({ ...entry, draining: true }, now);
    }
    this.#updateLimits();
  }

  setMaxConnections(maxConnections: number): void {
    this.#maxConnections = maxConnections;
    this.#updateLimits();
  }

  setNodeCount(nodeCount: number): void {
    this.#nodeCount = nodeCount;
    this.#isNodeCountKnown = true;
    this.#updateLimits();
  }

  /** Divides the instances' connections among the nodes. */
  #updateLimits(): void {
    const nodes = Math.max(1, this.#nodeCount);
    const share = Math.floor((this.#maxConnections - RESERVED_CONNECTIONS) / nodes);
    const maxLimit = this.#isNodeCountKnown
      ? Number.POSITIVE_INFINITY
      : MAX_CONNECTIONS_UNKNOWN_FLEET;
    const settledLimit = Math.min(maxLimit, Math.max(MIN_CONNECTIONS, share));
    const isSettled = this.#isSettled();
    const softShare = Math.floor((this.#maxConnections * SOFT_LIMIT_FRACTION) / nodes);
    const softLimit = Math.max(MIN_CONNECTIONS, softShare);
    for (const state of this.#instances.values()) {
      this.#updateOwnership(state);
      if (state.ownership !== undefined) {
        this.#limitByOwners(state);
        continue;
      }
      const { slots } = state.pool.instance;
      const limit = isSettled ? settledLimit : unsettledConnections(settledLimit, { slots, nodes });
      state.pool.setLimit(this.#limitUntilOwners(state, limit), softLimit, nodes);
    }
  }

  /** While owners are pending, opens no further connections: those of all nodes would leave none for the owners. */
  #limitUntilOwners({ pool }: InstanceState, limit: number): number {
    return this.options.ownership.isPending === true ? Math.min(limit, pool.size) : limit;
  }

  /** False while connections of an earlier process on this node may still count at the instances. */
  #isSettled(): boolean {
    const { startedAt, isFirstStart = false, now } = this.options;
    return isFirstStart || startedAt === undefined || now() - startedAt >= SETTLING_MS;
  }

  /** Recomputes the ownership of an instance if the roster has changed. */
  #updateOwnership(state: InstanceState): void {
    const { ownership } = this.options;
    if (state.roster === ownership.roster) return;
    state.roster = ownership.roster;
    const wasOwned = state.isOwned;
    state.ownership = ownership.ownershipOf(state.pool.instance);
    if (!state.isOwned) state.ownedSince = Number.POSITIVE_INFINITY;
    else if (!wasOwned) state.ownedSince = this.options.now();
    state.pool.setLender(state.ownership?.lender);
  }

  /** Only owners open connections; they divide the instance's connections among themselves. */
  #limitByOwners(state: InstanceState): void {
    const owners = this.options.ownership.roster?.ownersPerInstance ?? 1;
    const { isByTenant } = this.options;
    const share = connectionsPerOwner(owners, this.#maxConnections, isByTenant?.());
    const isSettled = this.options.now() - state.ownedSince >= SETTLING_MS;
    const ownedLimit = isSettled ? share : Math.ceil(share * UNSETTLED_FRACTION);
    const limit = state.isOwned ? ownedLimit : 0;
    state.pool.setLimit(limit, limit, owners, state.isOwned);
  }

  /** Called when the owners of instances have changed. */
  updateOwners(): void {
    this.#updateLimits();
  }

  /** The instance whose connections other nodes may borrow; undefined if unknown. */
  lendable(instanceId: string): LendableInstance | undefined {
    return this.#instances.get(instanceId);
  }

  /** Number of connections currently leased from other nodes. */
  get leasedCount(): number {
    let count = 0;
    for (const state of this.#instances.values()) count += state.pool.leasedCount;
    return count;
  }

  /** Number of this node's own connections to the instances, open or being opened. */
  get connectionCount(): number {
    let count = 0;
    for (const state of this.#instances.values()) count += state.pool.size;
    return count;
  }

  /** Called periodically: closes surplus connections, and raises the limits to the full share once settled. */
  trim(): void {
    this.#confirmRemovals(this.options.now());
    if (!this.#hasSettled && this.#isSettled()) {
      this.#hasSettled = true;
      this.#updateLimits();
    }
    for (const state of this.#instances.values()) {
      if (state.isOwned) this.#limitByOwners(state);
      state.pool.trim();
    }
  }

  /** All known instances, including leaving ones. */
  members(): InstanceRuntime[] {
    return [...this.#instances.values()];
  }

  /** Instances that may serve a read now. */
  readable(now: Milliseconds): InstanceRuntime[] {
    const primaryId = this.options.view.primaryOf(this.name)?.id;
    const usable: InstanceState[] = [];
    this.#confirmRemovals(now);
    for (const state of this.#instances.values()) {
      state.primary = state.id === primaryId;
      const isAvailable = !state.isLeaving || state.mayHaveExpired;
      if (isAvailable && state.isUsable(now)) usable.push(state);
    }
    return usable;
  }

  /** The instances that most statements are sent to: the primary and the best-ranked replica. */
  mostUsed(now: Milliseconds): InstanceRuntime[] {
    const readable = this.readable(now);
    const replica = rankInstances(
      readable.filter(({ primary }) => !primary),
      now,
    ).slice(0, 1);
    return [...readable.filter(({ primary }) => primary), ...replica];
  }

  /** Whether the store has been healthy long enough for registrations that expired in an outage to be back. */
  #isStoreSettled(now: Milliseconds): boolean {
    const healthySince = this.options.registrationsHealthySince();
    return healthySince !== undefined && now - healthySince >= REGISTRATIONS_BACK_MS;
  }

  /**
   * Once the store has been healthy for long enough, registrations that are still missing are gone: a later outage is no
   * reason to use their instances again.
   */
  #confirmRemovals(now: Milliseconds): void {
    if (!this.#isStoreSettled(now)) return;
    for (const state of this.#instances.values()) state.mayHaveExpired = false;
  }

  #isStoreHealthy(): boolean {
    return this.options.registrationsHealthySince() !== undefined;
  }

  /** The primary, if it is known and may get new work. */
  primary(now: Milliseconds): InstanceRuntime | undefined {
    const entry = this.options.view.primaryOf(this.name);
    if (entry === undefined) return undefined;
    const state = this.#instances.get(entry.id);
    if (state?.isUsable(now) !== true) return undefined;
    return state;
  }

  /** Cancelled when the current primary is being replaced, so that waiting statements choose another target. */
  get changeOfPrimary(): Cancellation {
    return this.#changeOfPrimary;
  }

  /** Called when a primary change has started or ended. */
  handlePrimaryChange(): void {
    this.#measureChange();
    // A change may roll back what the same instance had reported before.
    this.#newestAnswer = undefined;
    const before = this.#changeOfPrimary;
    this.#changeOfPrimary = new Cancellation();
    before.cancel();
  }

  #measureChange(): void {
    const { view, now, changes } = this.options;
    if (view.isChanging(this.name)) {
      this.#changeStartedAt ??= now();
      return;
    }
    if (this.#changeStartedAt !== undefined) changes?.observe(now() - this.#changeStartedAt);
    this.#changeStartedAt = undefined;
  }

  /** Records the term of a primary that another node has confirmed. */
  recordTerm(known: KnownPrimary): void {
    if (known.term > (this.#trustedPrimary?.term ?? -1)) this.#trustedPrimary = known;
  }

  /** The last confirmed primary and its term. */
  get trustedPrimary(): KnownPrimary | undefined {
    return this.#trustedPrimary;
  }

  /** Term of an instance's log if it is the last confirmed primary. */
  trustedTermOf(instanceId: string): number | undefined {
    const trusted = this.#trustedPrimary;
    return trusted?.instanceId === instanceId ? trusted.term : undefined;
  }

  /**
   * Records the log position in an instance's answer to a message sent at `sentAt`. It is used only if the instance is
   * the primary and the lease or a proof confirms that.
   */
  recordPosition(
    instance: InstanceRuntime,
    sentAt: Milliseconds,
    position: Position | undefined,
    isProven = false,
  ): void {
    const { view, now } = this.options;
    if (position === undefined) return;
    const { instance: entry } = instance.pool;
    if (entry.lifeOf !== undefined) view.recordPosition(entry, position);
    if (view.primaryOf(this.name)?.id !== instance.id) return;
    const isTrusted = view.mayTrustPrimary(this.name, now()) && view.hasBeenPrimary(entry);
    if (!isProven && !isTrusted) return;
    if (this.#isFromLaterIncarnation(instance, sentAt, position)) {
      view.recordRestart(entry);
      return;
    }
    if (isTrusted) this.#trustedPrimary = { instanceId: instance.id, term: position.timeline };
    if (this.#samplesSource !== instance.id) this.samples.clear();
    this.#samplesSource = instance.id;
    this.samples.add({ sentAt, position });
  }

  /** Whether a primary's log is behind what it was before the message was sent: then a later incarnation responds. */
  #isFromLaterIncarnation(
    { id, pool }: InstanceRuntime,
    sentAt: Milliseconds,
    position: Position,
  ): boolean {
    if (pool.instance.lifeOf === undefined) return false;
    const newest = this.#newestAnswer;
    if (newest?.instanceId === id && comparePositions(position, newest.position) < 0)
      return sentAt > newest.answeredAt;
    this.#newestAnswer = { instanceId: id, position, answeredAt: this.options.now() };
    return false;
  }

  /** True if no primary is usable, or a statement of this node failed at it recently. */
  isPrimaryAway(now: Milliseconds): boolean {
    const primary = this.primary(now);
    return primary === undefined || primary.avoidUntil + RECENT_FAILURE_MS > now;
  }

  /** Records a position from the replicas: every commit acknowledged before `sentAt` is at or before `position`. */
  recordAcknowledged(sentAt: Milliseconds, position: Position): void {
    const now = this.options.now();
    const newestAt = this.samples.newestAt() ?? Number.NEGATIVE_INFINITY;
    const hasRecentSample =
      this.#samplesSource !== REPORTED_BY_REPLICAS && now - newestAt < RECENT_FAILURE_MS;
    if (hasRecentSample || !this.isPrimaryAway(now)) return;
    this.#samplesSource = REPORTED_BY_REPLICAS;
    this.samples.add({ sentAt, position });
  }

  /** The newest known position and the instance that reported it (`REPORTED_BY_REPLICAS` if the replicas did). */
  newestSample(): (PositionSample & { readonly instanceId: string }) | undefined {
    const sample = this.samples.newest();
    const instanceId = this.#samplesSource;
    return sample && instanceId !== undefined ? { ...sample, instanceId } : undefined;
  }

  /** Counts a write or commit, which is about to be sent to the primary, as in flight until its `end` is called. */
  beginWrite(): InFlightWrite {
    this.#writes += 1;
    return { logEndBefore: this.samples.newest()?.position, end: () => this.#endWrite() };
  }

  #endWrite(): void {
    this.#writes -= 1;
    if (this.#writes > 0) return;
    for (const settle of this.#writeWaiters.splice(0)) settle();
  }

  /** Resolves when no write is in flight; at once if an instance recently failed to answer. */
  waitForWrites(): Promise<void> {
    const now = this.options.now();
    const failing = [...this.#instances.values()].some(({ pool }) => pool.health.avoidUntil > now);
    if (this.#writes === 0 || failing) return Promise.resolve();
    return new Promise((resolve) => this.#writeWaiters.push(resolve));
  }

  close(): void {
    for (const state of this.#instances.values()) state.pool.close();
  }

  #applyEntry(entry: InstanceEntry, now: Milliseconds): InstanceState {
    const known = this.#instances.get(entry.id);
    if (known === undefined) {
      const pool = new InstancePool(entry, MIN_CONNECTIONS, this.options.pool);
      const sameZone = entry.zone === this.options.zone;
      const state = new InstanceState(entry.id, sameZone, pool, () => this.#isStoreHealthy());
      if (entry.draining) {
        // It is unknown how long it has been leaving, so it gets no work.
        state.isLeaving = true;
        state.usableUntil = now;
      }
      this.#instances.set(entry.id, state);
      return state;
    }
    known.pool.instance = entry;
    known.hasVanished = false;
    known.mayHaveExpired = false;
    if (entry.draining) this.#startLeaving(known, now);
    else if (known.isLeaving) {
      known.isLeaving = false;
      known.usableUntil = Number.POSITIVE_INFINITY;
    }
    return known;
  }

  /** Ends use of a replaced incarnation at once: the process that now has its platform id has none of its state. */
  #endUse(state: InstanceState, now: Milliseconds): void {
    state.isLeaving = true;
    state.hasVanished = false;
    state.mayHaveExpired = false;
    state.usableUntil = now;
    state.pool.destroy();
  }

  #startLeaving(state: InstanceState, now: Milliseconds): void {
    if (state.isLeaving) return;
    state.isLeaving = true;
    state.usableUntil = now + this.#leavingUseMs(state);
  }

  /** A draining instance that only a peer reported gets no new work: it is unknown how long it has been draining. */
  #leavingUseMs({ isConfirmed, hasVanished }: InstanceState): Milliseconds {
    const drainMs = this.options.drainTimeoutMs - DRAIN_MARGIN_MS;
    if (isConfirmed) return drainMs;
    return hasVanished ? Math.min(UNCONFIRMED_GRACE_MS, drainMs) : 0;
  }

  #removeAbsent(now: Milliseconds, present: ReadonlySet<string>): void {
    for (const [id, state] of this.#instances) {
      if (present.has(id) || state.isUsable(now)) continue;
      // The store may still list it; a confirmation of the primary without this instance's response would be invalid.
      if (!state.isConfirmed && !this.#isStoreHealthy()) continue;
      state.pool.close();
      this.#instances.delete(id);
    }
  }
}
