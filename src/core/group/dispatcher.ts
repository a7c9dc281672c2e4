/**
 * Takes requests from the queue and gives each a connection: on the primary, or for reads that
 * tolerate it on a replica that is caught up. Opens connections where they are short.
 */
import { type ConnectionKey, keyOf, type PooledConnection } from '../pool/connections.js';
import type { InstanceName } from '../request.js';
import {
  ALL_RULES,
  type EligibilityRules,
  isEligible,
  type ReplicaCandidate,
  rankReplicas,
  toleratesReplica,
} from '../routing/select.js';
import type { Milliseconds } from '../units.js';
import { type GroupContext, isOff, type Run } from './context.js';
import type { InstanceDescription } from './contract.js';
import type { RoutingPolicy } from './options.js';
import type { OfferResult, QueueEntry } from './queue.js';

/** Connections that requests ready to run are short of. */
interface ConnectionDemand {
  readonly instance: InstanceName;
  readonly key: ConnectionKey;
  count: number;
}

/** Gives queued requests connections. */
export class Dispatcher {
  /** True if, in the last pass, a read waited for a replica to catch up. */
  replicaProgressWanted = false;
  /** True if, in the last pass, a session knew of a later timeline than the primary's. */
  laterTimelineExpected = false;
  private demands = new Map<string, ConnectionDemand>();
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
      deadlines.add({ at: now + timing.replicaWaitMs, requestId: request.id });
    }
  }

  /** Runs what can run now. */
  dispatch(now: Milliseconds): void {
    const { lanes } = this.context;
    this.replicaProgressWanted = false;
    this.laterTimelineExpected = false;
    this.demands = new Map();
    if (lanes.replica.length > 0) lanes.replica.serve((entry) => this.offerReplica(entry, now));
    if (lanes.primary.length > 0) lanes.primary.serve((entry) => this.offerPrimary(entry, now));
    this.openWanted(now);
  }

  /** Starts a run whose connection was reset first. */
  startAfterReset(run: Run): void {
    run.phase = 'running';
    this.emitRun(run);
  }

  private offerReplica(entry: QueueEntry, now: Milliseconds): OfferResult {
    if (!this.mayStart(entry, now)) return 'blocked';
    const eligible = this.eligibleReplicas(entry, now);
    if (eligible.length > 0 && this.runOnReplica(entry, eligible, now) === 'taken') return 'taken';
    if (eligible.length > 0 && !isHalfOver(entry, now)) return 'blocked';
    const waited = now - Math.max(entry.arrivedAt, entry.notBefore);
    const remaining = entry.request.deadline - entry.arrivedAt;
    const patience = Math.min(this.context.timing.replicaWaitMs, remaining / 2);
    if (waited < patience || this.context.monitor.usablePrimary() === undefined) {
      this.replicaProgressWanted = true;
      return 'blocked';
    }
    this.context.lanes.primary.push(entry);
    return 'moved';
  }

  private offerPrimary(entry: QueueEntry, now: Milliseconds): OfferResult {
    if (!this.mayStart(entry, now)) return 'blocked';
    if (mayUseReplica(entry, this.context.options.routing)) {
      const eligible = this.eligibleReplicas(entry, now);
      if (eligible.length > 0 && this.runOnReplica(entry, eligible, now) === 'taken') {
        return 'taken';
      }
      if (eligible.length > 0 && !isHalfOver(entry, now)) return 'blocked';
      const result = this.runOnPrimary(entry, now);
      if (result === 'taken' && eligible.length > 0)
        this.context.counters.eligibleReplicaReads += 1;
      return result;
    }
    return this.runOnPrimary(entry, now);
  }

  private runOnPrimary(entry: QueueEntry, now: Milliseconds): OfferResult {
    const { monitor, loads, instances, counters } = this.context;
    const { request } = entry;
    const primary = monitor.usablePrimary();
    if (primary === undefined) return 'blocked';
    const description = instances.get(primary.instance);
    if (description === undefined) return 'blocked';
    if (description.leaving && mayUseReplica(entry, this.context.options.routing)) return 'blocked';
    const { session } = request;
    if (session.type === 'known' && session.position.timeline > primary.timeline) {
      this.laterTimelineExpected = true;
      return 'blocked';
    }
    const slotFree = isOff(this.context, 'slot-limit') || loads.hasSlot(description, request.hold);
    if (!slotFree) return 'blocked';
    const connection = this.connectionFor(entry, description);
    if (connection === undefined) return 'blocked';
    if (request.access === 'read') counters.primaryReads += 1;
    else counters.writes += 1;
    this.start(entry, connection, true, primary.timeline, now);
    return 'taken';
  }

  private runOnReplica(
    entry: QueueEntry,
    eligible: readonly ReplicaCandidate[],
    now: Milliseconds,
  ): OfferResult {
    const { loads, instances, counters, options } = this.context;
    for (const candidate of rankReplicas(eligible, entry.request, options.ownZone, entry.avoid)) {
      const description = instances.get(candidate.knowledge.name);
      if (description === undefined) continue;
      const slotFree = isOff(this.context, 'slot-limit') || loads.hasSlot(description, 'statement');
      if (!slotFree) continue;
      const connection = this.connectionFor(entry, description);
      if (connection === undefined) continue;
      counters.replicaReads += 1;
      counters.eligibleReplicaReads += 1;
      this.start(entry, connection, false, 0, now);
      return 'taken';
    }
    return 'blocked';
  }

  private start(
    entry: QueueEntry,
    connection: PooledConnection,
    onPrimary: boolean,
    timeline: number,
    now: Milliseconds,
  ): void {
    const { loads, admission, runs, effects, deadlines } = this.context;
    const { request } = entry;
    const run: Run = {
      entry,
      connectionId: connection.id,
      instance: connection.instance,
      onPrimary,
      timeline,
      dispatchedAt: now,
      phase: 'running',
      position: undefined,
      answerRelayed: false,
    };
    loads.start(connection.instance, request.hold);
    admission.recordQueued(request.tenant, -1);
    admission.recordConnection(request.tenant, 1);
    runs.set(request.id, run);
    deadlines.add({ at: request.deadline, requestId: request.id });
    const foreign = connection.lastTenant !== undefined && connection.lastTenant !== request.tenant;
    connection.lastTenant = request.tenant;
    if (foreign && !isOff(this.context, 'tenant-reset')) {
      run.phase = 'resetting';
      connection.status = 'resetting';
      effects.push({ type: 'reset-connection', connectionId: connection.id });
      return;
    }
    connection.status = 'running';
    this.emitRun(run);
  }

  private emitRun(run: Run): void {
    this.context.effects.push({
      type: 'run',
      requestId: run.entry.request.id,
      connectionId: run.connectionId,
      instance: run.instance,
      onPrimary: run.onPrimary,
      trailPosition: true,
    });
  }

  /** True unless its back-off or its tenant's connection limit makes it wait. */
  private mayStart(entry: QueueEntry, now: Milliseconds): boolean {
    if (entry.notBefore > now) return false;
    return this.context.admission.mayHoldConnection(entry.request.tenant);
  }

  private eligibleReplicas(entry: QueueEntry, now: Milliseconds): readonly ReplicaCandidate[] {
    const { monitor, instances, loads } = this.context;
    const eligible: ReplicaCandidate[] = [];
    for (const description of instances.values()) {
      const knowledge = monitor.knowledgeOf(description.name);
      if (knowledge === undefined || description.name === monitor.primary?.instance) continue;
      const candidate: ReplicaCandidate = {
        knowledge,
        zone: description.zone,
        leaving: description.leaving,
        freshAsOf: monitor.freshAsOf(description.name),
        load: loads.running(description.name),
        slots: description.slots,
        serviceTimeMs: loads.serviceTimeMs(description.name),
      };
      if (isEligible(candidate, entry.request, now, this.rules)) eligible.push(candidate);
    }
    return eligible;
  }

  private connectionFor(
    entry: QueueEntry,
    instance: InstanceDescription,
  ): PooledConnection | undefined {
    const connection = this.context.pool.findIdle(instance.name, entry.request);
    if (connection === undefined) this.want(instance.name, keyOf(entry.request));
    return connection;
  }

  private want(instance: InstanceName, key: ConnectionKey): void {
    const id = JSON.stringify([instance, key.databaseRole, key.database]);
    const demand = this.demands.get(id);
    if (demand === undefined) this.demands.set(id, { instance, key, count: 1 });
    else demand.count += 1;
  }

  private openWanted(now: Milliseconds): void {
    const { pool, instances, effects } = this.context;
    for (const { instance, key, count } of this.demands.values()) {
      const slots = instances.get(instance)?.slots ?? 0;
      const busy =
        pool.table.countOf(instance, key, 'running') +
        pool.table.countOf(instance, key, 'resetting');
      const wanted = busy + Math.min(count, slots);
      pool.ensure(instance, key, wanted, now, effects);
    }
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
  return routing === 'any-replica' || toleratesReplica(entry.request);
}

/** True if half of the time that the caller gave has gone: then any lawful instance will do. */
function isHalfOver(entry: QueueEntry, now: Milliseconds): boolean {
  return now - entry.arrivedAt > (entry.request.deadline - entry.arrivedAt) / 2;
}
