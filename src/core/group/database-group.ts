/**
 * The owner's state machine for one database group: queues requests, chooses instances, runs
 * requests on pooled connections, has a majority of instances confirm them and tracks the primary.
 * No I/O: the caller passes the time, results arrive as events and actions are returned as effects.
 */
import { InstanceMonitor, type ProbeDemand } from '../failover/monitor.js';
import { TenantAdmission } from '../limits/admission.js';
import { ConnectionPool } from '../pool/pool.js';
import type { InstanceName, RequestId } from '../request.js';
import { RetryBudget } from '../retry/budget.js';
import type { Milliseconds } from '../units.js';
import { Completion } from './completion.js';
import { ConfirmationTable } from './confirmation.js';
import type { GroupContext, Run } from './context.js';
import type {
  ConnectionId,
  GroupEffect,
  GroupEvent,
  GroupStateMachine,
  GroupStatistics,
  InstanceDescription,
  InstanceState,
  ProbeId,
} from './contract.js';
import { DeadlineHeap } from './deadlines.js';
import { Dispatcher } from './dispatcher.js';
import { Intake } from './intake.js';
import { InstanceLoads } from './loads.js';
import {
  type DatabaseGroupOptions,
  DEFAULT_GROUP_BOUNDS,
  DEFAULT_GROUP_TIMING,
} from './options.js';
import { Outcomes } from './outcomes.js';
import { FairQueue } from './queue.js';
import { RunResources } from './run-resources.js';

/** Interval at which idle connections are closed or opened and unused tenant state is removed. */
const MAINTENANCE_PERIOD_MS = 50;

/** The state machine of one group on one owner. */
export class DatabaseGroup implements GroupStateMachine {
  private readonly context: GroupContext;
  private readonly dispatcher: Dispatcher;
  private readonly resources: RunResources;
  private readonly completion: Completion;
  private readonly intake: Intake;
  private nextMaintenanceAt = Number.NEGATIVE_INFINITY;
  private now: Milliseconds = 0;

  constructor(options: DatabaseGroupOptions) {
    this.context = createContext(options);
    this.dispatcher = new Dispatcher(this.context);
    const outcomes = new Outcomes(this.context);
    this.resources = new RunResources(this.context);
    this.completion = new Completion(this.context, this.dispatcher, outcomes, this.resources);
    this.intake = new Intake(
      this.context,
      this.dispatcher,
      this.completion,
      outcomes,
      this.resources,
    );
  }

  handle(event: GroupEvent, now: Milliseconds): GroupEffect[] {
    const effects: GroupEffect[] = [];
    this.context.effects = effects;
    this.now = now;
    const before = this.context.monitor.primary;
    this.applyEvent(event, now);
    this.advance(now);
    if (this.context.monitor.primary !== before) this.handlePrimaryChanged(now);
    return effects;
  }

  nextDeadline(): Milliseconds | undefined {
    const { monitor, deadlines, pool } = this.context;
    const times = [
      monitor.nextDeadline(this.createProbeDemand(this.now), this.now),
      deadlines.earliest() ?? Number.POSITIVE_INFINITY,
      pool.nextBackoffEnd(this.now),
      this.nextMaintenanceAt,
    ];
    const earliest = Math.min(...times);
    return Number.isFinite(earliest) ? earliest : undefined;
  }

  statistics(): GroupStatistics {
    const { queues, loads, monitor, counters, pool } = this.context;
    return {
      ...counters,
      queued: queues.primary.length + queues.replica.length,
      running: loads.totalCount(),
      primary: monitor.primary?.instance,
      timeline: monitor.timeline,
      connectionsOpen: pool.table.size,
    };
  }

  private applyEvent(event: GroupEvent, now: Milliseconds): void {
    const { context, completion, intake } = this;
    const { monitor, pool, effects } = context;
    switch (event.type) {
      case 'request-arrived':
        intake.handleArrival(event.request, now);
        break;
      case 'request-abandoned':
        intake.handleAbandoned(event.requestId);
        break;
      case 'transaction-idle':
      case 'transaction-busy':
        this.setTransactionIdle(event.requestId, event.type === 'transaction-idle');
        break;
      case 'run-finished':
        completion.handleRunFinished(event.requestId, event.result, now);
        break;
      case 'connection-opened':
        pool.recordOpened(event.connectionId, now);
        break;
      case 'connection-open-failed':
        this.handleOpenFailed(event.connectionId, event.refusedByLimit, now);
        break;
      case 'connection-closed':
        this.handleConnectionClosed(event.connectionId, now);
        break;
      case 'connection-reset':
        this.handleConnectionReset(event.connectionId, now);
        break;
      case 'probe-answered':
        this.handleProbeAnswered(event.probeId, event.state, now);
        break;
      case 'probe-failed':
        monitor.recordProbeFailed(event.probeId, now, effects);
        break;
      case 'position-observed':
        monitor.recordPiggybackedState(event.instance, event.state, now, effects);
        break;
      case 'instances-changed':
        this.handleInstancesChanged(event.instances, now);
        break;
      case 'limits-changed':
        context.admission.setLimits(event.limits);
        break;
      case 'drain-started':
        intake.drain();
        break;
      case 'tick':
        break;
    }
  }

  private setTransactionIdle(requestId: RequestId, idle: boolean): void {
    const run = this.context.runs.get(requestId);
    const isOpen = run?.phase === 'running' || run?.phase === 'abandoned';
    if (run !== undefined && isOpen) this.resources.setTransactionIdle(run, idle);
  }

  /**
   * Performs everything that has become due or possible through elapsed time or new information.
   */
  private advance(now: Milliseconds): void {
    const { context, completion, dispatcher } = this;
    for (const name of context.monitor.takeNewlyUnreachable())
      completion.handleInstanceUnreachable(name);
    this.intake.handleDueDeadlines(now);
    completion.settleConfirmations(now);
    dispatcher.dispatch(now);
    this.intake.failLostTimelines(dispatcher.lostTimelineEntries);
    this.maintain(now);
    this.sendProbes(now);
  }

  private sendProbes(now: Milliseconds): void {
    const { monitor, confirmations, counters, effects } = this.context;
    const sentBefore = effects.length;
    monitor.advance(this.createProbeDemand(now), now, effects);
    if (confirmations.size > 0) counters.confirmationsSent += effects.length - sentBefore;
  }

  private handlePrimaryChanged(now: Milliseconds): void {
    const { monitor, pool } = this.context;
    if (monitor.primary !== undefined) pool.clearBackoff(monitor.primary.instance);
    this.completion.handlePrimaryReplaced(now);
    this.nextMaintenanceAt = now;
    this.dispatcher.dispatch(now);
    this.intake.failLostTimelines(this.dispatcher.lostTimelineEntries);
    this.maintain(now);
  }

  private createProbeDemand(now: Milliseconds): ProbeDemand {
    const { timing, confirmations } = this.context;
    return {
      active: now - this.intake.lastRequestAt < timing.idleAfterMs,
      confirmationAgeMs: confirmations.oldestAgeMs(now),
      confirmationSequence: this.context.confirmationSequence,
      replicaProgress: this.dispatcher.readsAwaitReplica,
      laterTimelineExpected: this.dispatcher.laterTimelineExpected,
    };
  }

  private handleOpenFailed(id: ConnectionId, refusedByLimit: boolean, now: Milliseconds): void {
    const connection = this.context.pool.recordOpenFailed(id, now);
    if (connection === undefined || refusedByLimit) return;
    this.context.monitor.recordConnectionError(connection.instance);
  }

  private handleConnectionClosed(id: ConnectionId, now: Milliseconds): void {
    const { pool, monitor } = this.context;
    const connection = pool.table.get(id);
    if (connection === undefined) return;
    const { status } = connection;
    if (status === 'running') return;
    pool.table.remove(id);
    if (status === 'idle') monitor.recordConnectionError(connection.instance);
    if (status !== 'resetting') return;
    const run = this.findRunOn(id);
    if (run !== undefined) this.completion.handleResetFailed(run, now);
  }

  private handleConnectionReset(id: ConnectionId, now: Milliseconds): void {
    const connection = this.context.pool.table.get(id);
    const run = this.findRunOn(id);
    if (connection?.status !== 'resetting' || run === undefined) return;
    const leaving = this.context.instances.get(run.instance)?.leaving === true;
    if (leaving && !run.onPrimary) {
      this.completion.handleResetFailed(run, now);
      this.context.pool.release(id, now, this.context.effects);
      return;
    }
    this.context.pool.table.setStatus(connection, 'running');
    this.dispatcher.startAfterReset(run);
  }

  private findRunOn(id: ConnectionId): Run | undefined {
    for (const run of this.context.runs.values()) {
      if (run.connectionId === id && run.phase !== 'confirming') return run;
    }
    return undefined;
  }

  private handleProbeAnswered(id: ProbeId, state: InstanceState, now: Milliseconds): void {
    const { monitor, pool, effects } = this.context;
    const probe = monitor.recordProbeAnswer(id, state, now, effects);
    if (probe === undefined) return;
    if (pool.table.countOf(probe.instance) === 0) pool.clearBackoff(probe.instance);
  }

  private handleInstancesChanged(
    instances: readonly InstanceDescription[],
    now: Milliseconds,
  ): void {
    const { context } = this;
    context.instances = new Map(instances.map((instance) => [instance.name, instance]));
    context.monitor.setInstances(instances, now, context.effects);
    context.pool.setInstances(instances, context.effects);
  }

  private maintain(now: Milliseconds): void {
    if (now < this.nextMaintenanceAt) return;
    const { pool, admission, monitor, effects } = this.context;
    this.nextMaintenanceAt = now + MAINTENANCE_PERIOD_MS;
    pool.closeIdle(now, effects);
    admission.removeIdle(now);
    const reachable: InstanceName[] = [];
    for (const observed of monitor.topology.instances.values()) {
      if (observed.reachability === 'reachable') reachable.push(observed.name);
    }
    pool.openMinIdleConnections(reachable, this.intake.recentlyUsedKeys(now), now, effects);
  }
}

function createContext(options: DatabaseGroupOptions): GroupContext {
  const timing = { ...DEFAULT_GROUP_TIMING, ...options.timing };
  const bounds = { ...DEFAULT_GROUP_BOUNDS, ...options.bounds };
  const admission = new TenantAdmission();
  const isFair = !options.disabledMechanisms?.has('fair-queue');
  const weightOf = (tenant: string): number =>
    isFair ? admission.limitsOf(tenant).queueWeight : 1;
  return {
    options,
    timing,
    bounds,
    admission,
    monitor: new InstanceMonitor(options, timing),
    pool: new ConnectionPool({
      minIdleConnectionsPerRole: bounds.minIdleConnectionsPerRole,
      idleTimeoutMs: bounds.idleConnectionTimeoutMs,
      openBackoffBaseMs: timing.retryBackoffBaseMs,
      openBackoffMaxMs: timing.retryBackoffMaxMs,
      enforceBudget: !options.disabledMechanisms?.has('connection-budget'),
      random: options.random,
    }),
    retryBudget: new RetryBudget({ ratio: bounds.retryRatio, capacity: bounds.retryCapacity }),
    queues: { primary: new FairQueue(weightOf), replica: new FairQueue(weightOf) },
    loads: new InstanceLoads(),
    confirmations: new ConfirmationTable(),
    deadlines: new DeadlineHeap(),
    runs: new Map(),
    counters: {
      replicaReads: 0,
      primaryReads: 0,
      eligibleReplicaReads: 0,
      writes: 0,
      notRun: 0,
      unknown: 0,
      retries: 0,
      confirmationsSent: 0,
      writesConfirmed: 0,
    },
    instances: new Map(),
    confirmationSequence: 0,
    effects: [],
  };
}
