/** When a change of a member was known to every node that could know it. */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../src/core/units.js';
import { type Distribution, distributionOf } from './distribution.js';
import type { HollowNode } from './hollow-node.js';
import type { VirtualClock } from './virtual-clock.js';

/** How often open changes are looked at: the resolution of the figures. */
const LOOK_PERIOD_MS = 100;

/** What others should come to see of a node. */
export interface ExpectedView {
  readonly nodeId: string;
  /** Undefined: the node is gone or leaving. */
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

  /** @param observers nodes that are to see the changes: running, and on the larger side of a cut */
  constructor(clock: VirtualClock, observers: () => readonly HollowNode[]) {
    this.#clock = clock;
    this.#observers = observers;
    clock.every(LOOK_PERIOD_MS, () => {
      this.#look();
      return true;
    });
  }

  get openChanges(): number {
    return this.#open.size;
  }

  /** Something happened to a node; a later change of the same node takes the place of this one. */
  expect(view: ExpectedView): void {
    this.#open.set(view.nodeId, { ...view, at: this.#clock.now, phase: this.phase });
  }

  /** Times of the changes of a phase. */
  figures(phase: string): Distribution {
    return distributionOf(this.#times.get(phase) ?? []);
  }

  /** Open changes for a message, at most some. */
  describeOpen(): string {
    const open = [...this.#open.values()].slice(0, 5);
    return open
      .map(({ nodeId, at }) => `${nodeId} since ${at / MILLISECONDS_PER_SECOND} s`)
      .join(', ');
  }

  #look(): void {
    if (this.#open.size === 0) return;
    const observers = this.#observers();
    for (const change of [...this.#open.values()]) {
      if (!observers.every((node) => sees(node, change))) continue;
      this.#open.delete(change.nodeId);
      const times = this.#times.get(change.phase) ?? [];
      times.push(this.#clock.now - change.at);
      this.#times.set(change.phase, times);
    }
  }
}

function sees(node: HollowNode, { nodeId, incarnation }: ExpectedView): boolean {
  if (node.identity.nodeId === nodeId) return true;
  const member = node.membership.machine.member(nodeId);
  if (incarnation === undefined) {
    return member === undefined || member.status === 'dead' || member.status === 'leaving';
  }
  return member?.incarnation === incarnation && member.status === 'alive';
}
