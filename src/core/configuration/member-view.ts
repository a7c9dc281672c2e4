/**
 * The live members as one node sees them between two changes. What follows from them is worked out
 * once: rounds and pushes then cost the same at any number of members.
 */
import type { RandomSource } from './backoff.js';
import { antiEntropyPeer } from './peer-selection.js';
import { type ConfigurationMember, pushTargets, relayCandidates } from './relays.js';

/** The live members between two changes. */
export class MemberView {
  /** All live members but this node. */
  readonly others: readonly ConfigurationMember[];
  readonly #self: ConfigurationMember;
  readonly #byId: ReadonlyMap<string, ConfigurationMember>;
  readonly #ownZone: readonly ConfigurationMember[];
  readonly #otherZones: readonly ConfigurationMember[];
  readonly #pushTargets = new Map<string, readonly ConfigurationMember[]>();
  #candidates: readonly ConfigurationMember[] | undefined;

  /** @param members whether this node is among them does not matter */
  constructor(self: ConfigurationMember, members: readonly ConfigurationMember[]) {
    this.#self = self;
    this.others = members.filter((member) => member.nodeId !== self.nodeId);
    this.#byId = new Map(this.others.map((member) => [member.nodeId, member]));
    this.#ownZone = this.others.filter((member) => member.zone === self.zone);
    this.#otherZones = this.others.filter((member) => member.zone !== self.zone);
  }

  /** Another live member. */
  get(nodeId: string): ConfigurationMember | undefined {
    return this.#byId.get(nodeId);
  }

  /** True for this node as well. */
  includes(nodeId: string): boolean {
    return nodeId === this.#self.nodeId || this.#byId.has(nodeId);
  }

  /** Those of the own zone that should relay, best first. */
  candidates(): readonly ConfigurationMember[] {
    this.#candidates ??= relayCandidates(this.#self.zone, [...this.#ownZone, this.#self]);
    return this.#candidates;
  }

  /** To whom this node passes a change on that `root` began to push. */
  pushTargets(root: string): readonly ConfigurationMember[] {
    const known = this.#pushTargets.get(root);
    if (known !== undefined) return known;
    const { nodeId, zone } = this.#self;
    const targets = pushTargets(root, nodeId, zone, [...this.#ownZone, this.#self]);
    this.#pushTargets.set(root, targets);
    return targets;
  }

  /** The peer of one anti-entropy round; undefined if there is no other member. */
  antiEntropyPeer(random: RandomSource): ConfigurationMember | undefined {
    return antiEntropyPeer(this.#ownZone, this.#otherZones, random);
  }
}
