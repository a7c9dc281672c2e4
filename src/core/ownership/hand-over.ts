/**
 * Hand-over of a group between owners: warm, serve, announce, retire.
 *
 * A new owner opens its connections first and then notifies the former owners. These serve until then,
 * redirect their gateways, and retire. Safety doesn't depend on it: if a message is lost or a side has
 * failed, the deadlines end the hand-over, and a request has to wait for a connection.
 */
import type { GroupName } from '../request.js';
import type { Milliseconds } from '../units.js';
import type { OwnersChange } from './owner-index.js';

/** What this node does for a group. */
export type OwnerPhase = 'none' | 'warming' | 'serving' | 'retiring';

/** Input of the hand-over. */
export type HandOverEvent =
  | { readonly type: 'owners-changed'; readonly change: OwnersChange }
  /** The connections requested by `warm` are open, or as many as are available. */
  | { readonly type: 'warmed'; readonly group: GroupName }
  /** Another owner announced that it serves the group now. */
  | { readonly type: 'serving-announced'; readonly group: GroupName; readonly from: string }
  /** The node is dead: no announcement from it is awaited any more. */
  | { readonly type: 'member-gone'; readonly nodeId: string }
  | { readonly type: 'tick' };

/** Output of the hand-over. */
export type HandOverEffect =
  /** Open connections, then report `warmed`. */
  | { readonly type: 'warm'; readonly group: GroupName }
  /** Accept requests as the owner. */
  | { readonly type: 'serve'; readonly group: GroupName }
  /** Notify these nodes that this one serves the group. */
  | { readonly type: 'announce-serving'; readonly group: GroupName; readonly to: readonly string[] }
  /** Redirect gateways with open streams to these owners. */
  | { readonly type: 'redirect'; readonly group: GroupName; readonly owners: readonly string[] }
  /** Accept no new requests, finish running ones, then close the connections. */
  | { readonly type: 'retire'; readonly group: GroupName };

/** Timing of a hand-over. */
export interface HandOverOptions {
  /** A new owner serves after this time even if its connections are not open. */
  readonly warmTimeoutMs: Milliseconds;
  /** A former owner retires after this time even if no successor has announced itself. */
  readonly retireTimeoutMs: Milliseconds;
}

/** Default timing. */
export const DEFAULT_HAND_OVER_OPTIONS: HandOverOptions = {
  warmTimeoutMs: 2000,
  retireTimeoutMs: 5000,
};

type GroupHandOver =
  | {
      readonly phase: 'warming';
      readonly deadline: Milliseconds;
      readonly predecessors: readonly string[];
    }
  | { readonly phase: 'serving' }
  | {
      readonly phase: 'retiring';
      readonly deadline: Milliseconds;
      readonly owners: readonly string[];
      /** Owners that have not announced yet that they serve. */
      readonly awaited: ReadonlySet<string>;
    };

/** The owner's side, for all groups of one node. */
export class OwnerHandOver {
  readonly #selfId: string;
  readonly #options: HandOverOptions;
  readonly #groups = new Map<GroupName, GroupHandOver>();
  #effects: HandOverEffect[] = [];
  #now: Milliseconds = 0;

  constructor(selfId: string, options: HandOverOptions = DEFAULT_HAND_OVER_OPTIONS) {
    this.#selfId = selfId;
    this.#options = options;
  }

  phaseOf(group: GroupName): OwnerPhase {
    return this.#groups.get(group)?.phase ?? 'none';
  }

  handle(event: HandOverEvent, now: Milliseconds): HandOverEffect[] {
    this.#effects = [];
    this.#now = now;
    this.#dispatch(event);
    this.#runDeadlines();
    return this.#effects;
  }

  nextDeadline(): Milliseconds | undefined {
    let next: Milliseconds | undefined;
    for (const state of this.#groups.values()) {
      if (state.phase === 'serving') continue;
      next = Math.min(next ?? state.deadline, state.deadline);
    }
    return next;
  }

  #dispatch(event: HandOverEvent): void {
    switch (event.type) {
      case 'owners-changed':
        this.#handleOwnersChanged(event.change);
        return;
      case 'warmed':
        this.#handleWarmed(event.group);
        return;
      case 'serving-announced':
        this.#removeAwaited(event.group, event.from);
        return;
      case 'member-gone':
        for (const group of [...this.#groups.keys()]) this.#removeAwaited(group, event.nodeId);
        return;
      case 'tick':
        return;
    }
  }

  #handleOwnersChanged(change: OwnersChange): void {
    const phase = this.phaseOf(change.group);
    const isOwner = change.owners.includes(this.#selfId);
    if (isOwner && phase === 'none') this.#startWarming(change);
    else if (isOwner && phase === 'retiring') this.#serve(change.group);
    else if (!isOwner && phase === 'warming') this.#retire(change.group);
    else if (!isOwner && phase !== 'none') this.#startRetiring(change);
  }

  #startWarming({ group, previous }: OwnersChange): void {
    const predecessors = previous.filter((nodeId) => nodeId !== this.#selfId);
    this.#emit({ type: 'warm', group });
    if (predecessors.length === 0) {
      this.#serve(group);
      return;
    }
    const deadline = this.#now + this.#options.warmTimeoutMs;
    this.#groups.set(group, { phase: 'warming', deadline, predecessors });
  }

  #handleWarmed(group: GroupName): void {
    const state = this.#groups.get(group);
    if (state?.phase !== 'warming') return;
    this.#serve(group);
    this.#emit({ type: 'announce-serving', group, to: state.predecessors });
  }

  #serve(group: GroupName): void {
    this.#groups.set(group, { phase: 'serving' });
    this.#emit({ type: 'serve', group });
  }

  #startRetiring({ group, previous, owners }: OwnersChange): void {
    const state = this.#groups.get(group);
    // Owners that stay in this change serve already, unless they were still awaited.
    const stillAwaited = state?.phase === 'retiring' ? state.awaited : new Set<string>();
    const awaited = owners.filter(
      (nodeId) => !previous.includes(nodeId) || stillAwaited.has(nodeId),
    );
    const deadline =
      state?.phase === 'retiring' ? state.deadline : this.#now + this.#options.retireTimeoutMs;
    this.#groups.set(group, { phase: 'retiring', deadline, owners, awaited: new Set(awaited) });
    this.#retireIfNoneAwaited(group);
  }

  #removeAwaited(group: GroupName, nodeId: string): void {
    const state = this.#groups.get(group);
    if (state?.phase !== 'retiring' || !state.awaited.has(nodeId)) return;
    const awaited = new Set(state.awaited);
    awaited.delete(nodeId);
    this.#groups.set(group, { ...state, awaited });
    this.#retireIfNoneAwaited(group);
  }

  #retireIfNoneAwaited(group: GroupName): void {
    const state = this.#groups.get(group);
    if (state?.phase !== 'retiring' || state.awaited.size > 0) return;
    this.#emit({ type: 'redirect', group, owners: state.owners });
    this.#retire(group);
  }

  #retire(group: GroupName): void {
    this.#groups.delete(group);
    this.#emit({ type: 'retire', group });
  }

  #runDeadlines(): void {
    for (const [group, state] of [...this.#groups]) {
      if (state.phase === 'serving' || state.deadline > this.#now) continue;
      if (state.phase === 'warming') this.#handleWarmed(group);
      else {
        this.#emit({ type: 'redirect', group, owners: state.owners });
        this.#retire(group);
      }
    }
  }

  #emit(effect: HandOverEffect): void {
    this.#effects.push(effect);
  }
}
