/**
 * Latest state that each incarnation of an instance has reported to this node. A term never falls, and a log that has
 * entries of its term loses none of them in that term. An answer that is behind was therefore given by a later
 * incarnation, which responds under the same platform id before the store has its registration.
 */
import type { InstanceEntry, InstanceStatus } from '../../direct/contract.js';
import { comparePositions, type Position } from '../position.js';

export type ReportedState = Pick<InstanceStatus, 'term' | 'received'>;
type IncarnationId = Pick<InstanceEntry, 'id' | 'lifeOf'>;

/** Instances that are remembered; the least recently added are dropped first. */
const MAX_INSTANCES = 512;

export class ReportedStates {
  readonly #latest = new Map<string, ReportedState>();
  /** Ids of incarnations that have reported themselves as primary. */
  readonly #primaries = new Set<string>();

  latestOf({ id }: IncarnationId): ReportedState | undefined {
    return this.#latest.get(id);
  }

  /** Whether the incarnation has reported itself as primary; a later one starts as a replica. */
  hasBeenPrimary({ id, lifeOf }: IncarnationId): boolean {
    return lifeOf === undefined || this.#primaries.has(id);
  }

  /** Notes that a later incarnation responds for this one. */
  recordRestart({ id }: IncarnationId): void {
    this.#primaries.delete(id);
  }

  /** Records an instance's status. Instances whose registrations don't tell incarnations apart are not remembered. */
  recordStatus({ id, lifeOf }: IncarnationId, status: InstanceStatus): void {
    if (lifeOf === undefined) return;
    if (status.role === 'primary') this.#primaries.add(id);
    this.#record(id, status);
  }

  #record(id: string, state: ReportedState): void {
    const known = this.#latest.get(id);
    if (known !== undefined && state.term < known.term) return;
    if (known === undefined && this.#latest.size >= MAX_INSTANCES) {
      const [oldest] = this.#latest.keys();
      if (oldest !== undefined) this.#forget(oldest);
    }
    this.#latest.set(id, { term: state.term, received: state.received });
  }

  /** Records a position that the instance's log has reached: its term is at least that of the entry. */
  recordPosition({ id, lifeOf }: IncarnationId, position: Position): void {
    if (lifeOf === undefined) return;
    const known = this.#latest.get(id);
    if (known !== undefined && comparePositions(known.received, position) >= 0) return;
    const term = Math.max(known?.term ?? 0, position.timeline);
    this.#record(id, { term, received: position });
  }

  #forget(id: string): void {
    this.#latest.delete(id);
    this.#primaries.delete(id);
  }
}

/**
 * Whether a state can't follow the one that the incarnation reported earlier. Entries of earlier terms may be rolled
 * back, so that only the entries of the present term count.
 */
export function isBehind(state: ReportedState, earlier: ReportedState): boolean {
  if (state.term !== earlier.term) return state.term < earlier.term;
  if (earlier.received.timeline !== earlier.term) return false;
  return comparePositions(state.received, earlier.received) < 0;
}
