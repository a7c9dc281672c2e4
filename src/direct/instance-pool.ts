/**
 * Connections of this node to one instance: a share of what the instance takes, opened on demand,
 * with a queue for those who wait; or, where other nodes own the instance, connections of theirs. A
 * connection is given to one statement or transaction at a time.
 */
import { err, ok, type Result } from 'neverthrow';
import type { LimiterState } from '../core/admission/concurrency-limiter.js';
import type { AdmissionRules, AdmissionWork } from '../core/admission/instance-admission.js';
import type { InstanceObservation } from '../core/fleet/instance-digest.js';
import { FairQueue, type QueuedRequest } from '../core/statements/fair-queue.js';
import { synchronisationCost } from '../core/statements/session-values.js';
import type { ConnectionPolicy } from '../core/tenancy/allowance.js';
import { type ConnectionSupply, TenantHoldings } from '../core/tenancy/holdings.js';
import type { Milliseconds } from '../core/units.js';
import { type Cancellation, isAnyCancelled, listenToAll } from './cancellation.js';
import type { InstanceEntry } from './contract.js';
import {
  InstanceConnectError,
  type InstanceOwnersUnreachableError,
  InstanceQueueFullError,
  InstanceWaitTimeoutError,
} from './errors.js';
import {
  type InstanceConnection,
  openInstanceConnection,
  SocketConnection,
} from './instance-connection.js';
import { InstanceHealth } from './instance-health.js';
import type { GatewayLatencies } from './latencies.js';
import {
  type AdmissionLatencies,
  type AdmissionRefusals,
  type AdmissionRequest,
  PoolAdmission,
  type QueuedWork,
} from './pool-admission.js';
import type { ConnectionLender } from './relay/contract.js';
import type { StatementWire } from './wire.js';

export interface InstancePoolOptions {
  readonly wire: StatementWire;
  readonly connectTimeoutMs: Milliseconds;
  /** After a failed opening, the next is tried no sooner than this. */
  readonly reconnectDelayMs: Milliseconds;
  readonly now: () => Milliseconds;
  readonly random: () => number;
  readonly counters: PoolCounters;
  readonly latencies?: Pick<GatewayLatencies, 'connectionWaits' | 'instanceAnswers'> &
    Partial<AdmissionLatencies>;
  /** Undefined where callers don't compete by priorities; absent where that is never looked at. */
  readonly admissionRules?: () => AdmissionRules | undefined;
  readonly onAdmission?: (instance: InstanceEntry, state: LimiterState) => void;
  /** Takes what statements show of an instance. */
  readonly observe?:
    | ((instance: InstanceEntry, observation: InstanceObservation) => void)
    | undefined;
}

/** Counted over all pools of the process. */
export interface PoolCounters extends AdmissionRefusals {
  connectionsOpened: number;
  connectFailures: number;
  waitTimeouts: number;
  /** Statements refused because too many of their tenant waited. */
  queueRefusals: number;
}

export type AcquireError =
  | InstanceConnectError
  | InstanceQueueFullError
  | InstanceWaitTimeoutError
  | InstanceOwnersUnreachableError;

/** Asks for a connection. */
export interface ConnectionRequest extends AdmissionRequest {
  /** Whose statement it is for: the tenant's name, or its route's where callers give no keys. */
  readonly tenant: string;
  /** Instances know a connection by its tenant, to its end; undefined where callers give no keys. */
  readonly account?: string | undefined;
  /** 0 is the highest. */
  readonly priority: number;
  readonly policy: ConnectionPolicy;
  /** Session values that the connection should have already, if one has them. */
  readonly values: ReadonlyMap<string, string>;
  readonly deadline: Milliseconds;
  /** Each ends the waiting: the statement was answered elsewhere, or belongs elsewhere now. */
  readonly cancelledBy: readonly Cancellation[];
}

interface Waiter extends ConnectionRequest, QueuedRequest, QueuedWork {
  readonly latencyTargetAt: Milliseconds;
  readonly settle: (connection: Result<InstanceConnection, AcquireError>) => void;
  timer: NodeJS.Timeout | undefined;
}

const OWN_TENANT = '';
const NO_VALUES: ReadonlyMap<string, string> = new Map();
/** The node's own questions are few, and wait for no tenant's share. */
const OWN_POLICY: ConnectionPolicy = {
  queueWeight: 1,
  maxWaiting: Number.POSITIVE_INFINITY,
  inFlightShare: 1,
  inFlightFloor: Number.POSITIVE_INFINITY,
};

/** A request for a question of the node's own, which goes before those of callers. */
export function ownRequest(deadline: Milliseconds): ConnectionRequest {
  const own = { tenant: OWN_TENANT, priority: 0, policy: OWN_POLICY, values: NO_VALUES };
  return { ...own, deadline, cancelledBy: [] };
}

/** Doublings of the pause between openings: up to 0.4 s after a first pause of 200 ms. */
const MAX_BACKOFF_STEPS = 2;
/** An idle connection above the soft limit ends after this. */
const SURPLUS_IDLE_TIMEOUT_MS = 3000;
/** A statement waits so long for one of few connections before another one is opened. */
const GROWTH_DELAY_MS = 12;
/** Who waits for room is looked at again after so long, also if nothing has ended. */
const ADMISSION_CHECK_PERIOD_MS = 10;

/**
 * How a question of this node's own reaches the instance without waiting behind statements: over a connection of the
 * pool, not at all since the instance takes no more, or over a separate connection.
 */
export type OwnQueryPath = 'pooled' | 'full' | 'separate';

export class InstancePool {
  readonly health: InstanceHealth;
  readonly #idle: SocketConnection[] = [];
  readonly #waiters = new FairQueue<Waiter>();
  readonly #holdings: TenantHoldings;
  readonly admission: PoolAdmission;
  /** Who holds a connection that is not idle. */
  readonly #holders = new Map<SocketConnection, string>();
  #lastError: InstanceConnectError | undefined;
  readonly #all = new Set<SocketConnection>();
  /** Connections that other nodes lend. */
  readonly #leased = new Set<InstanceConnection>();
  #lender: ConnectionLender | undefined;
  #opening = 0;
  /** Connections being opened for each account. */
  readonly #openingFor = new Map<string | undefined, number>();
  #limit: number;
  #softLimit: number;
  #nodeCount = 1;
  #isOwner = false;
  #growTimer: NodeJS.Timeout | undefined;
  #servingTimer: NodeJS.Timeout | undefined;
  #retryAt: Milliseconds = 0;
  /** Openings that failed in a row. */
  #failures = 0;
  #isClosed = false;
  /** The last opening got no answer, and there is no connection. */
  #isUnreachable = false;
  #probeTimer: NodeJS.Timeout | undefined;
  /** Statements of this node that run at the instance or wait for it. */
  outstanding = 0;

  constructor(
    public instance: InstanceEntry,
    limit: number,
    private readonly options: InstancePoolOptions,
  ) {
    this.#limit = limit;
    this.#softLimit = limit;
    const observe = (observation: InstanceObservation): void =>
      options.observe?.(this.instance, observation);
    this.health = new InstanceHealth({ ...options, observe });
    const { waitingByTenant: waiting } = this.#waiters;
    this.#holdings = new TenantHoldings(OWN_TENANT, () => this.#supply(), waiting, options.now);
    this.admission = new PoolAdmission({
      rules: options.admissionRules ?? (() => undefined),
      instance: () => ({ slots: this.instance.slots, sharers: this.#nodeCount }),
      opening: () => this.#opening,
      counters: options.counters,
      latencies: options.latencies,
      onChange: (state) => options.onAdmission?.(this.instance, state),
      now: options.now,
    });
    this.health.onBusy = () => this.admission.recordRefusal();
  }

  /** Connections of this node's own, open or being opened. */
  get size(): number {
    return this.#all.size + this.#opening;
  }

  /** The most connections that this node may open. */
  get limit(): number {
    return this.#limit;
  }

  /** Connections that other nodes lend now. */
  get leasedCount(): number {
    return this.#leased.size;
  }

  /** Lends connections of other nodes, if these own the instance. */
  get lender(): ConnectionLender | undefined {
    return this.#lender;
  }

  /** From now on connections are leased there; without one, this node opens its own. */
  setLender(lender: ConnectionLender | undefined): void {
    this.#lender = lender;
    if (lender === undefined) return;
    for (const waiter of this.#waiters.takeAll()) {
      clearTimeout(waiter.timer);
      void this.#acquireLeased(lender, waiter).then(waiter.settle);
    }
  }

  /** The way for a question asked now. */
  get ownQueryPath(): OwnQueryPath {
    if (this.#lender !== undefined) return 'separate';
    if (this.hasIdle) return 'pooled';
    if (this.size > 0) return 'separate';
    if (this.options.now() >= this.#retryAt) return 'pooled';
    return this.#lastError?.answer === 'connection-limit' ? 'full' : 'separate';
  }

  /** True while nothing answers at its address: only this pool's own openings try it then. */
  get isUnreachable(): boolean {
    return this.#isUnreachable;
  }

  get waiting(): number {
    return this.#waiters.length;
  }

  /** Whether a statement given now would find a connection at once. */
  get hasIdle(): boolean {
    return this.#idle.length > 0;
  }

  /**
   * Beyond `softLimit`, connections are opened only for those who wait, and end when they rest.
   * @param nodeCount nodes that share the instance
   * @param isOwner whether this node lends its connections to those that hold none
   */
  setLimit(limit: number, softLimit = limit, nodeCount = 1, isOwner = false): void {
    this.#limit = limit;
    this.#nodeCount = nodeCount;
    this.health.nodeCount = nodeCount;
    this.#isOwner = isOwner;
    this.#softLimit = Math.min(limit, softLimit);
    while (this.#all.size > limit) {
      const surplus = this.#idle.shift();
      if (surplus === undefined) break;
      surplus.close();
    }
    this.#openForWaiters();
  }

  /** A free connection, opened if need be, by the deadline at the latest. */
  async acquire(request: ConnectionRequest): Promise<Result<InstanceConnection, AcquireError>> {
    const { now, latencies } = this.options;
    const requestedAt = now();
    const lender = this.#lender;
    const acquired = await (lender === undefined
      ? this.#acquireOwn(request)
      : this.#acquireLeased(lender, request));
    const outcome = acquired.isOk() ? 'given' : 'none';
    const way = lender === undefined ? 'own' : 'owner';
    latencies?.connectionWaits.observe(now() - requestedAt, way, outcome);
    if (acquired.isOk() && request.tenant !== OWN_TENANT)
      this.health.recordWait(now() - requestedAt);
    return acquired;
  }

  #acquireOwn(request: ConnectionRequest): Promise<Result<InstanceConnection, AcquireError>> {
    const { tenant, policy } = request;
    if (isAnyCancelled(request.cancelledBy)) {
      return Promise.resolve(err(this.#waitTimeoutError()));
    }
    this.#holdings.recordRequest(tenant, policy);
    const work = this.admission.toWork(request, policy.queueWeight);
    const mayStart = this.#mayStart(tenant) && this.#startFilter()(work);
    const idle = mayStart ? this.#takeIdle(request) : undefined;
    if (idle !== undefined) {
      this.#assign(idle, request);
      return Promise.resolve(ok(idle));
    }
    if (this.#isUnreachable && tenant !== OWN_TENANT) {
      return Promise.resolve(err(this.#unreachableError()));
    }
    if (this.#wouldMissDeadline(request)) {
      this.options.counters.queueRefusals += 1;
      return Promise.resolve(
        err(new InstanceQueueFullError(`${this.instance.id}: more wait than it can serve in time`)),
      );
    }
    const reason =
      tenant === OWN_TENANT
        ? undefined
        : this.admission.refusalOf(work, this.#waiters.requests, this.#holdings.held);
    if (reason !== undefined) {
      return Promise.resolve(err(new InstanceQueueFullError(`${this.instance.id}: ${reason}`)));
    }
    return new Promise((settle) => {
      const queued = this.admission.toQueuedWork(work, this.#waiters.requests, this.#holdings.held);
      const bounds = { weight: policy.queueWeight, maxWaiting: policy.maxWaiting };
      const stopListening = listenToAll(request.cancelledBy, () => this.#expire(waiter));
      const settleOnce = (connection: Result<InstanceConnection, AcquireError>): void => {
        stopListening();
        settle(connection);
      };
      const waiter: Waiter = {
        ...{ ...request, ...queued, ...bounds },
        ...{ settle: settleOnce, timer: undefined },
      };
      if (!this.#waiters.push(waiter)) {
        this.options.counters.queueRefusals += 1;
        settleOnce(
          err(new InstanceQueueFullError(`${this.instance.id}: too many of ${tenant} wait`)),
        );
        return;
      }
      const waitMs = Math.max(
        0,
        Math.min(request.deadline, work.startDeadline) - this.options.now(),
      );
      waiter.timer = setTimeout(() => this.#expire(waiter), waitMs);
      this.#openForWaiters();
      this.#scheduleServing();
    });
  }

  /** Gives a connection back; it is at rest outside any transaction. */
  release(connection: InstanceConnection): void {
    if (connection instanceof SocketConnection) {
      this.#returnToPool(connection);
      return;
    }
    this.#leased.delete(connection);
    connection.returnToOwner?.();
  }

  async #acquireLeased(
    lender: ConnectionLender,
    request: ConnectionRequest,
  ): Promise<Result<InstanceConnection, AcquireError>> {
    if (this.#isClosed) {
      return err(new InstanceConnectError(`${this.instance.id}: closed`, undefined));
    }
    const acquired = await lender.acquire(request);
    if (acquired.isErr()) return acquired;
    const connection = acquired.value;
    if (!connection.closed) this.#leased.add(connection);
    connection.onClose = () => this.#leased.delete(connection);
    return acquired;
  }

  #returnToPool(connection: SocketConnection): void {
    this.#recordReleased(connection);
    if (connection.closed) {
      this.#openForWaiters();
      return;
    }
    if (this.#isClosed || this.#all.size > this.#limit) {
      connection.close();
      return;
    }
    connection.idleSince = this.options.now();
    this.#idle.push(connection);
    this.#serveWaiters();
    // What rests now may give way to a connection of an account that has none.
    if (this.#idle.length > 0) this.#openForWaiters();
  }

  /** Ends all idle connections and takes no more; those in use end when they are released. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#probeTimer);
    for (const connection of this.#idle.splice(0)) connection.close();
    this.#failWaiters(new InstanceConnectError(`${this.instance.id}: closed`, undefined));
  }

  /** Cuts everything, as after the instance has gone. */
  destroy(): void {
    this.close();
    for (const connection of [...this.#all]) connection.close();
  }

  #takeIdle(request: ConnectionRequest): SocketConnection | undefined {
    let best = -1;
    let bestCost = Number.POSITIVE_INFINITY;
    // The latest used first: others may then rest long enough to be surplus.
    for (let index = this.#idle.length - 1; index >= 0; index -= 1) {
      const connection = this.#idle[index];
      if (connection === undefined || !isFor(connection, request)) continue;
      const cost = synchronisationCost(request.values, connection.values);
      if (cost < bestCost) {
        best = index;
        bestCost = cost;
      }
      if (cost === 0) break;
    }
    return best < 0 ? undefined : this.#idle.splice(best, 1)[0];
  }

  /**
   * At the limit, a connection that rests gives way to one for a statement of a higher priority than all that it could
   * serve: else those whose tenant holds connections would pass it for as long as they come.
   */
  #openForHigherPriority(): void {
    if (!this.admission.isActive || this.size < this.#limit) return;
    if (this.#idle.length === 0) return;
    const [first] = this.#waitersInOpeningOrder();
    if (first === undefined || this.#idle.some((connection) => isFor(connection, first))) return;
    if ((this.#openingFor.get(first.account) ?? 0) > 0) return;
    const isServable = ({ priority, account }: Waiter): boolean =>
      priority <= first.priority && this.#idle.some((idle) => idle.account === account);
    if (!this.#waiters.requests.some(isServable)) this.#openForWaiters();
  }

  #serveWaiters(): void {
    this.#openForHigherPriority();
    while (this.#idle.length > 0) {
      const { held } = this.#holdings;
      const startsNow = this.#startFilter();
      const waiter = this.#waiters.takeNext(
        held,
        (tenant) => this.#mayStart(tenant),
        (request) =>
          this.#idle.some((connection) => isFor(connection, request)) && startsNow(request),
        this.admission.isActive ? (waiting) => this.admission.next(waiting, held) : undefined,
      );
      const connection = waiter === undefined ? undefined : this.#takeIdle(waiter);
      if (waiter === undefined || connection === undefined) break;
      clearTimeout(waiter.timer);
      this.#assign(connection, waiter);
      this.admission.recordStart(waiter);
      waiter.settle(ok(connection));
    }
    this.#scheduleServing();
  }

  /** Whether a statement of this tenant may start now: within its share, and at the instance's pace. */
  #mayStart(tenant: string): boolean {
    const isInPace = tenant === OWN_TENANT || this.health.pace.mayStart(this.options.now());
    return isInPace && this.#holdings.mayHoldMore(tenant);
  }

  #startFilter(): (work: AdmissionWork) => boolean {
    const startsNow = this.admission.startFilter();
    return (work) => work.tenant === OWN_TENANT || startsNow(work);
  }

  #assign(connection: SocketConnection, request: ConnectionRequest): void {
    const { tenant } = request;
    if (tenant !== OWN_TENANT) {
      this.health.pace.recordStart(this.options.now());
      this.admission.recordAcquired(connection, request);
    }
    this.#recordAcquired(connection, tenant);
  }

  /** By the pace of now, the statement's turn would come after its time. */
  #wouldMissDeadline({ tenant, deadline }: ConnectionRequest): boolean {
    if (tenant === OWN_TENANT) return false;
    const waitMs = this.health.pace.intervalMs * this.#waiters.length;
    return waitMs > 0 && this.options.now() + waitMs >= deadline;
  }

  /** Looks again when the pace lets the next statement start, or there may be room. */
  #scheduleServing(): void {
    const { now } = this.options;
    if (this.#servingTimer !== undefined || this.#waiters.length === 0) return;
    const isInPace = this.health.pace.mayStart(now());
    if (isInPace && !this.admission.isActive) return;
    const waitMs = isInPace
      ? ADMISSION_CHECK_PERIOD_MS
      : Math.max(1, this.health.pace.nextStartAt - now());
    this.#servingTimer = setTimeout(() => {
      this.#servingTimer = undefined;
      this.admission.adjust();
      this.#serveWaiters();
      this.#openForWaiters();
    }, waitMs);
  }

  #expire(waiter: Waiter): void {
    if (!this.#waiters.remove(waiter)) return;
    clearTimeout(waiter.timer);
    if (waiter.startDeadline < waiter.deadline && this.options.now() < waiter.deadline) {
      this.#refuseUntried(waiter);
      return;
    }
    this.options.counters.waitTimeouts += 1;
    waiter.settle(err(this.#waitTimeoutError()));
  }

  /** Its caller has time left to ask elsewhere. */
  #refuseUntried(waiter: Waiter): void {
    if (isAnyCancelled(waiter.cancelledBy)) {
      waiter.settle(err(this.#waitTimeoutError()));
      return;
    }
    this.admission.recordUntried(waiter);
    const text = `${this.instance.id}: half of its time is over`;
    waiter.settle(err(new InstanceQueueFullError(text)));
  }

  #waitTimeoutError(): InstanceWaitTimeoutError {
    return new InstanceWaitTimeoutError(`${this.instance.id}: no connection was free`);
  }

  #failWaiters(error: InstanceConnectError): void {
    for (const waiter of this.#waiters.takeAll()) {
      clearTimeout(waiter.timer);
      waiter.settle(err(error));
    }
  }

  /** Ends connections above the soft limit that have rested for long. */
  trim(): void {
    this.#holdings.removeIdle();
    const idleLimit = this.options.now() - SURPLUS_IDLE_TIMEOUT_MS;
    while (this.#all.size > this.#softLimit) {
      const oldest = this.#idle[0];
      if (oldest === undefined || oldest.idleSince > idleLimit) return;
      oldest.close();
    }
  }

  /**
   * Above the soft limit a connection is opened only for those who have waited a little; so is a second one of an
   * account, as its first may be back by then.
   */
  #openForWaiters(): void {
    this.#openUpTo(this.#softLimit, true);
    if (this.#waiters.length === 0 || this.#growTimer !== undefined) return;
    this.#growTimer = setTimeout(() => {
      this.#growTimer = undefined;
      this.#openUpTo(this.#limit, false);
    }, GROWTH_DELAY_MS);
  }

  /**
   * As many at once as there are already: an instance that a whole fleet connects to at the same time would
   * have no slots left for statements.
   */
  #openUpTo(limit: number, isUndelayed: boolean): void {
    // An opening takes a slot as well.
    if (!this.health.pace.mayStart(this.options.now())) {
      this.#scheduleServing();
      return;
    }
    const maxOpening = Math.max(1, this.#all.size);
    const targetOpening = (): number => Math.min(this.#holdings.totalDemand, maxOpening);
    while (!this.#isClosed && this.#opening < targetOpening()) {
      const next = this.#nextToOpenFor(isUndelayed);
      if (next === undefined || !this.#makeRoomFor(next, limit)) return;
      if (this.options.now() < this.#retryAt && this.#all.size > 0) return;
      if (this.options.now() < this.#retryAt) {
        this.#failWaiters(this.#unreachableError());
        return;
      }
      void this.#open(next.account);
    }
  }

  /** The request that has waited longest of those whose account lacks a connection that is being opened. */
  #nextToOpenFor(isAtOnce: boolean): ConnectionRequest | undefined {
    const opening = new Map(this.#openingFor);
    for (const waiter of this.#waitersInOpeningOrder()) {
      const { account, tenant } = waiter;
      const unassigned = opening.get(account) ?? 0;
      if (unassigned > 0) {
        opening.set(account, unassigned - 1);
        continue;
      }
      if (account === undefined) return waiter;
      const openingCount = this.#openingFor.get(account) ?? 0;
      if (openingCount >= this.#holdings.demandOf(tenant)) continue;
      if (!isAtOnce || !this.#hasConnectionFor(account)) return waiter;
    }
    return undefined;
  }

  /** Those that wait, in the order in which connections are opened for them. */
  #waitersInOpeningOrder(): readonly Waiter[] {
    const { requests } = this.#waiters;
    if (!this.admission.isActive) return requests;
    return requests
      .filter(this.#startFilter())
      .sort((left, right) => left.priority - right.priority);
  }

  #hasConnectionFor(account: string): boolean {
    if ((this.#openingFor.get(account) ?? 0) > 0) return true;
    for (const connection of this.#all) if (connection.account === account) return true;
    return false;
  }

  /** At the limit, the connection of another account that has rested longest gives way. */
  #makeRoomFor({ account }: ConnectionRequest, limit: number): boolean {
    const maxOpen = account === undefined ? limit : this.#limit;
    if (this.size < maxOpen) return true;
    if (this.size < this.#limit) return false;
    const surplus = this.#idle.find((connection) => connection.account !== account);
    surplus?.close();
    return surplus !== undefined && this.size < this.#limit;
  }

  async #open(account?: string): Promise<void> {
    this.#opening += 1;
    this.#openingFor.set(account, (this.#openingFor.get(account) ?? 0) + 1);
    const opened = await openInstanceConnection({
      wire: this.options.wire,
      instance: this.instance,
      account,
      connectTimeoutMs: this.options.connectTimeoutMs,
    });
    this.#opening -= 1;
    const left = (this.#openingFor.get(account) ?? 1) - 1;
    if (left > 0) this.#openingFor.set(account, left);
    else this.#openingFor.delete(account);
    if (opened.isErr()) {
      this.#handleOpenFailure(opened.error);
      return;
    }
    const connection = opened.value;
    this.options.counters.connectionsOpened += 1;
    this.#failures = 0;
    this.#isUnreachable = false;
    this.#all.add(connection);
    connection.onClose = () => this.#remove(connection);
    this.release(connection);
    this.#openForWaiters();
  }

  #handleOpenFailure(error: InstanceConnectError): void {
    this.options.counters.connectFailures += 1;
    this.#lastError = error;
    this.#failures = Math.min(this.#failures + 1, MAX_BACKOFF_STEPS);
    const maxDelayMs = this.options.reconnectDelayMs * 2 ** (this.#failures - 1);
    this.#retryAt = this.options.now() + maxDelayMs * (0.5 + this.options.random() / 2);
    // Those who wait may still be served by the connections that are there.
    if (this.#all.size > 0) return;
    this.#failWaiters(error);
    this.#isUnreachable = error.answer === undefined;
    if (this.#isUnreachable) this.#scheduleProbe();
  }

  /**
   * Callers don't wait for an instance that answers nothing: the pool itself finds when it is back. While they did,
   * each opening of 500 ms to a dark instance made reads late that another one could have served at once.
   */
  #scheduleProbe(): void {
    clearTimeout(this.#probeTimer);
    this.#probeTimer = setTimeout(
      () => {
        if (!this.#isClosed && this.size === 0) void this.#open();
      },
      Math.max(0, this.#retryAt - this.options.now()),
    );
    this.#probeTimer.unref();
  }

  #unreachableError(): InstanceConnectError {
    return new InstanceConnectError(`${this.instance.id}: not reachable`, this.#lastError?.answer);
  }

  #supply(): ConnectionSupply {
    return {
      slots: this.instance.slots,
      nodeCount: this.#nodeCount,
      connectionLimit: this.#limit,
      isOwner: this.#isOwner,
    };
  }

  #recordAcquired(connection: SocketConnection, tenant: string): void {
    this.#holders.set(connection, tenant);
    this.#holdings.recordAcquired(tenant);
  }

  #recordReleased(connection: SocketConnection): void {
    const tenant = this.#holders.get(connection);
    if (tenant === undefined) return;
    this.#holders.delete(connection);
    this.#holdings.recordReleased(tenant);
    this.admission.recordReleased(connection);
  }

  #remove(connection: SocketConnection): void {
    this.#recordReleased(connection);
    this.#all.delete(connection);
    const index = this.#idle.indexOf(connection);
    if (index >= 0) this.#idle.splice(index, 1);
    this.#serveWaiters();
    this.#openForWaiters();
  }
}

/** Questions of the node's own may go over any connection; a tenant's statement only over one of that tenant. */
function isFor(connection: SocketConnection, { tenant, account }: ConnectionRequest): boolean {
  return tenant === OWN_TENANT || connection.account === account;
}
