/**
 * The latest changes of one prefix of the store, kept by a reader so that other nodes can watch the prefix
 * through it. The history has no gaps: a node that knows all changes up to a revision within it gets all
 * later ones. No I/O.
 */
import type { WatchEvent } from '../../platform/contract.js';

/** Maximum number of changes kept; a node that lacks older ones reads the store. */
const MAX_EVENTS = 512;
/** Maximum number of characters of the keys and values kept. */
const MAX_CHARACTERS = 256 * 1024;

/** All changes of a prefix between two revisions of the store. */
export interface WatchRange {
  /** Exclusive lower bound of the revisions. */
  readonly after: number;
  /** Inclusive upper bound of the revisions. */
  readonly revision: number;
  readonly events: readonly WatchEvent[];
}

export class WatchHistory {
  #after = 0;
  #revision = 0;
  #events: WatchEvent[] = [];
  #characters = 0;

  /** Revision up to which changes are known; 0 before the first range. */
  get revision(): number {
    return this.#revision;
  }

  /** Appends the next range; one that leaves a gap starts a new history. */
  append({ after, revision, events }: WatchRange): void {
    if (this.#revision === 0 || after > this.#revision) this.#restartAt(after);
    const newEvents = events.filter((event) => revisionOf(event) > this.#revision);
    this.#events.push(...newEvents);
    for (const event of newEvents) this.#characters += charactersOf(event);
    this.#revision = Math.max(this.#revision, revision);
    this.#trim();
  }

  /** Changes after a revision; undefined if not all of them are kept. */
  changesSince(after: number): WatchRange | undefined {
    if (this.#revision === 0 || after < this.#after) return undefined;
    const events = this.#events.filter((event) => revisionOf(event) > after);
    return { after, revision: Math.max(after, this.#revision), events };
  }

  #restartAt(after: number): void {
    this.#after = after;
    this.#revision = after;
    this.#events = [];
    this.#characters = 0;
  }

  #trim(): void {
    while (this.#events.length > MAX_EVENTS || this.#characters > MAX_CHARACTERS) {
      const oldest = this.#events.shift();
      if (oldest === undefined) return;
      this.#characters -= charactersOf(oldest);
      this.#after = Math.max(this.#after, revisionOf(oldest));
    }
  }
}

/** Number of characters in the keys and values of these changes. */
export function countCharacters(events: readonly WatchEvent[]): number {
  return events.reduce((sum, event) => sum + charactersOf(event), 0);
}

/** Key that an event refers to. */
export function keyOf(event: WatchEvent): string {
  return event.type === 'put' ? event.entry.key : event.key;
}

/** Revision of an event. */
export function revisionOf(event: WatchEvent): number {
  return event.type === 'put' ? event.entry.modRevision : event.modRevision;
}

function charactersOf(event: WatchEvent): number {
  return event.type === 'put'
    ? event.entry.key.length + event.entry.value.length
    : event.key.length;
}
