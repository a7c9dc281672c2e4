/** State shared by all requests offered in one pass of the dispatcher. */
import {
  type ConnectionKey,
  connectionKeyOf,
  keyText,
  type PooledConnection,
} from '../pool/connections.js';
import type { InstanceName } from '../request.js';
import type { ReplicaCandidate } from '../routing/select.js';
import type { Milliseconds } from '../units.js';
import type { GroupContext } from './context.js';
import type { InstanceDescription } from './contract.js';
import type { QueueEntry } from './queue.js';

/** Number of requests that could run on an instance but found no idle connection. */
interface ConnectionDemand {
  readonly instance: InstanceName;
  readonly key: ConnectionKey;
  count: number;
}

/** One pass: the observed state of the instances, and the connections that were missing. */
export class DispatchPass {
  readonly replicas: readonly ReplicaCandidate[];
  /** The primary, if requests may be sent to it now. */
  readonly primary: InstanceDescription | undefined;
  /** Timeline of the primary; zero if there is none. */
  readonly timeline: number;
  private readonly demands = new Map<string, ConnectionDemand>();

  constructor(
    private readonly context: GroupContext,
    readonly now: Milliseconds,
  ) {
    const usable = context.monitor.usablePrimary(now);
    this.replicas = listReplicas(context);
    this.primary = usable === undefined ? undefined : context.instances.get(usable.instance);
    this.timeline = usable?.timeline ?? 0;
  }

  /** Returns an idle connection for the entry; if there is none, counts one as missing. */
  findConnection(entry: QueueEntry, instance: InstanceDescription): PooledConnection | undefined {
    const connection = this.context.pool.findIdle(instance.name, entry.request);
    if (connection !== undefined) return connection;
    const key = connectionKeyOf(entry.request);
    const id = `${instance.name}\0${keyText(key)}`;
    const demand = this.demands.get(id);
    if (demand === undefined) this.demands.set(id, { instance: instance.name, key, count: 1 });
    else demand.count += 1;
    return undefined;
  }

  /** Opens the connections that were missing in this pass. */
  openMissingConnections(): void {
    const { pool, instances, effects } = this.context;
    for (const { instance, key, count } of this.demands.values()) {
      const slots = instances.get(instance)?.slots ?? 0;
      const wanted = pool.table.busyCountOf(instance, key) + Math.min(count, slots);
      pool.ensureConnections(instance, key, wanted, this.now, effects);
    }
  }
}

function listReplicas({ monitor, instances, loads }: GroupContext): readonly ReplicaCandidate[] {
  const replicas: ReplicaCandidate[] = [];
  for (const { name, zone, leaving, slots } of instances.values()) {
    const observed = monitor.observedInstance(name);
    if (observed === undefined || name === monitor.primary?.instance) continue;
    const load = loads.runningCount(name);
    const serviceTimeMs = loads.serviceTimeMs(name);
    const freshAsOf = monitor.freshAsOf(name);
    replicas.push({ instance: observed, zone, leaving, freshAsOf, load, slots, serviceTimeMs });
  }
  return replicas;
}
