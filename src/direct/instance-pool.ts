/**
 * Connection pool of this node for one instance. It opens connections on demand, up to this node's share
 * of the instance's limit, and queues requests that must wait. Where other nodes own the instance, it
 * leases their connections instead. A connection serves one statement or transaction at a time.
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
  /** Maximum delay before the next attempt after a connection failed to open; at least half of it is waited. */
  readonly reconnectDelayMs: Milliseconds;
  readonly now: () => Milliseconds;
  readonly random: () => number;
  readonly counters: PoolCounters;
  readonly latencies?: Pick<GatewayLatencies, 'connectionWaits' | 'instanceAnswers'> &
    Partial<AdmissionLatencies>;
  /** Returns undefined where callers don't compete by priority; absent where admission is not used. */
  readonly admissionRules?: () => AdmissionRules | undefined;
  readonly onAdmission?: (instance: InstanceEntry, state: LimiterState) => void;
  /** Receives what statements show about an instance. */
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

/** A request for a connection. */
export interface ConnectionRequest extends AdmissionRequest {
  /** Name of the tenant that sends the statement, or of the route where callers send no keys. */
  readonly tenant: string;
  /** Tenant that the instance binds the connection to until it is closed; undefined where callers send no keys. */
  readonly account?: string | undefined;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly policy: ConnectionPolicy;
  /** Session values; a connection that has them set already is preferred. */
  readonly values: ReadonlyMap<string, string>;
  readonly deadline: Milliseconds;
  /** Each ends the wait, because the statement was answered by another instance or must be sent to another. */
  readonly cancelledBy: readonly Cancellation[];
}

interface Waiter extends ConnectionRequest, QueuedRequest, QueuedWork {
  readonly latencyTargetAt: Milliseconds;
  readonly settle: (connection: Result<InstanceConnection, AcquireError>) => void;
  timer: NodeJS.Timeout | undefined;
}

const OWN_TENANT = '';
const NO_VALUES: ReadonlyMap<string, string> = new Map();
/** The node's own queries are few, and are not limited by the tenants' shares. */
const OWN_POLICY: ConnectionPolicy = {
  queueWeight: 1,
  maxWaiting: Number.POSITIVE_INFINITY,
  inFlightShare: 1,
  inFlightFloor: Number.POSITIVE_INFINITY,
};

/** A request for a query of the node itself, which is served before those of callers. */
export function ownRequest(deadline: Milliseconds): ConnectionRequest {
  const own = { tenant: OWN_TENANT, priority: 0, policy: OWN_POLICY, values: NO_VALUES };
  return { ...own, deadline, cancelledBy: [] };
}

/** Cap on consecutive failures that count: the maximum delay doubles once, from 200 ms to 0.4 s. */
const MAX_BACKOFF_STEPS = 2;
/** A connection above the soft limit is closed when it has been idle for this time. */
const SURPLUS_IDLE_TIMEOUT_MS = 3000;
/** Connections beyond the soft limit are opened only for statements that have waited for this time. */
const GROWTH_DELAY_MS = 12;
/** Waiting statements are checked again after this time even if no connection was released. */
const ADMISSION_CHECK_PERIOD_MS = 10;

/**
 * How a query of this node itself reaches the instance without waiting behind statements: over a connection of the
 * pool, not at all because the instance accepts no more connections (`full`), or over a separate connection.
 */
export type OwnQueryPath = 'pooled' | 'full' | 'separate';

export class InstancePool {
  readonly health: InstanceHealth;
  readonly #idle: SocketConnection[] = [];
  readonly #waiters = new FairQueue<Waiter>();
  readonly #holdings: TenantHoldings;
  readonly admission: PoolAdmission;
  /** Tenant that uses each connection that is not idle. */
  readonly #holders = new Map<SocketConnection, string>();
  #lastError: InstanceConnectError | undefined;
  readonly #all = new Set<SocketConnection>();
  /** Connections leased from other nodes. */
  readonly #leased = new Set<InstanceConnection>();
  #lender: ConnectionLender | undefined;
  #opening = 0;
  /** Number of connections being opened for each account. */
  readonly #openingFor = new Map<string | undefined, number>();
  #limit: number;
  #softLimit: number;
  #nodeCount = 1;
  #isOwner = false;
  #growTimer: NodeJS.Timeout | undefined;
  #servingTimer: NodeJS.Timeout | undefined;
  #retryAt: Milliseconds = 0;
  /** Consecutive failures to open a connection, up to `MAX_BACKOFF_STEPS`. */
  #failures = 0;
  #isClosed = false;
  /** The last attempt to connect got no answer, and there is no open connection. */
  #isUnreachable = false;
  #probeTimer: NodeJS.Timeout | undefined;
  /** Number of this node's statements that run at the instance or wait for it. */
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

  /** Number of this node's own connections, open or being opened. */
  get size(): number {
    return this.#all.size + this.#opening;
  }

  /** Maximum number of connections that this node may open. */
  get limit(): number {
    return this.#limit;
  }

  /** Number of connections currently leased from other nodes. */
  get leasedCount(): number {
    return this.#leased.size;
  }

  /** Leases connections from other nodes; undefined unless these own the instance. */
  get lender(): ConnectionLender | undefined {
    return this.#lender;
  }

  /** Sets the lender for all requests, also for those that wait; without one this node opens its own connections. */
  setLender(lender: ConnectionLender | undefined): void {
    this.#lender = lender;
    if (lender === undefined) return;
    for (const waiter of this.#waiters.takeAll()) {
      clearTimeout(waiter.timer);
      void this.#acquireLeased(lender, waiter).then(waiter.settle);
    }
  }

  /** The path for a query that is sent now. */
  get ownQueryPath(): OwnQueryPath {
    if (this.#lender !== undefined) return 'separate';
    if (this.hasIdle) return 'pooled';
    if (this.size > 0) return 'separate';
    if (this.options.now() >= this.#retryAt) return 'pooled';
    return this.#lastError?.answer === 'connection-limit' ? 'full' : 'separate';
  }

  /** True while nothing answers at its address; only the pool's own probes connect to it then. */
  get isUnreachable(): boolean {
    return this.#isUnreachable;
  }

  get waiting(): number {
    return this.#waiters.length;
  }

  /** Whether a connection is idle. */
  get hasIdle(): boolean {
    return this.#idle.length > 0;
  }

  /**
   * Connections beyond `softLimit` are opened only for statements that have waited, and closed when they stay idle.
   * @param nodeCount number of nodes that share the instance
   * @param isOwner whether this node lends its connections to nodes that have none
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

  /** Returns an idle or newly opened connection; waits for it until the deadline at most. */
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
        err(
          new InstanceQueueFullError(
            `${this.instance.id}: more statements wait than it can run in time`,
          ),
        ),
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
          err(
            new InstanceQueueFullError(
              `${this.instance.id}: too many statements of ${tenant} wait`,
            ),
          ),
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

  /** Takes the idle connection that has been open for longest, for a call of this node; undefined if none is idle. */
  takeOldest(): SocketConnection | undefined {
    const [first, ...others] = this.#idle;
    if (first === undefined) return undefined;
    const oldest = others.reduce(
      (known, connection) => (connection.openedAt < known.openedAt ? connection : known),
      first,
    );
    this.#idle.splice(this.#idle.indexOf(oldest), 1);
    this.#recordAcquired(oldest, OWN_TENANT);
    return oldest;
  }

  /** Returns a connection to the pool; unless it is closed it must be idle and outside any transaction. */
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
    // A connection that is still idle may be closed in favour of an account that has none.
    if (this.#idle.length > 0) this.#openForWaiters();
  }

  /** Closes all idle connections and opens no more; those in use are closed when they are released. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#probeTimer);
    for (const connection of this.#idle.splice(0)) connection.close();
    this.#failWaiters(new InstanceConnectError(`${this.instance.id}: closed`, undefined));
  }

  /** Closes all connections at once, for when the instance is gone. */
  destroy(): void {
    this.close();
    for (const connection of [...this.#all]) connection.close();
  }

  #takeIdle(request: ConnectionRequest): SocketConnection | undefined {
    let best = -1;
    let bestCost = Number.POSITIVE_INFINITY;
    // Prefers the most recently used, so that others stay idle long enough to be closed as surplus.
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
   * At the limit, opens a connection for the first waiting statement in place of an idle one, if that statement has a
   * higher priority than all that the idle connections could serve. Otherwise statements of tenants that have
   * connections would overtake it for as long as they keep arriving.
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

  /** Whether the tenant's share and the instance's pace allow one more statement now. */
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

  /** True if at the current pace the statement would start after its deadline. */
  #wouldMissDeadline({ tenant, deadline }: ConnectionRequest): boolean {
    if (tenant === OWN_TENANT) return false;
    const waitMs = this.health.pace.intervalMs * this.#waiters.length;
    return waitMs > 0 && this.options.now() + waitMs >= deadline;
  }

  /** Schedules the next attempt to serve waiting statements: when the pace allows one, or when limits may differ. */
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

  /** Refuses a statement early enough for the caller to try another instance. */
  #refuseUntried(waiter: Waiter): void {
    if (isAnyCancelled(waiter.cancelledBy)) {
      waiter.settle(err(this.#waitTimeoutError()));
      return;
    }
    this.admission.recordUntried(waiter);
    const text = `${this.instance.id}: not started within half of its time`;
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

  /** Closes connections above the soft limit that have been idle for long. */
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
   * Connections above the soft limit are opened only after a delay. So is a second one for the same account, since its
   * first may be released by then.
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
   * Opens at most as many connections at once as there are already. Each opening takes a slot: an instance to which a
   * whole fleet connects at the same time would have none left for statements.
   */
  #openUpTo(limit: number, isUndelayed: boolean): void {
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

  /** The first waiting request for which no connection is being opened yet. */
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

  /** The waiting requests in the order in which connections are opened for them. */
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

  /** At the limit, closes the longest idle connection of another account. Returns whether one more may be opened. */
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
    connection.openedAt = this.options.now();
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
    // The connections that are open may still serve the waiting requests.
    if (this.#all.size > 0) return;
    this.#failWaiters(error);
    this.#isUnreachable = error.answer === undefined;
    if (this.#isUnreachable) this.#scheduleProbe();
  }

  /**
   * The pool itself detects when an unreachable instance is back, so that callers need not wait for it. If they did,
   * each attempt to connect (500 ms) would delay reads that another instance could serve at once.
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

/** The node's own queries may use any connection; a tenant's statement only one that is bound to that tenant. */
function isFor(connection: SocketConnection, { tenant, account }: ConnectionRequest): boolean {
  return tenant === OWN_TENANT || connection.account === account;
}
