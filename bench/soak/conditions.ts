/** Records faults and pauses of gateways during a round, for the checks of missing answers. */
import type { Milliseconds } from '../../src/core/units.js';
import { monotonicMs } from '../../standins/direct/monotonic.js';
import type { Conditions, GatewaySpan } from '../../test/support/direct-answers.js';

/** Ends a span. */
export type EndSpan = () => void;

/** Timer period of the soak's own process, and the gap between two timers that counts as a pause. */
const OBSERVER_POLL_PERIOD_MS: Milliseconds = 20;
const OBSERVER_PAUSE_THRESHOLD_MS: Milliseconds = 60;

type OpenSpan = { -readonly [Key in keyof GatewaySpan]: GatewaySpan[Key] };

export class ConditionLog {
  readonly #disruptions: OpenSpan[] = [];
  readonly #pauses: OpenSpan[] = [];

  /** Records the start of an unplanned fault at one gateway, or at all if undefined. */
  startDisruption(kind: string, gateway: string | undefined): EndSpan {
    return openSpan(this.#disruptions, kind, gateway);
  }

  /** Records the start of a pause of a gateway's process. */
  startPause(kind: string, gateway: string): EndSpan {
    return openSpan(this.#pauses, kind, gateway);
  }

  /** Records pauses of this process, during which its observations are late. */
  watchOwnProcess(): EndSpan {
    let lastAt = monotonicMs();
    const timer = setInterval(() => {
      const now = monotonicMs();
      if (now - lastAt > OBSERVER_PAUSE_THRESHOLD_MS) {
        this.#pauses.push({ kind: 'observer', gateway: undefined, from: lastAt, until: now });
      }
      lastAt = now;
    }, OBSERVER_POLL_PERIOD_MS);
    return () => clearInterval(timer);
  }

  /** All spans recorded so far. */
  get conditions(): Conditions {
    return { disruptions: this.#disruptions, pauses: this.#pauses };
  }
}

function openSpan(spans: OpenSpan[], kind: string, gateway: string | undefined): EndSpan {
  const span: OpenSpan = { kind, gateway, from: monotonicMs(), until: Number.POSITIVE_INFINITY };
  spans.push(span);
  return () => {
    span.until = monotonicMs();
  };
}
