/**
 * Tells all nodes where the others answer questions for their directory, for times at which the store
 * can't be heard. A node that is gone keeps its place: it comes back at the same address, and may then
 * know nobody. Done by the leader, in one key, and only when an address is new.
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

/** In larger fleets some nodes are not told of; whoever needs them has seeds. */
const MAX_ADDRESSES = 64;
const PUBLISH_PAUSE_MS = 1000;

export class PeerPublisher {
  /** The term of office in which a write or a pause is on. */
  #busyIn: Scope | undefined;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly election: Election,
    private readonly records: StoreView,
    private readonly duty: StoreView,
  ) {}

  /** Looks for new addresses; `scope` ends with this node's duty. */
  update(scope: Scope): void {
    if (this.#busyIn === scope || !this.election.mayAct() || !this.duty.isReady) return;
    const published = decodeRecord(this.records.get(PEERS_KEY), parsePeersRecord)?.addresses ?? [];
    const known = new Set(published.map(keyOf));
    const live = this.#registered();
    if (live.every((address) => known.has(keyOf(address)))) return;
    this.#busyIn = scope;
    const isLive = new Set(live.map(keyOf));
    const gone = published.filter((address) => !isLive.has(keyOf(address)));
    const addresses = [...live, ...gone].slice(0, MAX_ADDRESSES);
    const value = JSON.stringify({ addresses } satisfies PeersRecord);
    const compares = [{ key: LEADER_KEY, modRevision: this.election.token ?? 0 }];
    const onDone = scope.guard(() => {
      scope.after(PUBLISH_PAUSE_MS, () => {
        this.#busyIn = undefined;
        this.update(scope);
      });
    });
    const put = { type: 'put', key: PEERS_KEY, value } as const;
    this.runtime.transaction(compares, [put], () => onDone(undefined));
  }

  /** In one order whoever leads, so that the same ones have a place. */
  #registered(): PeerAddress[] {
    return [...this.duty.entriesUnder(NODE_PREFIX)]
      .map((entry) => decodeRecord(entry, parseNodeRecord)?.directoryAt)
      .filter((address) => address !== undefined)
      .sort((left, right) => (keyOf(left) < keyOf(right) ? -1 : 1))
      .slice(0, MAX_ADDRESSES);
  }
}

function keyOf({ host, port }: PeerAddress): string {
  return `${host}:${port}`;
}
