/** Detects that an instance has stopped answering requests. */
import type { Milliseconds } from '../units.js';

/** Tracks the number of unanswered requests and the time since the last answer. */
export class StallDetector {
  #unanswered = 0;
  #silentSince: Milliseconds = 0;

  constructor(
    private readonly thresholdMs: Milliseconds,
    /** Should be greater than 1: a single answer may be lost although the instance is healthy. */
    private readonly minimumUnanswered: number,
  ) {}

  recordRequest(now: Milliseconds): void {
    if (this.#unanswered === 0) this.#silentSince = now;
    this.#unanswered += 1;
  }

  recordAnswer(now: Milliseconds): void {
    this.#unanswered = Math.max(0, this.#unanswered - 1);
    this.#silentSince = now;
  }

  /** Records that a request was given up without an answer. */
  recordAbandoned(): void {
    this.#unanswered = Math.max(0, this.#unanswered - 1);
  }

  /** How long the open requests have gone without any answer; 0 while none is open. */
  silenceMs(now: Milliseconds): Milliseconds {
    return this.#unanswered === 0 ? 0 : now - this.#silentSince;
  }

  /** True while requests are open and none has been answered for the threshold. */
  isStalled(now: Milliseconds): boolean {
    return (
      this.#unanswered >= this.minimumUnanswered && now - this.#silentSince >= this.thresholdMs
    );
  }
}
