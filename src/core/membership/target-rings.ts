/**
 * Whom to probe next and whom to gossip to. One ring for the own zone and one for the others; each
 * is walked in a random order that changes with every round, so that every member is probed within
 * two rounds of its ring and the load is even.
 */
import type { ZoneName } from '../request.js';
import type { Member } from './member.js';

/** Uniform in [0, 1); seeded by whoever builds the machine. */
export type Random = () => number;

/** What a ring needs to know of a member. */
export interface RingMember extends Pick<Member, 'nodeId' | 'zone'> {}

/** Tells whether a node id still is a member to be probed. */
export type IsLive = (nodeId: string) => boolean;

const RANDOM_PICK_ATTEMPTS = 4;

class Ring {
  #ids: string[] = [];
  #position = 0;

  constructor(
    readonly random: Random,
    readonly isLive: IsLive,
  ) {}

  /** At a random place, so that a new member does not wait for a whole round. */
  insert(nodeId: string): void {
    const place = Math.floor(this.random() * (this.#ids.length + 1));
    this.#ids.splice(place, 0, nodeId);
    if (place < this.#position) this.#position += 1;
  }

  /** The next member in this round; ids that are no longer live are left out of the next round. */
  next(): string | undefined {
    for (let rounds = 0; rounds < 2; rounds += 1) {
      while (this.#position < this.#ids.length) {
        const nodeId = this.#ids[this.#position];
        this.#position += 1;
        if (nodeId !== undefined && this.isLive(nodeId)) return nodeId;
      }
      this.#beginRound();
    }
    return undefined;
  }

  pick(): string | undefined {
    for (let attempt = 0; attempt < RANDOM_PICK_ATTEMPTS; attempt += 1) {
      const nodeId = this.#ids[Math.floor(this.random() * this.#ids.length)];
      if (nodeId !== undefined && this.isLive(nodeId)) return nodeId;
    }
    return undefined;
  }

  #beginRound(): void {
    this.#position = 0;
    this.#ids = [...new Set(this.#ids)].filter((nodeId) => this.isLive(nodeId));
    for (let index = this.#ids.length - 1; index > 0; index -= 1) {
      this.#swap(index, Math.floor(this.random() * (index + 1)));
    }
  }

  #swap(left: number, right: number): void {
    const ids = this.#ids;
    const kept = ids[left] ?? '';
    ids[left] = ids[right] ?? '';
    ids[right] = kept;
  }
}

/** Whom to probe and to gossip to next. */
export class TargetRings {
  readonly #zone: ZoneName;
  readonly #remoteShare: number;
  readonly #random: Random;
  readonly #local: Ring;
  readonly #remote: Ring;

  constructor(zone: ZoneName, crossZoneFraction: number, random: Random, isLive: IsLive) {
    this.#zone = zone;
    this.#remoteShare = crossZoneFraction;
    this.#random = random;
    this.#local = new Ring(random, isLive);
    this.#remote = new Ring(random, isLive);
  }

  insert(member: RingMember): void {
    (member.zone === this.#zone ? this.#local : this.#remote).insert(member.nodeId);
  }

  /** The member to probe next. */
  next(): string | undefined {
    const [first, second] = this.#order();
    return first.next() ?? second.next();
  }

  /** Up to `count` different random members. */
  pick(count: number, except?: string): string[] {
    const picked = new Set<string>();
    for (let attempt = 0; attempt < count * 2 && picked.size < count; attempt += 1) {
      const [first, second] = this.#order();
      const nodeId = first.pick() ?? second.pick();
      if (nodeId !== undefined && nodeId !== except) picked.add(nodeId);
    }
    return [...picked];
  }

  #order(): [Ring, Ring] {
    const remoteFirst = this.#random() < this.#remoteShare;
    return remoteFirst ? [this.#remote, this.#local] : [this.#local, this.#remote];
  }
}
