/**
 * A fleet whose nodes all lost power comes back at once before one instance, with the load that it had. Played in
 * virtual time: openings and statements take the instance's slots, and what finds none is refused and asked again.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { unsettledConnections } from '../../src/core/ownership/unsettled-share.js';
import { SimulatedClock } from '../support/promotion/clock.js';

const NODES = 68;
const SLOTS = 3;
/** What a node may open once it has settled, of 225 connections. */
const SETTLED = 3;
const OPENING_MS = 32;
const STATEMENT_MS = 14;
const RETRY_MS = 100;
const STATEMENTS_PER_SECOND = 70;
const AIM_MS = 250;
const PLAY_MS = 2000;
const SEEDS = [1, 2, 3, 4, 5, 6];

interface Work {
  readonly ms: number;
  readonly onEnd: () => void;
}

/** Takes as much at once as it has slots; the rest waits in order. */
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

/** A node's connections to the instance: opened for those who wait, as many at once as there are already. */
class Node {
  #open = 0;
  #opening = 0;
  #idle = 0;
  readonly #waiting: (() => void)[] = [];

  constructor(
    private readonly instance: Instance,
    private readonly limit: number,
  ) {}

  ask(onAnswer: () => void): void {
    this.#waiting.push(onAnswer);
    this.#go();
  }

  #go(): void {
    while (this.#idle > 0 && this.#waiting.length > 0) {
      const onAnswer = this.#waiting.shift();
      this.#idle -= 1;
      this.instance.run({
        ms: STATEMENT_MS,
        onEnd: () => {
          this.#idle += 1;
          onAnswer?.();
          this.#go();
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
          this.#go();
        },
      });
    }
  }
}

/** Statements answered in aim, of all that callers sent in the first seconds. */
function inAim(seed: number, limit: number): number {
  const clock = new SimulatedClock(seed);
  const instance = new Instance(clock);
  const nodes = Array.from({ length: NODES }, () => new Node(instance, limit));
  let asked = 0;
  let answered = 0;
  const send = (): void => {
    const askedAt = clock.now;
    asked += 1;
    clock.pick(nodes).ask(() => {
      if (clock.now - askedAt <= AIM_MS) answered += 1;
    });
    clock.after(clock.between(0, 2000 / STATEMENTS_PER_SECOND), send);
  };
  // Those who were cut off ask again within the first tenth of a second.
  for (let caller = 0; caller < NODES; caller += 1) {
    clock.after(clock.between(0, RETRY_MS), () => clock.pick(nodes).ask(() => {}));
  }
  send();
  clock.runUntil(PLAY_MS);
  return answered / asked;
}

function mean(limit: number): number {
  return SEEDS.reduce((sum, seed) => sum + inAim(seed, limit), 0) / SEEDS.length;
}

test('callers of a fleet that comes back are served sooner by fewer connections', () => {
  const few = unsettledConnections(SETTLED, { slots: SLOTS, nodes: NODES });
  const half = Math.ceil(SETTLED / 2);
  assert.is(few, 1);
  assert.is(half, 2);
  assert.ok(mean(few) > mean(half) + 0.02, `${mean(few)} and ${mean(half)} in aim`);
});

test('small fleets take half of their share, and nobody none', () => {
  assert.is(unsettledConnections(5, { slots: 3, nodes: 6 }), 3);
  assert.is(unsettledConnections(3, { slots: 2, nodes: 8 }), 2);
  assert.is(unsettledConnections(1, { slots: 2, nodes: 195 }), 1);
});

test.run();
