/**
 * The voters of a tenant: an odd number of nodes of the machine list, in different zones if possible.
 * While another node may still use a previous list, a candidate also needs a majority of that list's
 * voters, and of the sets that its voters report. So any two elections have a voter in common.
 */
import type { Hash64, OwnerCandidate } from '../ownership/rendezvous.js';
import type { TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';
import type { VoterId, VoterSetList } from './election.js';
import { NodeHashCache, type NodeSelector } from './tenant-nodes.js';

/** Sizes of a voter set; the largest that the machine list allows is used. */
const VOTER_COUNTS = [5, 3, 1] as const;
/** Older lists are dropped, and elections by their voters count as unknown. */
const MAX_PREVIOUS_LISTS = 8;

interface NodeList {
  readonly nodes: readonly OwnerCandidate[];
  readonly selector: NodeSelector;
}

interface PreviousList extends NodeList {
  /** Until this time, another node may still use this list. */
  readonly maybeUsedUntil: Milliseconds;
}

/** The voters of a tenant, as known to this node. */
export interface KnownVoters {
  /** A candidate needs a majority of each set; empty if no candidate may be elected now. */
  readonly voterSets: VoterSetList;
  /** Every election since this time needed a majority of one of the sets. */
  readonly completeSince: Milliseconds;
}

/** Options of `VoterSets`. */
export interface VoterSetsOptions {
  /** Maximum delay until every other node has seen a list change that this node has seen. */
  readonly maxMachineListLagMs: Milliseconds;
  /** Elections older than this are no longer relevant. */
  readonly retentionMs: Milliseconds;
}

/** Determines the voters of tenants from this node's current and previous machine lists. */
export class VoterSets {
  readonly #hashCache: NodeHashCache;
  readonly #options: VoterSetsOptions;
  #current: NodeList;
  #previous: PreviousList[] = [];
  #unknownUntil = Number.NEGATIVE_INFINITY;

  constructor(hash: Hash64, options: VoterSetsOptions) {
    this.#hashCache = new NodeHashCache(hash);
    this.#options = options;
    this.#current = { nodes: [], selector: this.#hashCache.selectorFor([]) };
  }

  setNodes(nodes: readonly OwnerCandidate[], now: Milliseconds): void {
    if (nodes === this.#current.nodes || isSameList(nodes, this.#current.nodes)) return;
    if (this.#current.nodes.length > 0) {
      this.#previous.push({
        ...this.#current,
        maybeUsedUntil: now + this.#options.maxMachineListLagMs,
      });
    } else {
      this.#unknownUntil = now;
    }
    if (this.#previous.length > MAX_PREVIOUS_LISTS) {
      this.#previous.shift();
      this.#unknownUntil = now + this.#options.maxMachineListLagMs;
    }
    this.#current = { nodes, selector: this.#hashCache.selectorFor(nodes) };
  }

  votersOf(tenant: TenantName, now: Milliseconds): KnownVoters {
    this.#removeExpired(now);
    if (this.#current.nodes.length === 0) return { voterSets: [], completeSince: now };
    const recent = this.#previous.filter(({ maybeUsedUntil }) => maybeUsedUntil > now);
    const sets = [this.#current, ...recent].map((list) => this.#votersAmong(tenant, list));
    const distinct = new Map(sets.map((voters) => [voters.join('\0'), voters]));
    let completeSince = this.#unknownUntil;
    for (const list of this.#previous) {
      const isCovered = distinct.has(this.#votersAmong(tenant, list).join('\0'));
      if (!isCovered) completeSince = Math.max(completeSince, list.maybeUsedUntil);
    }
    return { voterSets: [...distinct.values()], completeSince };
  }

  #votersAmong(tenant: TenantName, { nodes, selector }: NodeList): readonly VoterId[] {
    const count = VOTER_COUNTS.find((size) => size <= nodes.length) ?? 1;
    return [...selector.select(`tenant-voters:${tenant}`, count)].sort();
  }

  #removeExpired(now: Milliseconds): void {
    const oldest = now - this.#options.retentionMs;
    this.#previous = this.#previous.filter(({ maybeUsedUntil }) => maybeUsedUntil > oldest);
  }
}

function isSameList(left: readonly OwnerCandidate[], right: readonly OwnerCandidate[]): boolean {
  const key = ({ nodeId, zone }: OwnerCandidate): string => `${nodeId}\0${zone}`;
  const known = new Set(right.map(key));
  return left.length === right.length && left.every((node) => known.has(key(node)));
}
