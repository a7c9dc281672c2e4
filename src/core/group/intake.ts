/**
 * Requests before they run: what is let in, what is refused at once, and what leaves the queue
 * without having run. Everything refused here is provably not run.
 */
import { NotRunError } from '../errors.js';
import { type ConnectionKey, connectionKeyOf, keyText } from '../pool/connections.js';
import type { GroupRequest, RequestId } from '../request.js';
import { SessionPositionLostError } from '../session/errors.js';
import type { Milliseconds } from '../units.js';
import type { Completion } from './completion.js';
import { type GroupContext, isOff, type Run } from './context.js';
import { type Dispatcher, mayUseReplica } from './dispatcher.js';
import type { Outcomes } from './outcomes.js';
import type { QueueEntry } from './queue.js';
import type { RunRelease } from './run-release.js';

interface RecentKey {
  readonly key: ConnectionKey;
  lastUsedAt: Milliseconds;
}

const MIN_RETRY_AFTER_MS = 1;

/** Lets requests in and takes them out of the queue again. */
export class Intake {
  lastRequestAt: Milliseconds = Number.NEGATIVE_INFINITY;
  private readonly recentKeys = new Map<string, RecentKey>();
  private draining = false;

  constructor(
    private readonly context: GroupContext,
    private readonly dispatcher: Dispatcher,
    private readonly completion: Completion,
    private readonly outcomes: Outcomes,
    private readonly release: RunRelease,
  ) {}

  /** Queues a new request, or refuses it at once. */
  arrive(request: GroupRequest, now: Milliseconds): void {
    this.lastRequestAt = now;
    const entry: QueueEntry = {
      request,
      arrivedAt: now,
      mayHaveRun: false,
      attempts: 0,
      notBefore: now,
      avoid: undefined,
    };
    const waitMs = this.expectedWaitMs(entry, now);
    const refusal =
      this.refusalOf(request, waitMs, now) ??
      this.context.admission.admit(request.tenant, waitMs, now);
    if (refusal !== undefined) {
      this.context.counters.notRun += 1;
      this.context.effects.push({ type: 'fail', requestId: request.id, error: refusal });
      return;
    }
    this.context.retryBudget.recordAttempt();
    this.rememberKey(request, now);
    this.dispatcher.enqueue(entry, now);
  }

  /** The caller has gone: what is still queued is dropped. */
  abandon(requestId: RequestId): void {
    const entry = this.removeQueued(requestId);
    if (entry !== undefined) this.outcomes.notRun(entry, 'caller-gone', 'the caller has gone');
  }

  /** This owner stops: refuses what is queued and what still comes. */
  drain(): void {
    this.draining = true;
    const { lanes } = this.context;
    for (const queued of [...lanes.primary.entries(), ...lanes.replica.entries()]) {
      this.removeQueued(queued.request.id);
      this.outcomes.notRun(queued, 'owner-stopping', 'this proxy is stopping', 0);
    }
  }

  /** Refuses requests whose session has seen a timeline that the group lost. */
  refuseLostTimelines(entries: readonly QueueEntry[]): void {
    const { group } = this.context.options;
    for (const entry of entries) {
      if (this.removeQueued(entry.request.id) === undefined) continue;
      this.outcomes.positionLost(entry, new SessionPositionLostError(group, 'beyond-log'));
    }
  }

  /** Looks at requests whose deadline or other time has come. */
  takeDueDeadlines(now: Milliseconds): void {
    const { deadlines, lanes, runs } = this.context;
    for (let due = deadlines.takeDue(now); due !== undefined; due = deadlines.takeDue(now)) {
      const { requestId } = due;
      const queued = lanes.primary.get(requestId) ?? lanes.replica.get(requestId);
      if (queued !== undefined) this.expireQueued(queued, now);
      const run = runs.get(requestId);
      if (run !== undefined) this.expireRun(run, now);
    }
  }

  /** Roles and databases in use lately, the latest first; forgets those not used for long. */
  recentlyUsedKeys(now: Milliseconds): ConnectionKey[] {
    const { idleConnectionTimeoutMs } = this.context.bounds;
    for (const [id, recent] of this.recentKeys) {
      if (now - recent.lastUsedAt > idleConnectionTimeoutMs) this.recentKeys.delete(id);
    }
    return [...this.recentKeys.values()]
      .sort((left, right) => right.lastUsedAt - left.lastUsedAt)
      .map((recent) => recent.key);
  }

  private refusalOf(
    request: GroupRequest,
    waitMs: Milliseconds,
    now: Milliseconds,
  ): NotRunError | undefined {
    const { lanes, bounds } = this.context;
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, waitMs);
    if (this.draining) return new NotRunError('owner-stopping', 'this proxy is stopping', 0);
    if (now >= request.deadline) {
      return new NotRunError('deadline-passed', 'the deadline had passed on arrival');
    }
    if (lanes.primary.length + lanes.replica.length >= bounds.maxQueued) {
      return new NotRunError('queue-full', 'the queue of the group is full', retryAfterMs);
    }
    if (now + waitMs > request.deadline && !isOff(this.context, 'deadline')) {
      const message = 'the queue is longer than the time left';
      return new NotRunError('deadline-unreachable', message, retryAfterMs);
    }
    return undefined;
  }

  private removeQueued(requestId: RequestId): QueueEntry | undefined {
    const { lanes, admission } = this.context;
    const entry = lanes.primary.remove(requestId) ?? lanes.replica.remove(requestId);
    if (entry !== undefined) admission.recordQueued(entry.request.tenant, -1);
    return entry;
  }

  /** Time until a request that joins the queue now is answered; zero if that can't be told. */
  private expectedWaitMs(entry: QueueEntry, now: Milliseconds): Milliseconds {
    const { lanes, loads, monitor, instances } = this.context;
    const primary = monitor.usablePrimary(now);
    const description = primary === undefined ? undefined : instances.get(primary.instance);
    if (description === undefined) return 0;
    const lane = mayUseReplica(entry, this.context.options.routing) ? lanes.replica : lanes.primary;
    if (lane.length === 0) return 0;
    const ahead = lane.expectedAhead(entry.request.tenant);
    return ((ahead + 1) * loads.serviceTimeMs(description.name)) / description.slots;
  }

  private expireQueued(entry: QueueEntry, now: Milliseconds): void {
    const { request } = entry;
    if (now < request.deadline || isOff(this.context, 'deadline')) {
      this.dispatcher.considerPrimary(entry, now);
      return;
    }
    this.removeQueued(request.id);
    const { monitor, timing } = this.context;
    if (monitor.usablePrimary(now) === undefined) {
      const retryAfterMs = timing.noPrimaryRetryAfterMs;
      this.outcomes.notRun(entry, 'no-primary', 'the group has no primary', retryAfterMs);
      return;
    }
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, this.expectedWaitMs(entry, now));
    this.outcomes.notRun(entry, 'deadline-passed', 'its time ran out in the queue', retryAfterMs);
  }

  private expireRun(run: Run, now: Milliseconds): void {
    const { deadline } = run.entry.request;
    if (now < deadline || isOff(this.context, 'deadline')) return;
    if (run.phase !== 'abandoned') this.completion.runOverdue(run, now);
    else if (now >= deadline + this.context.timing.overrunLimitMs) {
      this.release.closeRun(run);
    }
  }

  private rememberKey(request: GroupRequest, now: Milliseconds): void {
    const key = connectionKeyOf(request);
    const id = keyText(key);
    const known = this.recentKeys.get(id);
    if (known === undefined) this.recentKeys.set(id, { key, lastUsedAt: now });
    else known.lastUsedAt = now;
  }
}
