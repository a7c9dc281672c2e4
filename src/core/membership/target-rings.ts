/**
 * Selects the members to probe and to gossip to. There is one ring for this node's zone and one for all
 * other zones. Each ring is traversed in a random order that changes with every round, so that every
 * member is probed within two rounds of its ring and the load is even.
 */
import type { ZoneName } from '../request.js';
import type { Member } from './member.js';

/** Random number generator, uniform in [0, 1); injected, so that the creator can seed it. */
export type Random = () => number;

/** The properties of a member that a ring needs. */
export interface RingMember extends Pick<Member, 'nodeId' | 'zone'> {}

/** Whether a node id still belongs to a member that should be probed. */
export type IsLive = (nodeId: string) => boolean;

const MAX_PICK_ATTEMPTS = 4;

class Ring {
  #ids: string[] = [];
  #position = 0;

  constructor(
    readonly random: Random,
    readonly isLive: IsLive,
  ) {}

  /** Inserts at a random position, so that a new member does not have to wait for a whole round. */
  insert(nodeId: string): void {
    const index = Math.floor(this.random() * (this.#ids.length + 1));
    this.#ids.splice(index, 0, nodeId);
    if (index < this.#position) this.#position += 1;
  }

  /** The next live member in this round; ids that are no longer live are removed before the next round. */
  next(): string | undefined {
    for (let rounds = 0; rounds < 2; rounds += 1) {
      while (this.#position < this.#ids.length) {
        const nodeId = this.#ids[this.#position];
        this.#position += 1;
        if (nodeId !== undefined && this.isLive(nodeId)) return nodeId;
      }
      this.#startRound();
    }
    return undefined;
  }

  pick(): string | undefined {
    for (let attempt = 0; attempt < MAX_PICK_ATTEMPTS; attempt += 1) {
      const nodeId = this.#ids[Math.floor(this.random() * this.#ids.length)];
      if (nodeId !== undefined && this.isLive(nodeId)) return nodeId;
    }
    return undefined;
  }

  #startRound(): void {
    this.#position = 0;
    this.#ids = [...new Set(this.#ids)].filter((nodeId) => this.isLive(nodeId));
    for (let index = this.#ids.length - 1; index > 0; index -= 1) {
      this.#swap(index, Math.floor(this.random() * (index + 1)));
    }
  }

  #swap(left: number, right: number): void {
    const ids = this.#ids;
    const previous = ids[left] ?? '';
    ids[left] = ids[right] ?? '';
    ids[right] = previous;
  }
}

/** Selects the next members to probe and to gossip to. */
export class TargetRings {
  readonly #zone: ZoneName;
  readonly #crossZoneFraction: number;
  readonly #random: Random;
  readonly #local: Ring;
  readonly #remote: Ring;

  constructor(zone: ZoneName, crossZoneFraction: number, random: Random, isLive: IsLive) {
    this.#zone = zone;
    this.#crossZoneFraction = crossZoneFraction;
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
    const remoteFirst = this.#random() < this.#crossZoneFraction;
    return remoteFirst ? [this.#remote, this.#local] : [this.#local, this.#remote];
  }
}
