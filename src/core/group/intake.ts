/**
 * Admits or refuses new requests, and removes requests from the queue that will not run. A request
 * refused or removed here has certainly not run, unless it was queued for a retry (see
 * `Outcomes.failNotRun`).
 */
import { NotRunError } from '../errors.js';
import { type ConnectionKey, connectionKeyOf, keyText } from '../pool/connections.js';
import type { GroupRequest, RequestId } from '../request.js';
import { SessionPositionLostError } from '../session/errors.js';
import type { Milliseconds } from '../units.js';
import type { Completion } from './completion.js';
import { type GroupContext, isDisabled, type Run } from './context.js';
import { type Dispatcher, mayUseReplica } from './dispatcher.js';
import type { Outcomes } from './outcomes.js';
import type { QueueEntry } from './queue.js';
import type { RunResources } from './run-resources.js';

interface RecentKey {
  readonly key: ConnectionKey;
  lastUsedAt: Milliseconds;
}

const MIN_RETRY_AFTER_MS = 1;

/** Admits requests to the queue and removes those that can no longer run. */
export class Intake {
  lastRequestAt: Milliseconds = Number.NEGATIVE_INFINITY;
  private readonly recentKeys = new Map<string, RecentKey>();
  private draining = false;

  constructor(
    private readonly context: GroupContext,
    private readonly dispatcher: Dispatcher,
    private readonly completion: Completion,
    private readonly outcomes: Outcomes,
    private readonly resources: RunResources,
  ) {}

  /** Queues a new request, or refuses it at once. */
  handleArrival(request: GroupRequest, now: Milliseconds): void {
    this.lastRequestAt = now;
    const entry: QueueEntry = {
      request,
      arrivedAt: now,
      mayHaveRun: false,
      attempts: 0,
      notBefore: now,
      avoid: undefined,
    };
    const waitMs = this.estimateWaitMs(entry, now);
    const refusal =
      this.findRefusal(request, waitMs, now) ??
      this.context.admission.admit(request.tenant, waitMs, now);
    if (refusal !== undefined) {
      this.context.counters.notRun += 1;
      this.context.effects.push({ type: 'fail', requestId: request.id, error: refusal });
      return;
    }
    this.context.retryBudget.recordAttempt();
    this.recordKeyUse(request, now);
    this.dispatcher.enqueue(entry, now);
  }

  /** The caller disconnected or cancelled: drops the request if it is still queued. */
  handleAbandoned(requestId: RequestId): void {
    const entry = this.removeQueued(requestId);
    if (entry !== undefined) this.outcomes.failNotRun(entry, 'caller-gone', 'the caller has gone');
  }

  /** This owner is stopping: refuses all queued and all later requests. */
  drain(): void {
    this.draining = true;
    const { queues } = this.context;
    for (const queued of [...queues.primary.entries(), ...queues.replica.entries()]) {
      this.removeQueued(queued.request.id);
      this.outcomes.failNotRun(queued, 'owner-stopping', 'this proxy is stopping', 0);
    }
  }

  /** Fails requests whose session has observed a timeline that the group lost. */
  failLostTimelines(entries: readonly QueueEntry[]): void {
    const { group } = this.context.options;
    for (const entry of entries) {
      if (this.removeQueued(entry.request.id) === undefined) continue;
      this.outcomes.failPositionLost(entry, new SessionPositionLostError(group, 'beyond-log'));
    }
  }

  /** Checks the requests for which a deadline is due. */
  handleDueDeadlines(now: Milliseconds): void {
    const { deadlines, queues, runs } = this.context;
    for (let due = deadlines.takeDue(now); due !== undefined; due = deadlines.takeDue(now)) {
      const { requestId } = due;
      const queued = queues.primary.get(requestId) ?? queues.replica.get(requestId);
      if (queued !== undefined) this.handleQueuedDeadline(queued, now);
      const run = runs.get(requestId);
      if (run !== undefined) this.handleRunDeadline(run, now);
    }
  }

  /**
   * Roles and databases used within the idle connection timeout, most recent first; removes the
   * others.
   */
  recentlyUsedKeys(now: Milliseconds): ConnectionKey[] {
    const { idleConnectionTimeoutMs } = this.context.bounds;
    for (const [id, recent] of this.recentKeys) {
      if (now - recent.lastUsedAt > idleConnectionTimeoutMs) this.recentKeys.delete(id);
    }
    return [...this.recentKeys.values()]
      .sort((left, right) => right.lastUsedAt - left.lastUsedAt)
      .map((recent) => recent.key);
  }

  private findRefusal(
    request: GroupRequest,
    waitMs: Milliseconds,
    now: Milliseconds,
  ): NotRunError | undefined {
    const { queues, bounds } = this.context;
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, waitMs);
    if (this.draining) return new NotRunError('owner-stopping', 'this proxy is stopping', 0);
    if (now >= request.deadline) {
      return new NotRunError('deadline-passed', 'the deadline had passed on arrival');
    }
    if (queues.primary.length + queues.replica.length >= bounds.maxQueued) {
      return new NotRunError('queue-full', 'the queue of the group is full', retryAfterMs);
    }
    if (now + waitMs > request.deadline && !isDisabled(this.context, 'deadline')) {
      const message = 'the queue is longer than the time left';
      return new NotRunError('deadline-unreachable', message, retryAfterMs);
    }
    return undefined;
  }

  private removeQueued(requestId: RequestId): QueueEntry | undefined {
    const { queues, admission } = this.context;
    const entry = queues.primary.remove(requestId) ?? queues.replica.remove(requestId);
    if (entry !== undefined) admission.recordQueued(entry.request.tenant, -1);
    return entry;
  }

  /** Expected time until a request queued now gets its response; zero if it can't be estimated. */
  private estimateWaitMs(entry: QueueEntry, now: Milliseconds): Milliseconds {
    const { queues, loads, monitor, instances } = this.context;
    const primary = monitor.usablePrimary(now);
    const description = primary === undefined ? undefined : instances.get(primary.instance);
    if (description === undefined) return 0;
    const queue = mayUseReplica(entry, this.context.options.routing)
      ? queues.replica
      : queues.primary;
    if (queue.length === 0) return 0;
    const ahead = queue.estimateRequestsAhead(entry.request.tenant);
    return ((ahead + 1) * loads.serviceTimeMs(description.name)) / description.slots;
  }

  private handleQueuedDeadline(entry: QueueEntry, now: Milliseconds): void {
    const { request } = entry;
    if (now < request.deadline || isDisabled(this.context, 'deadline')) {
      this.dispatcher.moveToPrimaryIfHalfElapsed(entry, now);
      return;
    }
    this.removeQueued(request.id);
    const { monitor, timing } = this.context;
    if (monitor.usablePrimary(now) === undefined) {
      const retryAfterMs = timing.noPrimaryRetryAfterMs;
      this.outcomes.failNotRun(entry, 'no-primary', 'the group has no primary', retryAfterMs);
      return;
    }
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, this.estimateWaitMs(entry, now));
    this.outcomes.failNotRun(
      entry,
      'deadline-passed',
      'the deadline passed in the queue',
      retryAfterMs,
    );
  }

  private handleRunDeadline(run: Run, now: Milliseconds): void {
    const { deadline } = run.entry.request;
    if (now < deadline || isDisabled(this.context, 'deadline')) return;
    if (run.phase !== 'abandoned') this.completion.handleDeadlinePassed(run, now);
    else if (now >= deadline + this.context.timing.overrunLimitMs) {
      this.resources.closeRun(run);
    }
  }

  private recordKeyUse(request: GroupRequest, now: Milliseconds): void {
    const key = connectionKeyOf(request);
    const id = keyText(key);
    const known = this.recentKeys.get(id);
    if (known === undefined) this.recentKeys.set(id, { key, lastUsedAt: now });
    else known.lastUsedAt = now;
  }
}
