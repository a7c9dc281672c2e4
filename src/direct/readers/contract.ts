/** What nodes say to each other when one follows a prefix of the store through another. */
import type { WatchStretch } from '../../core/directory/watch-history.js';
import type { ReachableNode } from '../../core/ownership/owner-roster.js';
import type { Milliseconds } from '../../core/units.js';

/** Opens a stream on which a reader tells the changes of a prefix. */
export interface WatchRequest {
  readonly type: 'watch';
  readonly prefix: string;
  /** The asking node knows everything up to this revision of the store. */
  readonly after: number;
}

/**
 * All changes of the prefix in a stretch, or that there are none. A stretch that begins after what was told
 * before stands for changes that the reader does not pass on, since they are too many or too large.
 */
export interface RelayedRange extends WatchStretch {
  /** How long ago the store vouched for it. */
  readonly ageMs: Milliseconds;
  /** The reader's steady clock, now and when the poll was sent that this rests on. */
  readonly clockMs: Milliseconds;
  readonly provenMs: Milliseconds;
}

/** Hears one reader. */
export interface ReaderListener {
  onRelayed(told: RelayedRange): void;
  /** Called once, unless closed before: the reader is gone, or does not read any more. */
  onLost(): void;
}

/** Follows a prefix through a reader; the returned function ends it. */
export type SubscribeToReader = (
  reader: ReachableNode,
  request: Omit<WatchRequest, 'type'>,
  listener: ReaderListener,
) => () => void;

/** Counted since the start. */
export interface ReaderCounters {
  /** Changes that readers told this node before the store did. */
  eventsFromReaders: number;
  /** Times that this node went back to the store since its readers did not serve it. */
  fallbacks: number;
  /** Changes that the store told and that were taken for known, since a higher revision was. */
  eventsPassed: number;
  /** Changes told to other nodes, one for each that was told. */
  eventsTold: number;
}
