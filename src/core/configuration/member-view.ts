/**
 * The live members as one node sees them between two changes. Everything derived from them is
 * computed once per change, so that the cost of a round or push does not grow with their number.
 */
import type { RandomSource } from './backoff.js';
import { selectAntiEntropyPeer } from './peer-selection.js';
import { type ConfigurationMember, selectPushTargets, selectRelayCandidates } from './relays.js';

/** An immutable view of the live members; a change creates a new one. */
export class MemberView {
  /** All live members except this node. */
  readonly others: readonly ConfigurationMember[];
  readonly #self: ConfigurationMember;
  readonly #byId: ReadonlyMap<string, ConfigurationMember>;
  readonly #ownZone: readonly ConfigurationMember[];
  readonly #otherZones: readonly ConfigurationMember[];
  readonly #pushTargets = new Map<string, readonly ConfigurationMember[]>();
  #candidates: readonly ConfigurationMember[] | undefined;

  /** @param members the live members, with or without this node */
  constructor(self: ConfigurationMember, members: readonly ConfigurationMember[]) {
    this.#self = self;
    this.others = members.filter((member) => member.nodeId !== self.nodeId);
    this.#byId = new Map(this.others.map((member) => [member.nodeId, member]));
    this.#ownZone = this.others.filter((member) => member.zone === self.zone);
    this.#otherZones = this.others.filter((member) => member.zone !== self.zone);
  }

  /** The other live member with this id, if there is one. */
  get(nodeId: string): ConfigurationMember | undefined {
    return this.#byId.get(nodeId);
  }

  /** True for a live member, including this node. */
  includes(nodeId: string): boolean {
    return nodeId === this.#self.nodeId || this.#byId.has(nodeId);
  }

  /** The members of this node's zone that should relay, best first. */
  relayCandidates(): readonly ConfigurationMember[] {
    this.#candidates ??= selectRelayCandidates(this.#self.zone, [...this.#ownZone, this.#self]);
    return this.#candidates;
  }

  /** The members to which this node forwards a change along the push tree of `root`. */
  selectPushTargets(root: string): readonly ConfigurationMember[] {
    const known = this.#pushTargets.get(root);
    if (known !== undefined) return known;
    const { nodeId, zone } = this.#self;
    const targets = selectPushTargets(root, nodeId, zone, [...this.#ownZone, this.#self]);
    this.#pushTargets.set(root, targets);
    return targets;
  }

  /** A random peer for one anti-entropy round; undefined if there is no other member. */
  selectAntiEntropyPeer(random: RandomSource): ConfigurationMember | undefined {
    return selectAntiEntropyPeer(this.#ownZone, this.#otherZones, random);
  }
}
