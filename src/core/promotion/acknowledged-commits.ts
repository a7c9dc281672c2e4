/** Positions of the commits that this node has confirmed to callers: no promotion may lose them. */
import { laterPosition, type Position } from '../position.js';

export class AcknowledgedCommits {
  readonly #latest = new Map<string, Position>();

  record(service: string, position: Position): void {
    const known = this.#latest.get(service);
    this.#latest.set(service, known === undefined ? position : laterPosition(known, position));
  }

  /** Position of the service's latest commit, whichever primary acknowledged it. */
  latestOf(service: string): Position | undefined {
    return this.#latest.get(service);
  }
}
