/**
 * Watches all nodes of a run from outside: when each publish was in force on each node, whether
 * any node ever went back, and when each change of a member was known to all who could know it.
 */
import type {
  ConfigurationRevision,
  ConfigurationSnapshot,
} from '../src/core/configuration/model.js';
import type { MemberEvent } from '../src/core/membership/contract.js';
import type { TenantName } from '../src/core/request.js';
import type { Milliseconds } from '../src/core/units.js';
import { type Distribution, distributionOf } from './distribution.js';
import type { HollowNode, HollowNodeObserver } from './hollow-node.js';

interface Publish {
  readonly revision: ConfigurationRevision;
  readonly at: Milliseconds;
  readonly phase: string;
  /** Nodes that could not hear of it then: paused, or behind a cut. */
  readonly cutOff: ReadonlySet<HollowNode>;
}

/** Name under which the delays of nodes that were cut off are kept. */
export function cutOffPhase(phase: string): string {
  return `${phase}, cut off`;
}

/** What a life of a node has shown so far. */
interface NodeRecord {
  revision: ConfigurationRevision;
  readonly tenants: Map<TenantName, ConfigurationRevision>;
  /** Publishes before this index were in force when the node became ready, or have been counted. */
  nextPublish: number;
  ready: boolean;
}

/** Figures of one phase of a run. */
export interface InForceFigures extends Distribution {
  readonly publishes: number;
}

export class FleetObserver implements HollowNodeObserver {
  /** Name of the present phase: publishes are counted under it. */
  phase = 'boot';
  readonly #now: () => Milliseconds;
  readonly #records = new Map<HollowNode, NodeRecord>();
  /** The last revision that was in force at each node id, over all its lives. */
  readonly #lastRevisions = new Map<string, ConfigurationRevision>();
  readonly #publishes: Publish[] = [];
  readonly #delays = new Map<string, Milliseconds[]>();
  readonly #startDelays: Milliseconds[] = [];
  readonly #startedAt = new Map<HollowNode, Milliseconds>();
  #reverts = 0;

  constructor(now: () => Milliseconds) {
    this.#now = now;
  }

  /** Times that something older than before was in force at a node. */
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
    // Convergence is looked at from outside, by ConvergenceWatch.
  }

  onReady(node: HollowNode): void {
    const record = this.#records.get(node);
    if (record === undefined) return;
    record.ready = true;
    record.nextPublish = this.#publishes.length;
    this.#startDelays.push(this.#now() - (this.#startedAt.get(node) ?? this.#now()));
    const { nodeId } = node.identity;
    // A restarted node must not serve by something older than its earlier life did.
    if (record.revision < (this.#lastRevisions.get(nodeId) ?? 0)) this.#reverts += 1;
    this.#lastRevisions.set(nodeId, record.revision);
  }

  onApplied(node: HollowNode, snapshot: ConfigurationSnapshot): void {
    const record = this.#records.get(node);
    if (record === undefined) return;
    this.#checkForward(record, snapshot);
    record.revision = snapshot.revision;
    if (!record.ready) return;
    this.#lastRevisions.set(node.identity.nodeId, snapshot.revision);
    this.#countInForce(node, record);
  }

  /** Delays of the publishes of a phase, over all nodes that were ready at the publish. */
  inForce(phase: string): InForceFigures {
    const publishes = this.#publishes.filter((publish) => publish.phase === phase).length;
    return { publishes, ...distributionOf(this.#delays.get(phase) ?? []) };
  }

  /** From the start of a life to its configuration in hand. */
  timeToReady(): Distribution {
    return distributionOf(this.#startDelays);
  }

  /** Nodes that are ready and lack a publish of at least this age. */
  lacking(ageMs: Milliseconds): number {
    const due = this.#publishes.filter(({ at }) => at <= this.#now() - ageMs).at(-1);
    if (due === undefined) return 0;
    const ready = [...this.#records.values()].filter((record) => record.ready);
    return ready.filter((record) => record.revision < due.revision).length;
  }

  #checkForward(record: NodeRecord, snapshot: ConfigurationSnapshot): void {
    if (snapshot.revision < record.revision) this.#reverts += 1;
    for (const [tenant, policy] of snapshot.tenantsByName) {
      const before = record.tenants.get(tenant) ?? 0;
      if (policy.revision < before) this.#reverts += 1;
      if (policy.revision !== before) record.tenants.set(tenant, policy.revision);
    }
  }

  #countInForce(node: HollowNode, record: NodeRecord): void {
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
