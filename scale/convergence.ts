/** Measures when a membership change was known to every node that could learn of it. */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../src/core/units.js';
import { computeDistribution, type Distribution } from './distribution.js';
import type { HollowNode } from './hollow-node.js';
import type { VirtualClock } from './virtual-clock.js';

/** Interval between checks of open changes; the resolution of the figures. */
const CHECK_PERIOD_MS = 100;

/** The view of a node that all other nodes should reach. */
export interface ExpectedView {
  readonly nodeId: string;
  /** Undefined: the node is dead, removed or leaving. */
  readonly incarnation: number | undefined;
}

interface OpenChange extends ExpectedView {
  readonly at: Milliseconds;
  readonly phase: string;
}

export class ConvergenceWatch {
  phase = 'boot';
  readonly #clock: VirtualClock;
  readonly #observers: () => readonly HollowNode[];
  readonly #open = new Map<string, OpenChange>();
  readonly #times = new Map<string, Milliseconds[]>();

  /** @param observers nodes that must learn of the changes: running, and on the larger side of a partition */
  constructor(clock: VirtualClock, observers: () => readonly HollowNode[]) {
    this.#clock = clock;
    this.#observers = observers;
    clock.every(CHECK_PERIOD_MS, () => {
      this.#checkOpenChanges();
      return true;
    });
  }

  get openChanges(): number {
    return this.#open.size;
  }

  /** Records a change of a node; it replaces an open change of the same node. */
  expect(view: ExpectedView): void {
    this.#open.set(view.nodeId, { ...view, at: this.#clock.now, phase: this.phase });
  }

  /** Convergence times of the changes of a phase. */
  figures(phase: string): Distribution {
    return computeDistribution(this.#times.get(phase) ?? []);
  }

  /** Formats the first few open changes for a message. */
  describeOpen(): string {
    const open = [...this.#open.values()].slice(0, 5);
    return open
      .map(({ nodeId, at }) => `${nodeId} since ${at / MILLISECONDS_PER_SECOND} s`)
      .join(', ');
  }

  #checkOpenChanges(): void {
    if (this.#open.size === 0) return;
    const observers = this.#observers();
    for (const change of [...this.#open.values()]) {
      if (!observers.every((node) => hasExpectedView(node, change))) continue;
      this.#open.delete(change.nodeId);
      const times = this.#times.get(change.phase) ?? [];
      times.push(this.#clock.now - change.at);
      this.#times.set(change.phase, times);
    }
  }
}

function hasExpectedView(node: HollowNode, { nodeId, incarnation }: ExpectedView): boolean {
  if (node.identity.nodeId === nodeId) return true;
  const member = node.membership.machine.member(nodeId);
  if (incarnation === undefined) {
    return member === undefined || member.status === 'dead' || member.status === 'leaving';
  }
  return member?.incarnation === incarnation && member.status === 'alive';
}
