/**
 * The voters of a tenant: an odd number of nodes of the machine list, in different zones as far as
 * possible. While another node may still go by an earlier list, the voters of that list count, too;
 * and a candidate needs a majority also of the sets that its voters know. So any two elections have
 * a voter in common.
 */
import type { Hash64, OwnerCandidate } from '../ownership/rendezvous.js';
import type { TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';
import type { VoterId, VoterSetList } from './election.js';
import { type NodeChoice, NodeHashes } from './tenant-nodes.js';

/** Sizes of a tenant's set of voters, the largest that the list allows. */
const VOTER_COUNTS = [5, 3, 1] as const;
/** Lists remembered at most; with more changes than these, what was before them is unknown. */
const MAX_EARLIER_LISTS = 8;

interface KnownList {
  readonly nodes: readonly OwnerCandidate[];
  readonly choice: NodeChoice;
}

interface EarlierList extends KnownList {
  /** Until then another node may still go by this list. */
  readonly until: Milliseconds;
}

/** What this node knows of a tenant's voters. */
export interface KnownVoters {
  /** Each set needs a majority; empty if nobody may be elected now. */
  readonly voterSets: VoterSetList;
  /** Every election since then needed a majority of one of the sets. */
  readonly coveredSince: Milliseconds;
}

/** What the voter sets are made of. */
export interface VoterSetsOptions {
  /** How much later than this node any other may see a change of the machine list. */
  readonly maxMachineListLagMs: Milliseconds;
  /** Elections longer ago than this don't matter any more. */
  readonly rememberMs: Milliseconds;
}

/** Voters of tenants, by this node's machine list and the lists before it. */
export class VoterSets {
  readonly #hashes: NodeHashes;
  readonly #options: VoterSetsOptions;
  #current: KnownList;
  #earlier: EarlierList[] = [];
  #unknownUntil = Number.NEGATIVE_INFINITY;

  constructor(hash: Hash64, options: VoterSetsOptions) {
    this.#hashes = new NodeHashes(hash);
    this.#options = options;
    this.#current = { nodes: [], choice: this.#hashes.choiceOf([]) };
  }

  setList(nodes: readonly OwnerCandidate[], now: Milliseconds): void {
    if (nodes === this.#current.nodes || isSame(nodes, this.#current.nodes)) return;
    if (this.#current.nodes.length > 0) {
      this.#earlier.push({ ...this.#current, until: now + this.#options.maxMachineListLagMs });
    } else {
      this.#unknownUntil = now;
    }
    if (this.#earlier.length > MAX_EARLIER_LISTS) {
      this.#earlier.shift();
      this.#unknownUntil = now + this.#options.maxMachineListLagMs;
    }
    this.#current = { nodes, choice: this.#hashes.choiceOf(nodes) };
  }

  votersOf(tenant: TenantName, now: Milliseconds): KnownVoters {
    this.#forgetOld(now);
    if (this.#current.nodes.length === 0) return { voterSets: [], coveredSince: now };
    const recent = this.#earlier.filter(({ until }) => until > now);
    const sets = [this.#current, ...recent].map((list) => this.#votersAmong(tenant, list));
    const distinct = new Map(sets.map((voters) => [voters.join('\0'), voters]));
    let coveredSince = this.#unknownUntil;
    for (const list of this.#earlier) {
      const isCovered = distinct.has(this.#votersAmong(tenant, list).join('\0'));
      if (!isCovered) coveredSince = Math.max(coveredSince, list.until);
    }
    return { voterSets: [...distinct.values()], coveredSince };
  }

  #votersAmong(tenant: TenantName, { nodes, choice }: KnownList): readonly VoterId[] {
    const count = VOTER_COUNTS.find((size) => size <= nodes.length) ?? 1;
    return [...choice.first(`tenant-voters:${tenant}`, count)].sort();
  }

  #forgetOld(now: Milliseconds): void {
    const oldest = now - this.#options.rememberMs;
    this.#earlier = this.#earlier.filter(({ until }) => until > oldest);
  }
}

function isSame(left: readonly OwnerCandidate[], right: readonly OwnerCandidate[]): boolean {
  const key = ({ nodeId, zone }: OwnerCandidate): string => `${nodeId}\0${zone}`;
  const known = new Set(right.map(key));
  return left.length === right.length && left.every((node) => known.has(key(node)));
}
