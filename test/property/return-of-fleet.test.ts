/**
 * A fleet that lost power comes back before one instance that still counts its old connections. Played in virtual time:
 * which nodes find room, and what callers get, with each node for itself and with owners.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  type ConnectionSharing,
  connectionsPerOwner,
  SharingDecision,
} from '../../src/core/ownership/connection-sharing.js';
import {
  UNSETTLED_FRACTION,
  unsettledConnections,
} from '../../src/core/ownership/unsettled-share.js';
import { maxFleetWithoutReturnOwners } from '../../src/core/return/returning-fleet.js';
import { SimulatedClock } from '../support/promotion/clock.js';

const NODES = 36;
const MAX_CONNECTIONS = 46;
const SLOTS = 4;
const OPENING_MS = 12;
const STATEMENT_MS = 8;
/** An owner is another machine of the same or the next zone. */
const HOP_MS = 3;
const LINGER_MS = 3000;
const DOWN_MS = 500;
const RECONNECT_MS = 200;
const STATEMENTS_PER_SECOND = 100;
const AIM_MS = 200;
/** Reads asked later than this after the power is back are to be served in their aim, 95 of 100. */
const BACK_WITHIN_MS = 2000;
const AIMED_SHARE = 0.95;
const PLAY_MS = 3000;
const SEEDS = [1, 2, 3, 4, 5, 6];
const DIRECT: ConnectionSharing = { type: 'direct' };

/** Runs as much at once as it has slots, and refuses connections beyond its limit. */
class Instance {
  refused = 0;
  #free = SLOTS;
  readonly #queue: { readonly ms: number; readonly onEnd: () => void }[] = [];

  constructor(
    private readonly clock: SimulatedClock,
    private connections: number,
  ) {
    const left = connections;
    clock.after(LINGER_MS - DOWN_MS, () => {
      this.connections -= left;
    });
  }

  /** False at once if it takes no more connections. */
  open(onOpen: () => void): boolean {
    if (this.connections >= MAX_CONNECTIONS) {
      this.refused += 1;
      return false;
    }
    this.connections += 1;
    this.run(OPENING_MS, onOpen);
    return true;
  }

  run(ms: number, onEnd: () => void): void {
    this.#queue.push({ ms, onEnd });
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

/** Connections of one node: opened for those who wait, and not tried for a while once refused. */
class Holder {
  #open = 0;
  #opening = 0;
  #idle = 0;
  #retryAt = 0;
  readonly #waiting: (() => void)[] = [];

  constructor(
    private readonly clock: SimulatedClock,
    private readonly instance: Instance,
    private readonly limit: number,
  ) {}

  ask(onAnswer: () => void): void {
    // Without a connection and told that there is no room, a node refuses its callers.
    if (this.#open === 0 && this.clock.now < this.#retryAt) return;
    this.#waiting.push(onAnswer);
    this.#go();
  }

  #go(): void {
    while (this.#idle > 0) {
      const onAnswer = this.#waiting.shift();
      if (onAnswer === undefined) break;
      this.#idle -= 1;
      this.instance.run(STATEMENT_MS, () => {
        this.#idle += 1;
        onAnswer();
        this.#go();
      });
    }
    const wanted = Math.min(this.#waiting.length, Math.max(1, this.#open));
    while (this.#opening < wanted && this.#open + this.#opening < this.limit) {
      if (this.clock.now < this.#retryAt || !this.#openOne()) return;
    }
  }

  #openOne(): boolean {
    const isOpening = this.instance.open(() => {
      this.#opening -= 1;
      this.#open += 1;
      this.#idle += 1;
      this.#go();
    });
    if (isOpening) {
      this.#opening += 1;
      return true;
    }
    this.#retryAt = this.clock.now + this.clock.between(RECONNECT_MS / 2, RECONNECT_MS);
    if (this.#open === 0) this.#waiting.length = 0;
    return false;
  }
}

interface Return {
  /** Part of the statements asked from `BACK_WITHIN_MS` on that were answered in their aim. */
  readonly inAim: number;
  /** Openings that the instance refused for its limit. */
  readonly refused: number;
}

/** Who opens how many connections after the power is back. */
function holdersOf(sharing: ConnectionSharing) {
  if (sharing.type === 'direct') {
    const each = unsettledConnections(1, { slots: SLOTS, nodes: NODES });
    return { holders: NODES, limit: each, hopMs: 0 };
  }
  const owners = sharing.ownersPerInstance;
  const share = connectionsPerOwner(owners, MAX_CONNECTIONS);
  const limit = Math.ceil(share * UNSETTLED_FRACTION);
  return { holders: owners, limit, hopMs: HOP_MS };
}

function play(seed: number, sharing: ConnectionSharing): Return {
  const clock = new SimulatedClock(seed);
  const { holders: count, limit, hopMs } = holdersOf(sharing);
  // Each node had one of its own.
  const instance = new Instance(clock, NODES);
  const holders = Array.from({ length: count }, () => new Holder(clock, instance, limit));
  let asked = 0;
  let inAim = 0;
  const send = (): void => {
    const askedAt = clock.now;
    const isCounted = askedAt >= BACK_WITHIN_MS && askedAt < LINGER_MS - DOWN_MS;
    if (isCounted) asked += 1;
    const onAnswer = (): void => {
      if (isCounted && clock.now + hopMs - askedAt <= AIM_MS) inAim += 1;
    };
    clock.after(hopMs, () => clock.pick(holders).ask(onAnswer));
    clock.after(clock.between(0, 2000 / STATEMENTS_PER_SECOND), send);
  };
  send();
  clock.runUntil(PLAY_MS);
  return { inAim: inAim / asked, refused: instance.refused };
}

function sharingOf(largestDirectFleet: number | undefined): ConnectionSharing {
  const fleet = { liveNodes: NODES, maxConnections: MAX_CONNECTIONS, largestDirectFleet };
  return new SharingDecision().decide(DIRECT, fleet, 0);
}

test('two seconds after the power is back, reads are served in their aim and no opening is refused', () => {
  const sharing = sharingOf(maxFleetWithoutReturnOwners(MAX_CONNECTIONS));
  for (const seed of SEEDS) {
    const { inAim, refused } = play(seed, sharing);
    assert.is(refused, 0, `seed ${seed}`);
    assert.ok(inAim >= AIMED_SHARE, `seed ${seed}: ${inAim} in aim`);
  }
});

test('each node for itself, most find no room until the old connections are dropped', () => {
  const sharing = sharingOf(undefined);
  assert.is(sharing.type, 'direct');
  for (const seed of SEEDS) {
    const { inAim, refused } = play(seed, sharing);
    assert.ok(refused > 0, `seed ${seed}`);
    assert.ok(inAim < AIMED_SHARE, `seed ${seed}: ${inAim} in aim`);
  }
});

test.run();
