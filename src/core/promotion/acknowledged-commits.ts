/** Positions of the commits that this node has confirmed to callers: no promotion may lose them. */
import { laterPosition, type Position } from '../position.js';

interface AcknowledgedCommit {
  /** The primary that acknowledged the commit. */
  readonly instance: string;
  readonly position: Position;
}

export class AcknowledgedCommits {
  readonly #latest = new Map<string, AcknowledgedCommit>();

  record(service: string, instance: string, position: Position): void {
    const known = this.#latest.get(service);
    const latest = known === undefined ? position : laterPosition(known.position, position);
    if (latest !== known?.position) this.#latest.set(service, { instance, position });
  }

  /** Position of the latest commit if this instance acknowledged it. */
  latestAt(service: string, instance: string): Position | undefined {
    const latest = this.#latest.get(service);
    return latest?.instance === instance ? latest.position : undefined;
  }
}
