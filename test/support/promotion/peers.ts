/**
 * How nodes learn whether they know all members: by reads of the registrations, and without a lease by requests to other
 * nodes. Delays and choices have random numbers of their own, so that these messages change no other one of a seed.
 */
import type { MemberListState } from '../../../src/core/promotion/member-list-proof.js';
import type { InstanceEntry } from '../../../src/direct/contract.js';
import { seededRandom } from '../random.js';
import type { SimulatedNetwork } from './network.js';
import { type SimulatedStore, STORE } from './store.js';

/** As in the gateway, by whether a peer that responded has the store. */
const REQUEST_PERIOD_MS = { withStore: 600, withoutStore: 300 } as const;
const PEERS_PER_REQUEST = { withStore: 2, withoutStore: 4 } as const;
const MIN_DELAY_MS = 0.5;
const MAX_DELAY_MS = 4;
const SEED_OFFSET = 77_000_003;

/** A node's response; times are ages, since each node has a clock of its own. */
export interface MemberListResponse extends MemberListState {
  /** When its registrations were read from the store, in simulated time. */
  readonly readAt: number;
  readonly registered: readonly InstanceEntry[];
  readonly departed: readonly InstanceEntry[];
}

/** Whether a peer that responded last has the store. */
export type PeerAccess = keyof typeof REQUEST_PERIOD_MS;

export interface SimulatedPeer {
  readonly name: string;
  /** Calls back with the response once the node runs; never if it doesn't. */
  describeMembers(onResponse: (response: MemberListResponse) => void): void;
}

export class SimulatedPeers {
  readonly #random: () => number;
  #peers: readonly SimulatedPeer[] = [];

  constructor(
    private readonly network: SimulatedNetwork,
    seed: number,
  ) {
    this.#random = seededRandom(seed + SEED_OFFSET);
  }

  setPeers(peers: readonly SimulatedPeer[]): void {
    this.#peers = peers;
  }

  /** Pause before a node's next requests. */
  nextPauseMs(peers: PeerAccess): number {
    return REQUEST_PERIOD_MS[peers] * (0.5 + this.#random());
  }

  /** Reads the registrations from the store; calls back only if it answers. */
  readRegistrations(
    node: string,
    store: SimulatedStore,
    read: () => readonly InstanceEntry[],
    onRead: (registrations: readonly InstanceEntry[]) => void,
  ): void {
    this.#send(node, STORE, () => {
      if (store.isDown || store.isRefused(node)) return;
      const registrations = read();
      this.#send(STORE, node, () => onRead(registrations));
    });
  }

  /** Requests the lists of a few other nodes. */
  request(
    from: string,
    peers: PeerAccess,
    onResponse: (response: MemberListResponse) => void,
  ): void {
    const others = this.#peers.filter(({ name }) => name !== from);
    const start = Math.floor(this.#random() * others.length);
    const chosen = [...others.slice(start), ...others.slice(0, start)].slice(
      0,
      PEERS_PER_REQUEST[peers],
    );
    for (const peer of chosen) {
      this.#send(from, peer.name, () =>
        peer.describeMembers((response) => this.#send(peer.name, from, () => onResponse(response))),
      );
    }
  }

  #send(from: string, to: string, action: () => void): void {
    const delayMs = MIN_DELAY_MS + (MAX_DELAY_MS - MIN_DELAY_MS) * this.#random();
    if (!this.network.reaches(from, to)) return;
    this.network.clock.after(delayMs, () => {
      if (this.network.reaches(from, to)) action();
    });
  }
}
