/** Notes what was done to the gateways while a round is played, for the checks of what is owed. */
import type { Milliseconds } from '../../src/core/units.js';
import { monotonicMs } from '../../standins/direct/monotonic.js';
import type { Conditions, GatewaySpan } from '../../test/support/direct-answers.js';

/** Ends a span. */
export type EndSpan = () => void;

/** The soak's own process is looked at so often; it counts as paused from so long a gap on. */
const LOOK_EVERY_MS: Milliseconds = 20;
const OBSERVER_GAP_MS: Milliseconds = 60;

type OpenSpan = { -readonly [Key in keyof GatewaySpan]: GatewaySpan[Key] };

export class ConditionLog {
  readonly #disruptions: OpenSpan[] = [];
  readonly #pauses: OpenSpan[] = [];

  /** An unplanned fault begins, at one gateway or at all. */
  disrupted(kind: string, gateway: string | undefined): EndSpan {
    return open(this.#disruptions, kind, gateway);
  }

  /** A gateway does not run for a while. */
  paused(kind: string, gateway: string): EndSpan {
    return open(this.#pauses, kind, gateway);
  }

  /** Notes when this process runs late itself: what it sees then, it sees too late. */
  watchObserver(): EndSpan {
    let lastAt = monotonicMs();
    const timer = setInterval(() => {
      const now = monotonicMs();
      if (now - lastAt > OBSERVER_GAP_MS) {
        this.#pauses.push({ kind: 'observer', gateway: undefined, from: lastAt, until: now });
      }
      lastAt = now;
    }, LOOK_EVERY_MS);
    return () => clearInterval(timer);
  }

  /** Everything so far. */
  get conditions(): Conditions {
    return { disruptions: this.#disruptions, pauses: this.#pauses };
  }
}

function open(spans: OpenSpan[], kind: string, gateway: string | undefined): EndSpan {
  const span: OpenSpan = { kind, gateway, from: monotonicMs(), until: Number.POSITIVE_INFINITY };
  spans.push(span);
  return () => {
    span.until = monotonicMs();
  };
}
