/**
 * A cluster restarts after a power loss, while an instance still counts its old connections. Compares, in virtual time,
 * which openings and statements succeed with direct connections and with owners.
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
/** Latency to an owner, which is another machine of the same or the next zone. */
const OWNER_HOP_MS = 3;
const STALE_CONNECTIONS_MS = 3000;
const DOWN_MS = 500;
const RECONNECT_MS = 200;
const STATEMENTS_PER_SECOND = 100;
const LATENCY_TARGET_MS = 200;
/** Of the statements sent later than this after the restart, 95 of 100 must be answered within the latency target. */
const RECOVERY_MS = 2000;
const MIN_FRACTION_WITHIN_TARGET = 0.95;
const SIMULATED_MS = 3000;
const SEEDS = [1, 2, 3, 4, 5, 6];
const DIRECT: ConnectionSharing = { type: 'direct' };

/** An instance that runs one statement or opening per slot, and refuses connections beyond its limit. */
class Instance {
  refused = 0;
  #free = SLOTS;
  readonly #queue: { readonly ms: number; readonly onEnd: () => void }[] = [];

  constructor(
    private readonly clock: SimulatedClock,
    private connections: number,
  ) {
    const staleConnections = connections;
    clock.after(STALE_CONNECTIONS_MS - DOWN_MS, () => {
      this.connections -= staleConnections;
    });
  }

  /** False if the connection limit is reached. */
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

/** Connections of one node: opened for waiting statements; after a refusal the next attempt is delayed. */
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

  execute(onAnswer: () => void): void {
    // A node without connections whose last opening was refused rejects its statements.
    if (this.#open === 0 && this.clock.now < this.#retryAt) return;
    this.#waiting.push(onAnswer);
    this.#dispatch();
  }

  #dispatch(): void {
    while (this.#idle > 0) {
      const onAnswer = this.#waiting.shift();
      if (onAnswer === undefined) break;
      this.#idle -= 1;
      this.instance.run(STATEMENT_MS, () => {
        this.#idle += 1;
        onAnswer();
        this.#dispatch();
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
      this.#dispatch();
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

interface Outcome {
  /** Fraction of the statements sent from `RECOVERY_MS` on that were answered within the latency target. */
  readonly withinTarget: number;
  /** Number of openings that the instance refused. */
  readonly refused: number;
}

/** Number of nodes that open connections after the restart, and of connections for each. */
function holdersOf(sharing: ConnectionSharing) {
  if (sharing.type === 'direct') {
    const each = unsettledConnections(1, { slots: SLOTS, nodes: NODES });
    return { holders: NODES, limit: each, hopMs: 0 };
  }
  const owners = sharing.ownersPerInstance;
  const share = connectionsPerOwner(owners, MAX_CONNECTIONS);
  const limit = Math.ceil(share * UNSETTLED_FRACTION);
  return { holders: owners, limit, hopMs: OWNER_HOP_MS };
}

function play(seed: number, sharing: ConnectionSharing): Outcome {
  const clock = new SimulatedClock(seed);
  const { holders: count, limit, hopMs } = holdersOf(sharing);
  // Before the power loss each node had one connection.
  const instance = new Instance(clock, NODES);
  const holders = Array.from({ length: count }, () => new Holder(clock, instance, limit));
  let sent = 0;
  let withinTarget = 0;
  const send = (): void => {
    const sentAt = clock.now;
    const isCounted = sentAt >= RECOVERY_MS && sentAt < STALE_CONNECTIONS_MS - DOWN_MS;
    if (isCounted) sent += 1;
    const onAnswer = (): void => {
      if (isCounted && clock.now + hopMs - sentAt <= LATENCY_TARGET_MS) withinTarget += 1;
    };
    clock.after(hopMs, () => clock.pick(holders).execute(onAnswer));
    clock.after(clock.between(0, 2000 / STATEMENTS_PER_SECOND), send);
  };
  send();
  clock.runUntil(SIMULATED_MS);
  return { withinTarget: withinTarget / sent, refused: instance.refused };
}

function sharingOf(largestDirectFleet: number | undefined): ConnectionSharing {
  const fleet = { liveNodes: NODES, maxConnections: MAX_CONNECTIONS, largestDirectFleet };
  return new SharingDecision().decide(DIRECT, fleet, 0);
}

test('with owners, no opening is refused and statements meet their target two seconds after the restart', () => {
  const sharing = sharingOf(maxFleetWithoutReturnOwners(MAX_CONNECTIONS));
  for (const seed of SEEDS) {
    const { withinTarget, refused } = play(seed, sharing);
    assert.is(refused, 0, `seed ${seed}`);
    assert.ok(
      withinTarget >= MIN_FRACTION_WITHIN_TARGET,
      `seed ${seed}: ${withinTarget} within the target`,
    );
  }
});

test('with direct connections, openings are refused until the old connections are dropped', () => {
  const sharing = sharingOf(undefined);
  assert.is(sharing.type, 'direct');
  for (const seed of SEEDS) {
    const { withinTarget, refused } = play(seed, sharing);
    assert.ok(refused > 0, `seed ${seed}`);
    assert.ok(
      withinTarget < MIN_FRACTION_WITHIN_TARGET,
      `seed ${seed}: ${withinTarget} within the target`,
    );
  }
});

test.run();
