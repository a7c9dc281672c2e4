/**
 * Takes requests from the queues and starts each on a connection: to the primary or, for reads that
 * allow it, to a replica that is caught up. Opens connections where none is idle.
 */
import type { PooledConnection } from '../pool/connections.js';
import type { GroupRequest, RequestId } from '../request.js';
import {
  ALL_RULES,
  allowsReplica,
  type EligibilityRules,
  isEligible,
  type ReplicaCandidate,
  rankReplicas,
} from '../routing/select.js';
import type { Milliseconds } from '../units.js';
import { type GroupContext, isDisabled, maxConfirmationAgeMs, type Run } from './context.js';
import type { InstanceDescription } from './contract.js';
import { DispatchPass } from './dispatch-pass.js';
import type { RoutingPolicy } from './options.js';
import type { OfferResult, QueueEntry } from './queue.js';

/** Starts queued requests on connections. */
export class Dispatcher {
  /** True if, in the last pass, a read waited for a replica to catch up. */
  readsAwaitReplica = false;
  /** True if, in the last pass, a session had observed a later timeline than the primary's. */
  laterTimelineExpected = false;
  /** Requests found in the last pass whose session has observed a timeline that was lost. */
  lostTimelineEntries: QueueEntry[] = [];
  /** Reads moved to the primary's queue; ids of reads that have left it are removed lazily. */
  private readonly movedReadIds = new Set<RequestId>();
  private readonly rules: EligibilityRules;

  constructor(private readonly context: GroupContext) {
    this.rules = createRules(context);
  }

  /** Adds a request to the queue for the primary or for the replicas. */
  enqueue(entry: QueueEntry, now: Milliseconds): void {
    const { queues, deadlines, timing, admission } = this.context;
    const { request } = entry;
    const queue = mayUseReplica(entry, this.context.options.routing)
      ? queues.replica
      : queues.primary;
    queue.push(entry);
    admission.recordQueued(request.tenant, 1);
    deadlines.add({ at: request.deadline, requestId: request.id });
    if (entry.notBefore > now) deadlines.add({ at: entry.notBefore, requestId: request.id });
    if (queue === queues.replica) {
      const waitEndsAt = entry.notBefore + timing.replicaWaitMs;
      deadlines.add({ at: waitEndsAt, requestId: request.id });
      deadlines.add({ at: halfElapsedAt(entry), requestId: request.id });
    }
  }

  /** Starts the queued requests that can start now. */
  dispatch(now: Milliseconds): void {
    const { queues } = this.context;
    this.readsAwaitReplica = false;
    this.laterTimelineExpected = false;
    this.lostTimelineEntries = [];
    if (queues.replica.length + queues.primary.length === 0) return;
    const pass = new DispatchPass(this.context, now);
    queues.replica.serve((entry) => {
      return this.hasReplicaSlot(pass) ? this.offerReplica(entry, pass) : 'stop';
    });
    const readsWait = this.hasMovedReads();
    queues.primary.serve((entry) => {
      const anySlotFree = this.hasPrimarySlot(pass) || (readsWait && this.hasReplicaSlot(pass));
      return anySlotFree ? this.offerPrimary(entry, pass) : 'stop';
    });
    pass.openMissingConnections();
  }

  /**
   * Once half of its time has elapsed, a read queued for the replicas may run on the primary as
   * well.
   */
  moveToPrimaryIfHalfElapsed(entry: QueueEntry, now: Milliseconds): void {
    const { queues } = this.context;
    if (!isHalfElapsed(entry, now) || queues.replica.remove(entry.request.id) === undefined) return;
    queues.primary.push(entry);
    this.movedReadIds.add(entry.request.id);
  }

  /** Sends a request whose connection had to be reset first. */
  startAfterReset(run: Run): void {
    run.phase = 'running';
    this.emitRun(run);
  }

  private hasPrimarySlot(pass: DispatchPass): boolean {
    return pass.primary !== undefined && this.hasSlot(pass.primary, 'statement');
  }

  private hasReplicaSlot(pass: DispatchPass): boolean {
    return pass.replicas.some((replica) => {
      const description = this.context.instances.get(replica.instance.name);
      return description !== undefined && this.hasSlot(description, 'statement');
    });
  }

  /** True if the primary's queue contains reads, some of which a replica may still serve. */
  private hasMovedReads(): boolean {
    for (const id of this.movedReadIds) {
      if (this.context.queues.primary.get(id) === undefined) this.movedReadIds.delete(id);
    }
    return this.movedReadIds.size > 0;
  }

  private hasSlot(description: InstanceDescription, hold: 'statement' | 'transaction'): boolean {
    return isDisabled(this.context, 'slot-limit') || this.context.loads.hasSlot(description, hold);
  }

  private isWithinShare(description: InstanceDescription, request: GroupRequest): boolean {
    const { admission, loads } = this.context;
    if (admission.activeTenantCount < 2 || isDisabled(this.context, 'fair-queue')) return true;
    const { tenant, hold } = request;
    return loads.isWithinShare(description, tenant, hold, admission.activeTenantCount);
  }

  private offerReplica(entry: QueueEntry, pass: DispatchPass): OfferResult {
    if (!this.mayTenantStart(entry)) return 'tenant-blocked';
    if (entry.notBefore > pass.now) return 'blocked';
    const eligible = this.eligibleReplicas(entry, pass);
    if (eligible.length > 0) {
      const result = this.runOnReplica(entry, eligible, pass);
      if (result === 'taken' || !isHalfElapsed(entry, pass.now)) return result;
    }
    const waited = pass.now - Math.max(entry.arrivedAt, entry.notBefore);
    const timeLimitMs = entry.request.deadline - entry.arrivedAt;
    const maxWaitMs = Math.min(this.context.timing.replicaWaitMs, timeLimitMs / 2);
    if (waited < maxWaitMs || pass.primary === undefined) {
      this.readsAwaitReplica = true;
      return 'blocked';
    }
    this.context.queues.primary.push(entry);
    this.movedReadIds.add(entry.request.id);
    return 'moved';
  }

  private offerPrimary(entry: QueueEntry, pass: DispatchPass): OfferResult {
    if (!this.mayTenantStart(entry)) return 'tenant-blocked';
    if (entry.notBefore > pass.now) return 'blocked';
    if (!mayUseReplica(entry, this.context.options.routing)) return this.runOnPrimary(entry, pass);
    const eligible = this.eligibleReplicas(entry, pass);
    if (eligible.length > 0) {
      const result = this.runOnReplica(entry, eligible, pass);
      if (result === 'taken' || !isHalfElapsed(entry, pass.now)) return result;
    }
    if (pass.primary?.leaving) return 'blocked';
    const result = this.runOnPrimary(entry, pass);
    if (result === 'taken' && eligible.length > 0) this.context.counters.eligibleReplicaReads += 1;
    return result;
  }

  private runOnPrimary(entry: QueueEntry, pass: DispatchPass): OfferResult {
    const { counters } = this.context;
    const { request } = entry;
    const { session } = request;
    if (pass.primary === undefined || !this.hasSlot(pass.primary, request.hold)) return 'blocked';
    if (!this.isWithinShare(pass.primary, request)) return 'tenant-blocked';
    if (session.type === 'known' && session.position.timeline > pass.timeline) {
      this.recordLaterTimeline(entry);
      return 'blocked';
    }
    const connection = pass.findConnection(entry, pass.primary);
    if (connection === undefined) return 'blocked';
    if (request.access === 'read') counters.primaryReads += 1;
    else counters.writes += 1;
    this.startRun(entry, connection, pass.timeline, pass.now);
    return 'taken';
  }

  /**
   * The session has observed a later timeline than the primary's. If a majority still had no later
   * timeline after the request arrived, that timeline was lost. Until this is known, the owner's
   * own information may be out of date, so the request waits.
   */
  private recordLaterTimeline(entry: QueueEntry): void {
    const confirmedAt = this.context.monitor.primaryConfirmedAt();
    if (confirmedAt > entry.arrivedAt && !isDisabled(this.context, 'session-position')) {
      this.lostTimelineEntries.push(entry);
    } else {
      this.laterTimelineExpected = true;
    }
  }

  private runOnReplica(
    entry: QueueEntry,
    eligible: readonly ReplicaCandidate[],
    pass: DispatchPass,
  ): OfferResult {
    const { instances, counters, options } = this.context;
    const ranked = rankReplicas(eligible, entry.request, options.ownZone, entry.avoid);
    for (const candidate of ranked) {
      const description = instances.get(candidate.instance.name);
      if (description === undefined || !this.hasSlot(description, 'statement')) continue;
      if (!this.isWithinShare(description, entry.request)) continue;
      const connection = pass.findConnection(entry, description);
      if (connection === undefined) continue;
      counters.replicaReads += 1;
      counters.eligibleReplicaReads += 1;
      this.startRun(entry, connection, undefined, pass.now);
      return 'taken';
    }
    return 'blocked';
  }

  /** Starts an entry on a connection; `primaryTimeline` is undefined on a replica. */
  private startRun(
    entry: QueueEntry,
    connection: PooledConnection,
    primaryTimeline: number | undefined,
    now: Milliseconds,
  ): void {
    const { loads, admission, runs, effects, deadlines, pool } = this.context;
    const { request } = entry;
    const run: Run = {
      entry,
      connectionId: connection.id,
      instance: connection.instance,
      onPrimary: primaryTimeline !== undefined,
      timeline: primaryTimeline ?? 0,
      dispatchedAt: now,
      phase: 'running',
      position: undefined,
      anyBytesRelayed: false,
      idle: false,
    };
    loads.recordStart(connection.instance, request.hold, request.tenant);
    admission.recordQueued(request.tenant, -1);
    admission.recordConnection(request.tenant, 1);
    runs.set(request.id, run);
    deadlines.add({ at: request.deadline, requestId: request.id });
    const usedByOtherTenant =
      connection.lastTenant !== undefined && connection.lastTenant !== request.tenant;
    connection.lastTenant = request.tenant;
    if (usedByOtherTenant && !isDisabled(this.context, 'tenant-reset')) {
      run.phase = 'resetting';
      pool.table.setStatus(connection, 'resetting');
      effects.push({ type: 'reset-connection', connectionId: connection.id });
      return;
    }
    pool.table.setStatus(connection, 'running');
    this.emitRun(run);
  }

  private emitRun(run: Run): void {
    const { request } = run.entry;
    const isStrictRead =
      run.onPrimary && request.access === 'read' && maxConfirmationAgeMs(request) === 0;
    // A strict read needs probes sent after the read itself, not after its end: they can run in
    // parallel with it.
    if (isStrictRead) this.context.confirmationSequence = this.context.monitor.nextSequence();
    this.context.effects.push({
      type: 'run',
      requestId: request.id,
      connectionId: run.connectionId,
      instance: run.instance,
      onPrimary: run.onPrimary,
      appendPositionQuery: true,
    });
  }

  private mayTenantStart(entry: QueueEntry): boolean {
    return this.context.admission.mayHoldConnection(entry.request.tenant);
  }

  private eligibleReplicas(entry: QueueEntry, pass: DispatchPass): readonly ReplicaCandidate[] {
    return pass.replicas.filter((candidate) => {
      return isEligible(candidate, entry.request, pass.now, this.rules);
    });
  }
}

function createRules(context: GroupContext): EligibilityRules {
  return {
    ...ALL_RULES,
    checkPosition: !isDisabled(context, 'session-position'),
    checkStaleness: !isDisabled(context, 'staleness-bound'),
    checkLeaving: !isDisabled(context, 'leaving'),
    checkSession: context.options.routing !== 'any-replica',
  };
}

/** True if a replica that is caught up may serve the entry. */
export function mayUseReplica(entry: QueueEntry, routing?: RoutingPolicy): boolean {
  const { access, hold } = entry.request;
  if (access !== 'read' || hold !== 'statement' || routing === 'primary-only') return false;
  return routing === 'any-replica' || allowsReplica(entry.request);
}

/**
 * True if half of the time until the deadline has elapsed: then any eligible instance may serve the
 * entry.
 */
function isHalfElapsed(entry: QueueEntry, now: Milliseconds): boolean {
  return now >= halfElapsedAt(entry);
}

function halfElapsedAt(entry: QueueEntry): Milliseconds {
  return (entry.arrivedAt + entry.request.deadline) / 2;
}
