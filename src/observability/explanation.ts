/**
 * Why a request ended as it did, from the lines that nodes wrote about it: its decisions, what its node
 * believed then, and the cause in one sentence.
 */
import type { LogLine } from './log-reader.js';

/** Beliefs that changed so long before a request are still shown. */
const BELIEFS_BEFORE_MS = 10_000;
/** Clocks of two nodes that differ by more than this are named. */
const NOTABLE_SKEW_MS = 100;
const NONE = 'none';

/** A decision about the request; `atMs` from its arrival at its node. */
export interface ExplainedStep {
  readonly node: string;
  readonly atMs: number;
  readonly step: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A belief that its node held, or came to, while the request was there. */
export interface ExplainedBelief {
  readonly node: string;
  readonly belief: string;
  readonly service: string | undefined;
  readonly now: string;
  /** When it came to that, from the request's arrival: negative for before. */
  readonly atMs: number;
}

/** A change of primary that the fleet made meanwhile. */
export interface ExplainedChange {
  readonly node: string;
  readonly event: string;
  readonly atMs: number;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** The story of one request. */
export interface Explanation {
  readonly request: string;
  readonly node: string;
  readonly database: string;
  readonly service: string;
  readonly outcome: string;
  readonly tookMs: number;
  readonly cause: string;
  readonly steps: readonly ExplainedStep[];
  readonly beliefs: readonly ExplainedBelief[];
  readonly changes: readonly ExplainedChange[];
  /** Nodes whose clocks surely differ from that of the request's node, by at least so much. */
  readonly skews: Readonly<Record<string, number>>;
}

const DECIDED = 'request decided';
const ENDED = 'request ended';
const BELIEF = 'belief changed';
const CHANGE_EVENTS = new Set([
  ...['primary to be replaced', 'change of primary', 'promotion called', 'promotion answered'],
  ...['primary changed', 'leadership taken', 'leadership lost', 'configuration in force'],
]);

/** What the lines tell of a request; undefined if nothing. */
export function explain(request: string, lines: readonly LogLine[]): Explanation | undefined {
  const end = lines.find(({ event, fields }) => event === ENDED && fields.request === request);
  if (end === undefined) return undefined;
  const { node, timeMs } = end;
  const tookMs = numberOf(end.fields.tookMs);
  const window = { from: timeMs - tookMs, to: timeMs, node };
  const service = textOf(end.fields.service);
  const steps = stepsOf(request, lines);
  const outcome = textOf(end.fields.outcome);
  const changes = changesOf(lines, service, window);
  const beliefs = beliefsOf(lines, service, window);
  const story = { outcome, text: textOf(end.fields.text), tookMs, steps, beliefs, changes };
  return {
    ...{ request, node, service, outcome, tookMs, steps, beliefs, changes },
    database: textOf(end.fields.database),
    cause: causeOf(story),
    skews: skewsOf(lines, node),
  };
}

interface Window {
  readonly from: number;
  readonly to: number;
  readonly node: string;
}

function stepsOf(request: string, lines: readonly LogLine[]): ExplainedStep[] {
  return lines
    .filter(({ event, fields }) => event === DECIDED && fields.request === request)
    .map(({ node, fields }) => {
      const { request: _request, time: _time, level: _level, event: _event, ...rest } = fields;
      const { node: _node, step, atMs, ...inputs } = rest;
      return { node, atMs: numberOf(atMs), step: textOf(step), fields: inputs };
    });
}

/** The last change of each belief before the request, and all changes while it was there. */
function beliefsOf(lines: readonly LogLine[], service: string, window: Window): ExplainedBelief[] {
  const before = new Map<string, ExplainedBelief>();
  const meanwhile: ExplainedBelief[] = [];
  for (const { event, fields, node, timeMs } of lines) {
    if (event !== BELIEF || node !== window.node || timeMs > window.to) continue;
    const ofService = typeof fields.service === 'string' ? fields.service : undefined;
    if (ofService !== undefined && ofService !== service) continue;
    const belief = textOf(fields.belief);
    const atMs = timeMs - window.from;
    const told = { node, belief, service: ofService, now: textOf(fields.now), atMs };
    if (atMs >= 0) meanwhile.push(told);
    else before.set(belief, told);
  }
  return [...before.values(), ...meanwhile];
}

function changesOf(lines: readonly LogLine[], service: string, window: Window): ExplainedChange[] {
  return lines
    .filter(({ event, fields, timeMs }) => {
      const isOther = typeof fields.service === 'string' && fields.service !== service;
      const isNear = timeMs >= window.from - BELIEFS_BEFORE_MS && timeMs <= window.to;
      return CHANGE_EVENTS.has(event) && !isOther && isNear;
    })
    .map(({ node, event, timeMs, fields }) => {
      const { time: _time, level: _level, event: _event, node: _node, ...rest } = fields;
      return { node, event, atMs: timeMs - window.from, fields: rest };
    });
}

/**
 * All nodes take a configuration within moments of each other; one that seems to have it seconds earlier
 * or later than the request's node has another clock, or was out of touch: it is named either way.
 */
function skewsOf(lines: readonly LogLine[], node: string): Record<string, number> {
  const own = new Map<unknown, number>();
  for (const line of lines) {
    if (line.event === 'configuration in force' && line.node === node) {
      own.set(line.fields.version, line.timeMs);
    }
  }
  const least = new Map<string, number>();
  for (const line of lines) {
    const ownMs = own.get(line.fields.version);
    if (line.event !== 'configuration in force' || line.node === node || ownMs === undefined)
      continue;
    const skewMs = line.timeMs - ownMs;
    const known = least.get(line.node);
    if (known === undefined || Math.abs(skewMs) < Math.abs(known)) least.set(line.node, skewMs);
  }
  return Object.fromEntries([...least].filter(([, ms]) => Math.abs(ms) > NOTABLE_SKEW_MS));
}

interface Story {
  readonly outcome: string;
  readonly text: string;
  readonly tookMs: number;
  readonly steps: readonly ExplainedStep[];
  readonly beliefs: readonly ExplainedBelief[];
  readonly changes: readonly ExplainedChange[];
}

/** What explains each outcome. */
const CAUSES: Readonly<Record<string, (story: Story) => string>> = {
  done: () => 'it went well',
  late: causeOfLate,
  'in-doubt': (story) => `it may have been done: ${lossOf(story)}`,
  timeout: (story) => `no answer in its time: ${lossOf(story)}`,
  aborted: (story) => `its transaction was rolled back: ${lossOf(story)}`,
  busy: causeOfRefusal,
  lagging: (story) => `the replica had not received what it must see: ${lastOf(story, 'chosen')}`,
  'read-only': (story) => `the instance had lost the lead: ${primaryOf(story)}`,
  'connection-limit': () => 'the instance takes no more connections',
};

/** One sentence. */
function causeOf(story: Story): string {
  const explainOutcome = CAUSES[story.outcome];
  return explainOutcome?.(story) ?? `the instance answered ${story.outcome}: ${story.text}`;
}

/** What became of the last attempt that was handed over. */
const LOSSES: Readonly<Record<string, (instance: string) => string>> = {
  silence: (instance) => `${instance} did not answer what it was sent`,
  instance: (instance) => `the connection to ${instance} ended before its answer`,
  owner: (instance) => `the node that lends connections to ${instance} was lost before its answer`,
};

function lossOf(story: Story): string {
  const confirmed = last(story, 'commit-confirmed');
  if (confirmed?.fields.verdict === 'deposed') {
    return 'another primary led before its acknowledgement could be relied on';
  }
  if (confirmed !== undefined && confirmed.fields.verdict !== 'safe') {
    return `whoever leads next may lack it: its node had no lease, and the members told "${textOf(confirmed.fields.verdict)}"`;
  }
  const unanswered = last(story, 'unanswered');
  if (unanswered === undefined) return causeOfRefusal(story);
  const instance = textOf(unanswered.fields.instance);
  const fault = textOf(unanswered.fields.fault);
  const loss = LOSSES[fault]?.(instance) ?? `${instance} answered ${fault}`;
  return `${loss}${changeNear(story)}`;
}

function causeOfRefusal(story: Story): string {
  const none = last(story, 'no-instance');
  const notSent = last(story, 'not-sent');
  const spent = last(story, 'budget-spent');
  if (spent !== undefined) return 'its tenant had spent its budget of repeated attempts';
  const withheld = last(story, 'write-withheld');
  if (withheld !== undefined) return withheldBy(withheld, story);
  if (none !== undefined && (notSent === undefined || none.atMs >= notSent.atMs)) {
    if (none.fields.isChanging === true)
      return `its primary was being replaced${changeNear(story)}`;
    if (none.fields.primary === undefined) return `no primary was known${changeNear(story)}`;
    if (none.fields.isTrusted !== true) {
      return `primary ${none.fields.primary} could not be relied on: ${trustOf(story)}`;
    }
    return `primary ${none.fields.primary} answered nothing, or was leaving${changeNear(story)}`;
  }
  if (notSent === undefined) return story.text === '' ? NONE : story.text;
  return `${textOf(notSent.fields.instance)} was not sent it: ${textOf(notSent.fields.reason)}`;
}

function withheldBy({ fields }: ExplainedStep, story: Story): string {
  const instance = textOf(fields.instance);
  const verdict = textOf(fields.verdict);
  return `its node had no lease, and the members did not vouch for ${instance} ("${verdict}")${changeNear(story)}`;
}

/** Where most of the time went. */
function causeOfLate(story: Story): string {
  let slowest = { ms: -1, between: '' };
  let beforeMs = 0;
  let before = 'its arrival';
  for (const { atMs, step, fields } of story.steps) {
    const name = `${step}${typeof fields.instance === 'string' ? ` ${fields.instance}` : ''}`;
    if (atMs - beforeMs > slowest.ms)
      slowest = { ms: atMs - beforeMs, between: `${before} and ${name}` };
    beforeMs = atMs;
    before = name;
  }
  return `${slowest.ms} of ${story.tookMs} ms passed between ${slowest.between}${changeNear(story)}`;
}

function changeNear({ changes }: Story): string {
  const change = changes.findLast(({ event }) => event !== 'configuration in force');
  if (change === undefined) return '';
  const { reason, from, instance } = change.fields;
  const about = [reason, from, instance].filter((value) => typeof value === 'string').join(' ');
  return `; ${change.event}${about === '' ? '' : ` (${about})`} at ${change.atMs} ms`;
}

function trustOf({ beliefs }: Story): string {
  const store = beliefs.findLast(({ belief }) => belief === 'store');
  if (store !== undefined && store.now !== 'current') {
    return `the store was out of touch since ${store.atMs} ms`;
  }
  return 'this node held no lease that vouches for it, and its members did not prove it';
}

function primaryOf({ beliefs }: Story): string {
  return beliefs.findLast(({ belief }) => belief === 'primary')?.now ?? 'primary unknown';
}

function lastOf(story: Story, step: string): string {
  return textOf(last(story, step)?.fields.instance);
}

function last({ steps }: Story, step: string): ExplainedStep | undefined {
  return steps.findLast((one) => one.step === step);
}

function textOf(value: unknown): string {
  return typeof value === 'string' ? value : '';
}

function numberOf(value: unknown): number {
  return typeof value === 'number' ? value : 0;
}
