/**
 * Publishes to all nodes the addresses at which nodes serve their directory, for times when the store can't be
 * reached. A node that is gone stays in the list: it comes back at the same address, and may then know no other
 * node. Written by the leader, to one key, and only when an address is new.
 */
import type { PeerAddress } from '../../peer/contract.js';
import type { Election } from './election.js';
import {
  decodeRecord,
  LEADER_KEY,
  NODE_PREFIX,
  PEERS_KEY,
  type PeersRecord,
  parseNodeRecord,
  parsePeersRecord,
} from './records.js';
import type { PromotionRuntime } from './runtime.js';
import type { Scope } from './scope.js';
import type { StoreView } from './store-view.js';

/** Larger fleets leave some nodes out; a node that needs more addresses has its configured seeds. */
const MAX_ADDRESSES = 64;
const PUBLISH_COOLDOWN_MS = 1000;

export class PeerPublisher {
  /** Scope of the leadership in which a write or the delay after one is in progress. */
  #busyScope: Scope | undefined;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly election: Election,
    private readonly records: StoreView,
    private readonly leaderView: StoreView,
  ) {}

  /** Publishes the addresses if one is new; `scope` ends with this node's leadership. */
  update(scope: Scope): void {
    if (this.#busyScope === scope || !this.election.mayAct() || !this.leaderView.isReady) return;
    const published = decodeRecord(this.records.get(PEERS_KEY), parsePeersRecord)?.addresses ?? [];
    const known = new Set(published.map(addressKeyOf));
    const live = this.#registeredAddresses();
    if (live.every((address) => known.has(addressKeyOf(address)))) return;
    this.#busyScope = scope;
    const isLive = new Set(live.map(addressKeyOf));
    const gone = published.filter((address) => !isLive.has(addressKeyOf(address)));
    const addresses = [...live, ...gone].slice(0, MAX_ADDRESSES);
    const value = JSON.stringify({ addresses } satisfies PeersRecord);
    const compares = [{ key: LEADER_KEY, modRevision: this.election.fencingToken ?? 0 }];
    const onDone = scope.guard(() => {
      scope.after(PUBLISH_COOLDOWN_MS, () => {
        this.#busyScope = undefined;
        this.update(scope);
      });
    });
    const put = { type: 'put', key: PEERS_KEY, value } as const;
    this.runtime.transaction(compares, [put], () => onDone(undefined));
  }

  /** Sorted, so that every leader selects the same addresses. */
  #registeredAddresses(): PeerAddress[] {
    return [...this.leaderView.entriesUnder(NODE_PREFIX)]
      .map((entry) => decodeRecord(entry, parseNodeRecord)?.directoryAt)
      .filter((address) => address !== undefined)
      .sort((left, right) => (addressKeyOf(left) < addressKeyOf(right) ? -1 : 1))
      .slice(0, MAX_ADDRESSES);
  }
}

function addressKeyOf({ host, port }: PeerAddress): string {
  return `${host}:${port}`;
}
