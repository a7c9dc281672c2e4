/**
 * Links between simulated proxies: messages take time, are held up by cuts and come late or never;
 * a link that is silent for too long is given up by both sides, each on its own.
 */
import type { SimulatedClock } from '../clock.js';
import { LINK_TIMEOUT_MS } from './context.js';

const MIN_DELAY_MS = 0.1;
const MAX_DELAY_MS = 2;
const SLOW_DELAY_MS = 60;
const LOCAL_DELAY_MS = 0;
/** What was held up by a cut for which the link is given up is lost or comes late. */
const LATE_SHARE = 0.5;
const LOST_CALL_SHARE = 0.5;
const RETRANSMISSION_MS = 10;

/** Which direction of which link. */
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

  /** Nothing goes from `from` to `to` for a while. */
  cut(from: string, to: string, lasts: number): void {
    const { now } = this.clock;
    this.#cuts.set(linkName(from, to), { since: now, until: now + lasts });
  }

  /** The link was given up and can't be opened again yet: nothing that is sent leaves the sender. */
  isDown(from: string, to: string): boolean {
    return [linkName(from, to), linkName(to, from)].some((name) => {
      const cut = this.#cuts.get(name);
      const { now } = this.clock;
      return cut !== undefined && now < cut.until && now >= cut.since + LINK_TIMEOUT_MS;
    });
  }

  slowDown(from: string, to: string, lasts: number): void {
    this.#slow.set(linkName(from, to), this.clock.now + lasts);
  }

  isCut(from: string, to: string): boolean {
    return this.#cutUntil(from, to) > this.clock.now;
  }

  /** Calls between home nodes and gateways are lost for a while, half of them. */
  loseCalls(lasts: number): void {
    this.#callsLostUntil = this.clock.now + lasts;
  }

  /** Carries a message of a call. */
  sendCall(from: string, to: string, action: () => void): void {
    const loses = this.clock.now < this.#callsLostUntil && from !== to;
    if (loses && this.clock.chance(LOST_CALL_SHARE)) return;
    this.send(from, to, action);
  }

  /** Carries a message; what a cut holds up comes late, or not at all. */
  send(from: string, to: string, action: () => void): void {
    if (from === to) this.clock.after(LOCAL_DELAY_MS, action);
    else this.#travel(from, to, this.#delay(from, to), action);
  }

  #travel(from: string, to: string, delay: number, action: () => void): void {
    this.clock.after(delay, () => {
      if (!this.isCut(from, to)) {
        action();
        return;
      }
      if (this.#breaksLink(from, to) && !this.clock.chance(LATE_SHARE)) return;
      const wait =
        this.#cutUntil(from, to) - this.clock.now + this.clock.between(0, RETRANSMISSION_MS);
      this.#travel(from, to, wait, action);
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
