/** Reconstructs the last start of a fleet from its nodes' log lines: the time of each step, and the requests refused. */
import type { LogLine } from './log-reader.js';

const STARTING_EVENT = 'starting';
const STEP_EVENT = 'start step';
const REQUEST_ENDED_EVENT = 'request ended';
/** Nodes that started longer than this before the last one belong to an earlier start of the fleet. */
const MAX_START_SPREAD_MS = 10_000;
/** Refusals are counted for this long from the first node's start on. */
const REFUSAL_WINDOW_MS = 4000;

/** One step over all nodes; times count from the start of the first node. */
export interface AccountedStep {
  readonly step: string;
  /** Number of nodes that reached the step. */
  readonly nodes: number;
  readonly medianMs: number;
  readonly lastMs: number;
  /** The node that reached the step last. */
  readonly lastNode: string;
}

/** Refused requests with the same outcome and text. */
export interface AccountedRefusal {
  readonly outcome: string;
  /** With `N` in place of each number. */
  readonly text: string;
  readonly count: number;
}

export interface StartAccount {
  readonly nodes: number;
  /** Start time of the first node, by that node's clock. */
  readonly startedAt: string;
  /** Sorted by median. */
  readonly steps: readonly AccountedStep[];
  /** Most frequent first. */
  readonly refusals: readonly AccountedRefusal[];
}

/** Undefined if the lines contain no start of a node. */
export function accountOfStart(lines: readonly LogLine[]): StartAccount | undefined {
  const startedAt = new Map<string, number>();
  for (const { event, node, timeMs } of lines) {
    if (event === STARTING_EVENT)
      startedAt.set(node, Math.max(timeMs, startedAt.get(node) ?? timeMs));
  }
  const latest = Math.max(...startedAt.values());
  for (const [node, at] of startedAt) if (latest - at > MAX_START_SPREAD_MS) startedAt.delete(node);
  if (startedAt.size === 0) return undefined;
  const first = Math.min(...startedAt.values());
  return {
    nodes: startedAt.size,
    startedAt: new Date(first).toISOString(),
    steps: collectSteps(lines, startedAt, first),
    refusals: countRefusals(lines, startedAt, first),
  };
}

type Starts = ReadonlyMap<string, number>;

function collectSteps(lines: readonly LogLine[], starts: Starts, first: number): AccountedStep[] {
  const reached = new Map<string, { readonly node: string; readonly ms: number }[]>();
  for (const { event, node, timeMs, fields } of lines) {
    const startedAt = starts.get(node);
    const isStepOfStart = event === STEP_EVENT && startedAt !== undefined && timeMs >= startedAt;
    if (!isStepOfStart || typeof fields.step !== 'string') continue;
    const found = reached.get(fields.step) ?? [];
    reached.set(fields.step, [...found, { node, ms: timeMs - first }]);
  }
  return [...reached]
    .map(([step, nodes]) => summarizeStep(step, nodes))
    .sort((left, right) => left.medianMs - right.medianMs || left.lastMs - right.lastMs);
}

function summarizeStep(
  step: string,
  nodes: readonly { readonly node: string; readonly ms: number }[],
): AccountedStep {
  const sorted = [...nodes].sort((left, right) => left.ms - right.ms);
  const last = sorted.at(-1);
  return {
    ...{ step, nodes: sorted.length, medianMs: sorted[(sorted.length - 1) >> 1]?.ms ?? 0 },
    ...{ lastMs: last?.ms ?? 0, lastNode: last?.node ?? '' },
  };
}

function countRefusals(
  lines: readonly LogLine[],
  starts: Starts,
  first: number,
): AccountedRefusal[] {
  const counts = new Map<string, AccountedRefusal>();
  for (const { event, node, timeMs, fields } of lines) {
    const isCounted = timeMs >= first && timeMs < first + REFUSAL_WINDOW_MS && starts.has(node);
    if (event !== REQUEST_ENDED_EVENT || !isCounted) continue;
    const { outcome, text, alikeLeftOut } = fields;
    if (typeof outcome !== 'string' || outcome === 'done') continue;
    const textWithoutNumbers = typeof text === 'string' ? text.replace(/\d+/g, 'N') : '';
    const key = `${outcome}/${textWithoutNumbers}`;
    // Lines of this kind that were omitted before this one are counted as equal to it.
    const more = 1 + (typeof alikeLeftOut === 'number' ? alikeLeftOut : 0);
    const count = (counts.get(key)?.count ?? 0) + more;
    counts.set(key, { outcome, text: textWithoutNumbers, count });
  }
  return [...counts.values()].sort((left, right) => right.count - left.count);
}
