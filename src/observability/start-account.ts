/** How a fleet started last, step by step, from the lines of its nodes: what took how long, and what callers were refused. */
import type { LogLine } from './log-reader.js';

const STARTING = 'starting';
const STEP = 'start step';
const REQUEST_ENDED = 'request ended';
/** Starts that lie so far before the last one belong to an earlier start of the fleet. */
const ONE_START_MS = 10_000;
/** Refusals are counted for so long from the first start on. */
const REFUSALS_MS = 4000;

/** One step over all nodes, in milliseconds from the first start of a node. */
export interface AccountedStep {
  readonly step: string;
  /** Nodes that reached it. */
  readonly nodes: number;
  readonly medianMs: number;
  readonly lastMs: number;
  /** The node that reached it last. */
  readonly lastNode: string;
}

/** What requests were refused with. */
export interface AccountedRefusal {
  readonly outcome: string;
  /** Numbers in it are left out. */
  readonly text: string;
  readonly count: number;
}

/** The last start of a fleet. */
export interface StartAccount {
  readonly nodes: number;
  /** By the clock of the node that started first. */
  readonly startedAt: string;
  /** In the order of their medians. */
  readonly steps: readonly AccountedStep[];
  /** The most frequent first. */
  readonly refusals: readonly AccountedRefusal[];
}

/** Undefined if no node has told that it starts. */
export function accountOfStart(lines: readonly LogLine[]): StartAccount | undefined {
  const startedAt = new Map<string, number>();
  for (const { event, node, timeMs } of lines) {
    if (event === STARTING) startedAt.set(node, Math.max(timeMs, startedAt.get(node) ?? timeMs));
  }
  const latest = Math.max(...startedAt.values());
  for (const [node, at] of startedAt) if (latest - at > ONE_START_MS) startedAt.delete(node);
  if (startedAt.size === 0) return undefined;
  const first = Math.min(...startedAt.values());
  return {
    nodes: startedAt.size,
    startedAt: new Date(first).toISOString(),
    steps: stepsOf(lines, startedAt, first),
    refusals: refusalsOf(lines, startedAt, first),
  };
}

type Starts = ReadonlyMap<string, number>;

function stepsOf(lines: readonly LogLine[], starts: Starts, first: number): AccountedStep[] {
  const reached = new Map<string, { readonly node: string; readonly ms: number }[]>();
  for (const { event, node, timeMs, fields } of lines) {
    const startedAt = starts.get(node);
    const isOfStart = event === STEP && startedAt !== undefined && timeMs >= startedAt;
    if (!isOfStart || typeof fields.step !== 'string') continue;
    const found = reached.get(fields.step) ?? [];
    reached.set(fields.step, [...found, { node, ms: timeMs - first }]);
  }
  return [...reached]
    .map(([step, nodes]) => accounted(step, nodes))
    .sort((left, right) => left.medianMs - right.medianMs || left.lastMs - right.lastMs);
}

function accounted(
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

function refusalsOf(lines: readonly LogLine[], starts: Starts, first: number): AccountedRefusal[] {
  const counts = new Map<string, AccountedRefusal>();
  for (const { event, node, timeMs, fields } of lines) {
    const isCounted = timeMs >= first && timeMs < first + REFUSALS_MS && starts.has(node);
    if (event !== REQUEST_ENDED || !isCounted) continue;
    const { outcome, text, alikeLeftOut } = fields;
    if (typeof outcome !== 'string' || outcome === 'done') continue;
    const shown = typeof text === 'string' ? text.replace(/\d+/g, 'N') : '';
    const key = `${outcome}/${shown}`;
    // Those that were left out before this line are taken to be like it.
    const more = 1 + (typeof alikeLeftOut === 'number' ? alikeLeftOut : 0);
    const count = (counts.get(key)?.count ?? 0) + more;
    counts.set(key, { outcome, text: shown, count });
  }
  return [...counts.values()].sort((left, right) => right.count - left.count);
}
