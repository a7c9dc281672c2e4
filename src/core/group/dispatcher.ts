/**
 * Takes requests from the queue and gives each a connection: on the primary, or for reads that
 * tolerate it on a replica that is caught up. Opens connections where they are short.
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
import { type GroupContext, isOff, type Run, toleratedAgeMs } from './context.js';
import type { InstanceDescription } from './contract.js';
import { DispatchPass } from './dispatch-pass.js';
import type { RoutingPolicy } from './options.js';
import type { OfferResult, QueueEntry } from './queue.js';

/** Gives queued requests connections. */
export class Dispatcher {
  /** True if, in the last pass, a read waited for a replica to catch up. */
  replicaProgressWanted = false;
  /** True if, in the last pass, a session knew of a later timeline than the primary's. */
  laterTimelineExpected = false;
  /** Requests found in the last pass whose session has seen a timeline that a majority never had. */
  lostTimelines: QueueEntry[] = [];
  /** Reads moved to the primary's lane; those that have left it are forgotten later. */
  private readonly movedReads = new Set<RequestId>();
  private readonly rules: EligibilityRules;

  constructor(private readonly context: GroupContext) {
    this.rules = rulesOf(context);
  }

  /** Queues a request in the lane it belongs to. */
  enqueue(entry: QueueEntry, now: Milliseconds): void {
    const { lanes, deadlines, timing, admission } = this.context;
    const { request } = entry;
    const lane = mayUseReplica(entry, this.context.options.routing) ? lanes.replica : lanes.primary;
    lane.push(entry);
    admission.recordQueued(request.tenant, 1);
    deadlines.add({ at: request.deadline, requestId: request.id });
    if (entry.notBefore > now) deadlines.add({ at: entry.notBefore, requestId: request.id });
    if (lane === lanes.replica) {
      const patienceOver = entry.notBefore + timing.replicaWaitMs;
      deadlines.add({ at: patienceOver, requestId: request.id });
      deadlines.add({ at: halfTimeOf(entry), requestId: request.id });
    }
  }

  /** Runs what can run now. */
  dispatch(now: Milliseconds): void {
    const { lanes } = this.context;
    this.replicaProgressWanted = false;
    this.laterTimelineExpected = false;
    this.lostTimelines = [];
    if (lanes.replica.length + lanes.primary.length === 0) return;
    const pass = new DispatchPass(this.context, now);
    lanes.replica.serve((entry) => {
      return this.replicaSlotFree(pass) ? this.offerReplica(entry, pass) : 'stop';
    });
    const readsWait = this.readsWaitForPrimary();
    lanes.primary.serve((entry) => {
      const slotFree = this.primarySlotFree(pass) || (readsWait && this.replicaSlotFree(pass));
      return slotFree ? this.offerPrimary(entry, pass) : 'stop';
    });
    pass.openWanted();
  }

  /** Half of a queued read's time has gone: from now on the primary may serve it, too. */
  considerPrimary(entry: QueueEntry, now: Milliseconds): void {
    const { lanes } = this.context;
    if (!isHalfOver(entry, now) || lanes.replica.remove(entry.request.id) === undefined) return;
    lanes.primary.push(entry);
    this.movedReads.add(entry.request.id);
  }

  /** Starts a run whose connection was reset first. */
  startAfterReset(run: Run): void {
    run.phase = 'running';
    this.emitRun(run);
  }

  private primarySlotFree(pass: DispatchPass): boolean {
    return pass.primary !== undefined && this.hasSlot(pass.primary, 'statement');
  }

  private replicaSlotFree(pass: DispatchPass): boolean {
    return pass.replicas.some((replica) => {
      const description = this.context.instances.get(replica.instance.name);
      return description !== undefined && this.hasSlot(description, 'statement');
    });
  }

  /** True if reads wait among the requests for the primary, so that a replica may serve some. */
  private readsWaitForPrimary(): boolean {
    for (const id of this.movedReads) {
      if (this.context.lanes.primary.get(id) === undefined) this.movedReads.delete(id);
    }
    return this.movedReads.size > 0;
  }

  private hasSlot(description: InstanceDescription, hold: 'statement' | 'transaction'): boolean {
    return isOff(this.context, 'slot-limit') || this.context.loads.hasSlot(description, hold);
  }

  private withinShare(description: InstanceDescription, request: GroupRequest): boolean {
    const { admission, loads } = this.context;
    if (admission.activeTenantCount < 2 || isOff(this.context, 'fair-queue')) return true;
    const { tenant, hold } = request;
    return loads.withinShare(description, tenant, hold, admission.activeTenantCount);
  }

  private offerReplica(entry: QueueEntry, pass: DispatchPass): OfferResult {
    if (!this.tenantMayStart(entry)) return 'tenant-blocked';
    if (entry.notBefore > pass.now) return 'blocked';
    const eligible = this.eligibleReplicas(entry, pass);
    if (eligible.length > 0) {
      const result = this.runOnReplica(entry, eligible, pass);
      if (result === 'taken' || !isHalfOver(entry, pass.now)) return result;
    }
    const waited = pass.now - Math.max(entry.arrivedAt, entry.notBefore);
    const remaining = entry.request.deadline - entry.arrivedAt;
    const patience = Math.min(this.context.timing.replicaWaitMs, remaining / 2);
    if (waited < patience || pass.primary === undefined) {
      this.replicaProgressWanted = true;
      return 'blocked';
    }
    this.context.lanes.primary.push(entry);
    this.movedReads.add(entry.request.id);
    return 'moved';
  }

  private offerPrimary(entry: QueueEntry, pass: DispatchPass): OfferResult {
    if (!this.tenantMayStart(entry)) return 'tenant-blocked';
    if (entry.notBefore > pass.now) return 'blocked';
    if (!mayUseReplica(entry, this.context.options.routing)) return this.runOnPrimary(entry, pass);
    const eligible = this.eligibleReplicas(entry, pass);
    if (eligible.length > 0) {
      const result = this.runOnReplica(entry, eligible, pass);
      if (result === 'taken' || !isHalfOver(entry, pass.now)) return result;
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
    if (!this.withinShare(pass.primary, request)) return 'tenant-blocked';
    if (session.type === 'known' && session.position.timeline > pass.timeline) {
      this.expectLaterTimeline(entry);
      return 'blocked';
    }
    const connection = pass.connectionFor(entry, pass.primary);
    if (connection === undefined) return 'blocked';
    if (request.access === 'read') counters.primaryReads += 1;
    else counters.writes += 1;
    this.start(entry, connection, pass.timeline, pass.now);
    return 'taken';
  }

  /**
   * The session knows of a later timeline than the primary's. That a majority has none after the
   * request arrived shows that the timeline was lost; until then this owner may be behind.
   */
  private expectLaterTimeline(entry: QueueEntry): void {
    const confirmedAt = this.context.monitor.primaryConfirmedAt();
    if (confirmedAt > entry.arrivedAt && !isOff(this.context, 'session-position')) {
      this.lostTimelines.push(entry);
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
      if (!this.withinShare(description, entry.request)) continue;
      const connection = pass.connectionFor(entry, description);
      if (connection === undefined) continue;
      counters.replicaReads += 1;
      counters.eligibleReplicaReads += 1;
      this.start(entry, connection, undefined, pass.now);
      return 'taken';
    }
    return 'blocked';
  }

  /** Starts an entry; `primaryTimeline` is undefined on a replica. */
  private start(
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
    loads.start(connection.instance, request.hold, request.tenant);
    admission.recordQueued(request.tenant, -1);
    admission.recordConnection(request.tenant, 1);
    runs.set(request.id, run);
    deadlines.add({ at: request.deadline, requestId: request.id });
    const foreign = connection.lastTenant !== undefined && connection.lastTenant !== request.tenant;
    connection.lastTenant = request.tenant;
    if (foreign && !isOff(this.context, 'tenant-reset')) {
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
    const strictRead = run.onPrimary && request.access === 'read' && toleratedAgeMs(request) === 0;
    // The confirming probes go out beside the read: they need only be later than its start.
    if (strictRead) this.context.confirmationSequence = this.context.monitor.nextSequence();
    this.context.effects.push({
      type: 'run',
      requestId: request.id,
      connectionId: run.connectionId,
      instance: run.instance,
      onPrimary: run.onPrimary,
      appendPositionQuery: true,
    });
  }

  private tenantMayStart(entry: QueueEntry): boolean {
    return this.context.admission.mayHoldConnection(entry.request.tenant);
  }

  private eligibleReplicas(entry: QueueEntry, pass: DispatchPass): readonly ReplicaCandidate[] {
    return pass.replicas.filter((candidate) => {
      return isEligible(candidate, entry.request, pass.now, this.rules);
    });
  }
}

function rulesOf(context: GroupContext): EligibilityRules {
  return {
    ...ALL_RULES,
    checkPosition: !isOff(context, 'session-position'),
    checkStaleness: !isOff(context, 'staleness-bound'),
    checkLeaving: !isOff(context, 'leaving'),
    checkSession: context.options.routing !== 'any-replica',
  };
}

/** True if a replica may serve the entry once one is caught up. */
export function mayUseReplica(entry: QueueEntry, routing?: RoutingPolicy): boolean {
  const { access, hold } = entry.request;
  if (access !== 'read' || hold !== 'statement' || routing === 'primary-only') return false;
  return routing === 'any-replica' || allowsReplica(entry.request);
}

/** True if half of the time that the caller gave has gone: then any lawful instance will do. */
function isHalfOver(entry: QueueEntry, now: Milliseconds): boolean {
  return now >= halfTimeOf(entry);
}

function halfTimeOf(entry: QueueEntry): Milliseconds {
  return (entry.arrivedAt + entry.request.deadline) / 2;
}
