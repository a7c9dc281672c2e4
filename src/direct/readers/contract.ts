/**
 * Messages between a node that watches a prefix of the store and a reader: a node that reads the store
 * itself and relays the changes to other nodes.
 */
import type { WatchRange } from '../../core/directory/watch-history.js';
import type { ReachableNode } from '../../core/ownership/owner-roster.js';
import type { Milliseconds } from '../../core/units.js';

/** Opens a stream on which a reader relays the changes of a prefix. */
export interface WatchRequest {
  readonly type: 'watch';
  readonly prefix: string;
  /** The requesting node knows all changes up to this store revision. */
  readonly after: number;
}

/**
 * All changes of the prefix in a revision range, possibly none. A gap between one range and the next means
 * that the reader left out the changes in between because they are too many or too large.
 */
export interface RelayedRange extends WatchRange {
  /** Time since the store confirmed the range. */
  readonly ageMs: Milliseconds;
  /** The reader's monotonic clock, now and when it sent the poll that confirmed the range. */
  readonly clockMs: Milliseconds;
  readonly provenMs: Milliseconds;
}

/** Receives what one reader relays. */
export interface ReaderListener {
  onRelayed(range: RelayedRange): void;
  /** Called once, unless closed before: the reader is unreachable or has stopped reading the store. */
  onLost(): void;
}

/** Watches a prefix through a reader; the returned function ends the watch. */
export type SubscribeToReader = (
  reader: ReachableNode,
  request: Omit<WatchRequest, 'type'>,
  listener: ReaderListener,
) => () => void;

/** Counters since the process started. */
export interface ReaderCounters {
  /** Changes that this node received from readers before it received them from the store. */
  eventsFromReaders: number;
  /** Times that this node fell back to the store because its readers did not serve it. */
  fallbacks: number;
  /** Changes from the store that were skipped because a higher revision was already known. */
  eventsPassed: number;
  /** Changes relayed to other nodes, counted once per receiving node. */
  eventsTold: number;
}
