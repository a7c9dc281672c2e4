/** Positions of the commits that this node has confirmed to callers: no promotion may lose them. */
import { laterPosition, type Position } from '../position.js';

/** A commit that its primary has acknowledged, and what is known about its position in the log. */
export interface AcknowledgedCommit {
  /** End of the log that the primary reported with its answer. The commit is at this position or before it. */
  readonly logEnd: Position;
  /** An end of the log that was reported before the commit was sent: the commit comes after it. */
  readonly logEndBefore?: Position | undefined;
}

interface KnownPositions {
  readonly latest: Position;
  readonly replicated: Position | undefined;
}

export class AcknowledgedCommits {
  readonly #known = new Map<string, KnownPositions>();

  record(service: string, commit: AcknowledgedCommit): void {
    const known = this.#known.get(service);
    this.#known.set(service, {
      latest: later(known?.latest, commit.logEnd) ?? commit.logEnd,
      replicated: later(known?.replicated, replicatedPosition(commit)),
    });
  }

  /**
   * End of the service's log at its latest commit, whichever primary acknowledged it. Other commits, which no replica
   * had received yet, may lie before this position.
   */
  latestOf(service: string): Position | undefined {
    return this.#known.get(service)?.latest;
  }

  /** Position up to which the log had been replicated when its latest commits were acknowledged. */
  replicatedOf(service: string): Position | undefined {
    return this.#known.get(service)?.replicated;
  }
}

/**
 * The lowest position that the commit can have. Undefined if the two ends are not of one log: another primary led
 * meanwhile, or a new incarnation answered.
 */
function replicatedPosition({ logEnd, logEndBefore }: AcknowledgedCommit): Position | undefined {
  if (logEndBefore === undefined || logEndBefore.timeline !== logEnd.timeline) return undefined;
  if (logEndBefore.lsn >= logEnd.lsn) return undefined;
  return { timeline: logEnd.timeline, lsn: logEndBefore.lsn + 1n };
}

function later(left: Position | undefined, right: Position | undefined): Position | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return laterPosition(left, right);
}
