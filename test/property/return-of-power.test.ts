/**
 * All nodes of a cluster restart at once after a power loss, with the load that they had before. Simulates one instance
 * in virtual time: openings and statements compete for its slots and wait for a free one.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { unsettledConnections } from '../../src/core/ownership/unsettled-share.js';
import { SimulatedClock } from '../support/promotion/clock.js';

const NODES = 68;
const SLOTS = 3;
/** Connections of a node in normal operation, of 225 in total. */
const SETTLED_CONNECTIONS = 3;
const OPENING_MS = 32;
const STATEMENT_MS = 14;
const RETRY_MS = 100;
const STATEMENTS_PER_SECOND = 70;
const LATENCY_TARGET_MS = 250;
const SIMULATED_MS = 2000;
const SEEDS = [1, 2, 3, 4, 5, 6];

interface Work {
  readonly ms: number;
  readonly onEnd: () => void;
}

/** An instance that runs one piece of work per slot; the rest waits in order. */
class Instance {
  #free = SLOTS;
  readonly #queue: Work[] = [];

  constructor(private readonly clock: SimulatedClock) {}

  run(work: Work): void {
    this.#queue.push(work);
    this.#serve();
  }

  #serve(): void {
    const work = this.#free > 0 ? this.#queue.shift() : undefined;
    if (work === undefined) return;
    this.#free -= 1;
    this.clock.after(work.ms, () => {
      this.#free += 1;
      work.onEnd();
      this.#serve();
    });
  }
}

/** A node's connections: opened for waiting statements, at most as many at once as are already open. */
class Node {
  #open = 0;
  #opening = 0;
  #idle = 0;
  readonly #waiting: (() => void)[] = [];

  constructor(
    private readonly instance: Instance,
    private readonly limit: number,
  ) {}

  execute(onAnswer: () => void): void {
    this.#waiting.push(onAnswer);
    this.#dispatch();
  }

  #dispatch(): void {
    while (this.#idle > 0 && this.#waiting.length > 0) {
      const onAnswer = this.#waiting.shift();
      this.#idle -= 1;
      this.instance.run({
        ms: STATEMENT_MS,
        onEnd: () => {
          this.#idle += 1;
          onAnswer?.();
          this.#dispatch();
        },
      });
    }
    const wanted = Math.min(this.#waiting.length, Math.max(1, this.#open));
    while (this.#opening < wanted && this.#open + this.#opening < this.limit) {
      this.#opening += 1;
      this.instance.run({
        ms: OPENING_MS,
        onEnd: () => {
          this.#opening -= 1;
          this.#open += 1;
          this.#idle += 1;
          this.#dispatch();
        },
      });
    }
  }
}

/** Fraction of the statements in the first two seconds that were answered within the latency target. */
function fractionWithinTarget(seed: number, limit: number): number {
  const clock = new SimulatedClock(seed);
  const instance = new Instance(clock);
  const nodes = Array.from({ length: NODES }, () => new Node(instance, limit));
  let sent = 0;
  let withinTarget = 0;
  const send = (): void => {
    const sentAt = clock.now;
    sent += 1;
    clock.pick(nodes).execute(() => {
      if (clock.now - sentAt <= LATENCY_TARGET_MS) withinTarget += 1;
    });
    clock.after(clock.between(0, 2000 / STATEMENTS_PER_SECOND), send);
  };
  // Interrupted callers retry within the first 100 ms.
  for (let caller = 0; caller < NODES; caller += 1) {
    clock.after(clock.between(0, RETRY_MS), () => clock.pick(nodes).execute(() => {}));
  }
  send();
  clock.runUntil(SIMULATED_MS);
  return withinTarget / sent;
}

function mean(limit: number): number {
  return SEEDS.reduce((sum, seed) => sum + fractionWithinTarget(seed, limit), 0) / SEEDS.length;
}

test('after a restart of all nodes, fewer connections serve callers sooner', () => {
  const few = unsettledConnections(SETTLED_CONNECTIONS, { slots: SLOTS, nodes: NODES });
  const half = Math.ceil(SETTLED_CONNECTIONS / 2);
  assert.is(few, 1);
  assert.is(half, 2);
  assert.ok(mean(few) > mean(half) + 0.02, `${mean(few)} and ${mean(half)} within the target`);
});

test('small clusters open half of their share, and each node at least one connection', () => {
  assert.is(unsettledConnections(5, { slots: 3, nodes: 6 }), 3);
  assert.is(unsettledConnections(3, { slots: 2, nodes: 8 }), 2);
  assert.is(unsettledConnections(1, { slots: 2, nodes: 195 }), 1);
});

test.run();
