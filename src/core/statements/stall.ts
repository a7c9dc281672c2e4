/** Notices that an instance answers nothing any more, though it was asked. */
import type { Milliseconds } from '../units.js';

/** Counts what is unanswered and since when nothing was answered. */
export class StallDetector {
  #unanswered = 0;
  #silentSince: Milliseconds = 0;

  constructor(
    private readonly thresholdMs: Milliseconds,
    /** One answer alone may be lost without the instance being any worse for it. */
    private readonly minimumUnanswered: number,
  ) {}

  /** Something was asked. */
  begin(now: Milliseconds): void {
    if (this.#unanswered === 0) this.#silentSince = now;
    this.#unanswered += 1;
  }

  /** An answer came. */
  answered(now: Milliseconds): void {
    this.#unanswered = Math.max(0, this.#unanswered - 1);
    this.#silentSince = now;
  }

  /** What was asked is given up, without an answer. */
  givenUp(): void {
    this.#unanswered = Math.max(0, this.#unanswered - 1);
  }

  /** How long nothing that was asked has been answered; 0 while nothing is open. */
  silentForMs(now: Milliseconds): Milliseconds {
    return this.#unanswered === 0 ? 0 : now - this.#silentSince;
  }

  /** True while questions are open and none was answered for long. */
  isStalled(now: Milliseconds): boolean {
    return (
      this.#unanswered >= this.minimumUnanswered && now - this.#silentSince >= this.thresholdMs
    );
  }
}
