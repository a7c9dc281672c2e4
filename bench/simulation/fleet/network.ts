/**
 * Links between simulated proxies: messages are delayed, and during a cut they arrive late or are
 * lost. Each side closes a link on its own after too long a silence.
 */
import type { SimulatedClock } from '../clock.js';
import { LINK_TIMEOUT_MS } from './context.js';

const MIN_DELAY_MS = 0.1;
const MAX_DELAY_MS = 2;
const SLOW_DELAY_MS = 60;
const LOCAL_DELAY_MS = 0;
/** Probability that a message arrives late, rather than never, after a cut that closed the link. */
const LATE_DELIVERY_PROBABILITY = 0.5;
const LOST_CALL_PROBABILITY = 0.5;
const MAX_RETRANSMISSION_DELAY_MS = 10;

/** Names one direction of a link. */
function linkName(from: string, to: string): string {
  return `${from}>${to}`;
}

interface Cut {
  readonly since: number;
  readonly until: number;
}

export class FleetNetwork {
  readonly #cuts = new Map<string, Cut>();
  readonly #slow = new Map<string, number>();
  #callsLostUntil = 0;

  constructor(private readonly clock: SimulatedClock) {}

  /** Stops messages from `from` to `to` for a while. */
  cut(from: string, to: string, durationMs: number): void {
    const { now } = this.clock;
    this.#cuts.set(linkName(from, to), { since: now, until: now + durationMs });
  }

  /** True if the link was closed and can't be opened again yet, so that no message leaves the sender. */
  isDown(from: string, to: string): boolean {
    return [linkName(from, to), linkName(to, from)].some((name) => {
      const cut = this.#cuts.get(name);
      const { now } = this.clock;
      return cut !== undefined && now < cut.until && now >= cut.since + LINK_TIMEOUT_MS;
    });
  }

  slowDown(from: string, to: string, durationMs: number): void {
    this.#slow.set(linkName(from, to), this.clock.now + durationMs);
  }

  isCut(from: string, to: string): boolean {
    return this.#cutUntil(from, to) > this.clock.now;
  }

  /** Loses half of the calls between home nodes and gateways for a while. */
  loseCalls(durationMs: number): void {
    this.#callsLostUntil = this.clock.now + durationMs;
  }

  /** Sends a message of a call between home nodes and gateways. */
  sendCall(from: string, to: string, action: () => void): void {
    const mayBeLost = this.clock.now < this.#callsLostUntil && from !== to;
    if (mayBeLost && this.clock.chance(LOST_CALL_PROBABILITY)) return;
    this.send(from, to, action);
  }

  /** Sends a message; during a cut it arrives late or never. */
  send(from: string, to: string, action: () => void): void {
    if (from === to) this.clock.after(LOCAL_DELAY_MS, action);
    else this.#deliver(from, to, this.#delay(from, to), action);
  }

  #deliver(from: string, to: string, delay: number, action: () => void): void {
    this.clock.after(delay, () => {
      if (!this.isCut(from, to)) {
        action();
        return;
      }
      if (this.#breaksLink(from, to) && !this.clock.chance(LATE_DELIVERY_PROBABILITY)) return;
      const wait =
        this.#cutUntil(from, to) -
        this.clock.now +
        this.clock.between(0, MAX_RETRANSMISSION_DELAY_MS);
      this.#deliver(from, to, wait, action);
    });
  }

  #breaksLink(from: string, to: string): boolean {
    const cut = this.#cuts.get(linkName(from, to));
    return cut !== undefined && cut.until - cut.since > LINK_TIMEOUT_MS;
  }

  #cutUntil(from: string, to: string): number {
    return this.#cuts.get(linkName(from, to))?.until ?? 0;
  }

  #delay(from: string, to: string): number {
    const isSlow = (this.#slow.get(linkName(from, to)) ?? 0) > this.clock.now;
    return this.clock.between(MIN_DELAY_MS, isSlow ? SLOW_DELAY_MS : MAX_DELAY_MS);
  }
}
