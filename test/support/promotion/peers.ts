/**
 * How nodes learn whether they know all members: by reads of the registrations, and without a lease by requests to other
 * nodes. Delays and choices have random numbers of their own, so that these messages change no other one of a seed.
 */
import type { PeerListReport } from '../../../src/core/promotion/member-list-proof.js';
import type { InstanceEntry } from '../../../src/direct/contract.js';
import { seededRandom } from '../random.js';
import type { SimulatedNetwork } from './network.js';
import { type SimulatedStore, STORE } from './store.js';

const REQUEST_PERIOD_MS = 600;
const PEERS_PER_REQUEST = 2;
const MIN_DELAY_MS = 0.5;
const MAX_DELAY_MS = 4;
const SEED_OFFSET = 77_000_003;

/** A node's response; times are ages, since each node has a clock of its own. */
export interface MemberListResponse extends Omit<PeerListReport, 'peer' | 'requestedAt'> {
  /** When its registrations were read from the store, in simulated time. */
  readonly readAt: number;
  readonly registered: readonly InstanceEntry[];
  readonly departed: readonly InstanceEntry[];
}

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
  nextPauseMs(): number {
    return REQUEST_PERIOD_MS * (0.5 + this.#random());
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
  request(from: string, onResponse: (peer: string, response: MemberListResponse) => void): void {
    const others = this.#peers.filter(({ name }) => name !== from);
    const start = Math.floor(this.#random() * others.length);
    const chosen = [...others.slice(start), ...others.slice(0, start)].slice(0, PEERS_PER_REQUEST);
    for (const peer of chosen) {
      this.#send(from, peer.name, () =>
        peer.describeMembers((response) =>
          this.#send(peer.name, from, () => onResponse(peer.name, response)),
        ),
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
