/**
 * Observes all nodes of a run from outside: when each publish was in force on each node, and whether
 * any node ever reverted to an older configuration.
 */
import type {
  ConfigurationRevision,
  ConfigurationSnapshot,
} from '../src/core/configuration/model.js';
import type { MemberEvent } from '../src/core/membership/contract.js';
import type { TenantName } from '../src/core/request.js';
import type { Milliseconds } from '../src/core/units.js';
import { computeDistribution, type Distribution } from './distribution.js';
import type { HollowNode, HollowNodeObserver } from './hollow-node.js';

interface Publish {
  readonly revision: ConfigurationRevision;
  readonly at: Milliseconds;
  readonly phase: string;
  /** Nodes that could not receive it at that time: paused or cut off. */
  readonly cutOff: ReadonlySet<HollowNode>;
}

/** Phase name under which the delays of cut-off nodes are recorded. */
export function cutOffPhase(phase: string): string {
  return `${phase}, cut off`;
}

/** Observations of one incarnation of a node. */
interface NodeRecord {
  revision: ConfigurationRevision;
  readonly tenants: Map<TenantName, ConfigurationRevision>;
  /** Publishes before this index were in force when the node became ready, or are already counted. */
  nextPublish: number;
  ready: boolean;
}

/** Figures of one phase of a run. */
export interface InForceFigures extends Distribution {
  readonly publishes: number;
}

export class FleetObserver implements HollowNodeObserver {
  /** Name of the current phase; publishes are counted under it. */
  phase = 'boot';
  readonly #now: () => Milliseconds;
  readonly #records = new Map<HollowNode, NodeRecord>();
  /** The last revision that was in force for each node id, across its incarnations. */
  readonly #lastRevisions = new Map<string, ConfigurationRevision>();
  readonly #publishes: Publish[] = [];
  readonly #delays = new Map<string, Milliseconds[]>();
  readonly #startDelays: Milliseconds[] = [];
  readonly #startedAt = new Map<HollowNode, Milliseconds>();
  #reverts = 0;

  constructor(now: () => Milliseconds) {
    this.#now = now;
  }

  /** How often a node went back to an older revision. */
  get reverts(): number {
    return this.#reverts;
  }

  onStarted(node: HollowNode): void {
    this.#startedAt.set(node, this.#now());
    this.#records.set(node, { revision: 0, tenants: new Map(), nextPublish: 0, ready: false });
  }

  onStopped(node: HollowNode): void {
    this.#records.delete(node);
    this.#startedAt.delete(node);
  }

  onPublished(revision: ConfigurationRevision, cutOff: ReadonlySet<HollowNode>): void {
    this.#publishes.push({ revision, at: this.#now(), phase: this.phase, cutOff });
  }

  onMembersChanged(_node: HollowNode, _events: readonly MemberEvent[]): void {
    // ConvergenceWatch measures convergence by comparing the nodes' views.
  }

  onReady(node: HollowNode): void {
    const record = this.#records.get(node);
    if (record === undefined) return;
    record.ready = true;
    record.nextPublish = this.#publishes.length;
    this.#startDelays.push(this.#now() - (this.#startedAt.get(node) ?? this.#now()));
    const { nodeId } = node.identity;
    // A restarted node must not serve with an older revision than its previous incarnation did.
    if (record.revision < (this.#lastRevisions.get(nodeId) ?? 0)) this.#reverts += 1;
    this.#lastRevisions.set(nodeId, record.revision);
  }

  onApplied(node: HollowNode, snapshot: ConfigurationSnapshot): void {
    const record = this.#records.get(node);
    if (record === undefined) return;
    this.#countReverts(record, snapshot);
    record.revision = snapshot.revision;
    if (!record.ready) return;
    this.#lastRevisions.set(node.identity.nodeId, snapshot.revision);
    this.#recordInForceDelays(node, record);
  }

  /** Delays of the publishes of a phase on all nodes that were ready at the publish. */
  inForceFigures(phase: string): InForceFigures {
    const publishes = this.#publishes.filter((publish) => publish.phase === phase).length;
    return { publishes, ...computeDistribution(this.#delays.get(phase) ?? []) };
  }

  /** Time from a node's start until its configuration is available. */
  timeToReady(): Distribution {
    return computeDistribution(this.#startDelays);
  }

  /** Counts ready nodes on which a publish of at least this age is not in force. */
  countOutdatedNodes(ageMs: Milliseconds): number {
    const due = this.#publishes.filter(({ at }) => at <= this.#now() - ageMs).at(-1);
    if (due === undefined) return 0;
    const ready = [...this.#records.values()].filter((record) => record.ready);
    return ready.filter((record) => record.revision < due.revision).length;
  }

  #countReverts(record: NodeRecord, snapshot: ConfigurationSnapshot): void {
    if (snapshot.revision < record.revision) this.#reverts += 1;
    for (const [tenant, policy] of snapshot.tenantsByName) {
      const before = record.tenants.get(tenant) ?? 0;
      if (policy.revision < before) this.#reverts += 1;
      if (policy.revision !== before) record.tenants.set(tenant, policy.revision);
    }
  }

  #recordInForceDelays(node: HollowNode, record: NodeRecord): void {
    for (;;) {
      const publish = this.#publishes[record.nextPublish];
      if (publish === undefined || publish.revision > record.revision) return;
      record.nextPublish += 1;
      const isCutOff = publish.cutOff.has(node);
      const phase = isCutOff ? cutOffPhase(publish.phase) : publish.phase;
      const delays = this.#delays.get(phase) ?? [];
      delays.push(this.#now() - publish.at);
      this.#delays.set(phase, delays);
    }
  }
}
