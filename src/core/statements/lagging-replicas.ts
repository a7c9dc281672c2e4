/**
 * Remembers replicas whose log recently lacked a required position, so that reads skip them for a while. Asking one
 * again at once costs a round trip for nothing, and a whole fleet that does so keeps the instances busy with
 * refusals. No I/O and no clock.
 */
import { comparePositions, type Position } from '../position.js';
import type { Milliseconds } from '../units.js';

/** Short, since a replica normally lags a little. */
const INITIAL_SKIP_MS: Milliseconds = 20;
/** The time doubles with each further refusal, up to this. */
const MAX_SKIP_MS: Milliseconds = 320;

interface Lag {
  /** The last position that was missing. */
  readonly missingPosition: Position;
  readonly skipUntil: Milliseconds;
  readonly skipMs: Milliseconds;
}

export class LaggingReplicas {
  readonly #lags = new Map<string, Lag>();

  /** Records that an instance refused a read because its log lacked this position. */
  recordLagging(instanceId: string, missingPosition: Position, now: Milliseconds): void {
    const previous = this.#lags.get(instanceId);
    // Reads that were sent together are refused together: they count once.
    const isSameRefusal = previous !== undefined && now < previous.skipUntil;
    const skipMs = isSameRefusal ? previous.skipMs : nextSkipMs(previous?.skipMs);
    this.#lags.set(instanceId, { missingPosition, skipUntil: now + skipMs, skipMs });
  }

  /** Records that an instance had the position that a read required. */
  recordServed(instanceId: string): void {
    this.#lags.delete(instanceId);
  }

  /** True if the instance most likely still lacks this position. */
  isLikelyBehind(instanceId: string, required: Position | undefined, now: Milliseconds): boolean {
    const lag = this.#lags.get(instanceId);
    if (lag === undefined || required === undefined || now >= lag.skipUntil) return false;
    return comparePositions(required, lag.missingPosition) >= 0;
  }
}

function nextSkipMs(previous: Milliseconds | undefined): Milliseconds {
  return previous === undefined ? INITIAL_SKIP_MS : Math.min(MAX_SKIP_MS, previous * 2);
}
