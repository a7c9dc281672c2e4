/**
 * Explains from the nodes' log lines why a request ended as it did: the decisions made for it, what its node believed
 * at the time, and the cause in one sentence.
 */
import type { LogLine } from './log-reader.js';

/** Changes of the fleet up to this long before a request are included. */
const CHANGE_LOOKBACK_MS = 10_000;
/** Clock differences above this are reported. */
const NOTABLE_SKEW_MS = 100;
const NONE = 'none';

/** A decision made for the request; `atMs` counts from its arrival at its node. */
export interface ExplainedStep {
  readonly node: string;
  readonly atMs: number;
  readonly step: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A belief that the request's node had when the request arrived, or formed while it was in progress. */
export interface ExplainedBelief {
  readonly node: string;
  readonly belief: string;
  readonly service: string | undefined;
  readonly now: string;
  /** When the node formed the belief, relative to the request's arrival (negative: before). */
  readonly atMs: number;
}

/** A change of a primary, of leadership or of the configuration shortly before or during the request. */
export interface ExplainedChange {
  readonly node: string;
  readonly event: string;
  readonly atMs: number;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Result of `explain`. */
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
  /** Nodes whose clocks appear to differ from that of the request's node: the smallest difference seen, in ms. */
  readonly skews: Readonly<Record<string, number>>;
}

const STEP_EVENT = 'request decided';
const END_EVENT = 'request ended';
const BELIEF_EVENT = 'belief changed';
const CHANGE_EVENTS = new Set([
  ...['primary to be replaced', 'change of primary', 'promotion called', 'promotion answered'],
  ...['primary changed', 'leadership taken', 'leadership lost', 'configuration in force'],
]);

/** Undefined if no line reports the end of the request. */
export function explain(request: string, lines: readonly LogLine[]): Explanation | undefined {
  const end = lines.find(({ event, fields }) => event === END_EVENT && fields.request === request);
  if (end === undefined) return undefined;
  const { node, timeMs } = end;
  const tookMs = numberOrZero(end.fields.tookMs);
  const window = { from: timeMs - tookMs, to: timeMs, node };
  const service = stringOrEmpty(end.fields.service);
  const steps = collectSteps(request, lines);
  const outcome = stringOrEmpty(end.fields.outcome);
  const changes = collectChanges(lines, service, window);
  const beliefs = collectBeliefs(lines, service, window);
  const evidence = {
    outcome,
    text: stringOrEmpty(end.fields.text),
    tookMs,
    steps,
    beliefs,
    changes,
  };
  return {
    ...{ request, node, service, outcome, tookMs, steps, beliefs, changes },
    database: stringOrEmpty(end.fields.database),
    cause: causeOf(evidence),
    skews: estimateClockSkews(lines, node),
  };
}

interface Window {
  readonly from: number;
  readonly to: number;
  readonly node: string;
}

function collectSteps(request: string, lines: readonly LogLine[]): ExplainedStep[] {
  return lines
    .filter(({ event, fields }) => event === STEP_EVENT && fields.request === request)
    .map(({ node, fields }) => {
      const { request: _request, time: _time, level: _level, event: _event, ...rest } = fields;
      const { node: _node, step, atMs, ...inputs } = rest;
      return { node, atMs: numberOrZero(atMs), step: stringOrEmpty(step), fields: inputs };
    });
}

/** The last change of each belief before the request's arrival, and all changes during the request. */
function collectBeliefs(
  lines: readonly LogLine[],
  service: string,
  window: Window,
): ExplainedBelief[] {
  const before = new Map<string, ExplainedBelief>();
  const meanwhile: ExplainedBelief[] = [];
  for (const { event, fields, node, timeMs } of lines) {
    if (event !== BELIEF_EVENT || node !== window.node || timeMs > window.to) continue;
    const beliefService = typeof fields.service === 'string' ? fields.service : undefined;
    if (beliefService !== undefined && beliefService !== service) continue;
    const belief = stringOrEmpty(fields.belief);
    const atMs = timeMs - window.from;
    const entry = { node, belief, service: beliefService, now: stringOrEmpty(fields.now), atMs };
    if (atMs >= 0) meanwhile.push(entry);
    else before.set(belief, entry);
  }
  return [...before.values(), ...meanwhile];
}

function collectChanges(
  lines: readonly LogLine[],
  service: string,
  window: Window,
): ExplainedChange[] {
  return lines
    .filter(({ event, fields, timeMs }) => {
      const isOfOtherService = typeof fields.service === 'string' && fields.service !== service;
      const isInWindow = timeMs >= window.from - CHANGE_LOOKBACK_MS && timeMs <= window.to;
      return CHANGE_EVENTS.has(event) && !isOfOtherService && isInWindow;
    })
    .map(({ node, event, timeMs, fields }) => {
      const { time: _time, level: _level, event: _event, node: _node, ...rest } = fields;
      return { node, event, atMs: timeMs - window.from, fields: rest };
    });
}

/**
 * All nodes apply a configuration at nearly the same time. A node whose log shows it seconds earlier or later than the
 * request's node has a different clock or was cut off; it is reported in both cases.
 */
function estimateClockSkews(lines: readonly LogLine[], node: string): Record<string, number> {
  const ownTimes = new Map<unknown, number>();
  for (const line of lines) {
    if (line.event === 'configuration in force' && line.node === node) {
      ownTimes.set(line.fields.version, line.timeMs);
    }
  }
  const smallestSkews = new Map<string, number>();
  for (const line of lines) {
    const ownMs = ownTimes.get(line.fields.version);
    if (line.event !== 'configuration in force' || line.node === node || ownMs === undefined)
      continue;
    const skewMs = line.timeMs - ownMs;
    const known = smallestSkews.get(line.node);
    if (known === undefined || Math.abs(skewMs) < Math.abs(known))
      smallestSkews.set(line.node, skewMs);
  }
  return Object.fromEntries([...smallestSkews].filter(([, ms]) => Math.abs(ms) > NOTABLE_SKEW_MS));
}

interface Evidence {
  readonly outcome: string;
  readonly text: string;
  readonly tookMs: number;
  readonly steps: readonly ExplainedStep[];
  readonly beliefs: readonly ExplainedBelief[];
  readonly changes: readonly ExplainedChange[];
}

const CAUSE_BY_OUTCOME: Readonly<Record<string, (evidence: Evidence) => string>> = {
  done: () => 'it succeeded',
  late: describeDelay,
  'in-doubt': (evidence) => `it may have been executed: ${describeLoss(evidence)}`,
  timeout: (evidence) => `no response in time: ${describeLoss(evidence)}`,
  aborted: (evidence) => `its transaction was rolled back: ${describeLoss(evidence)}`,
  busy: describeRefusal,
  lagging: (evidence) =>
    `the replica had not received the position that the request must see: ${lastInstanceOf(evidence, 'chosen')}`,
  'read-only': (evidence) =>
    `the instance was no longer the primary: ${lastBelievedPrimary(evidence)}`,
  'connection-limit': () => 'the instance takes no more connections',
};

function causeOf(evidence: Evidence): string {
  const describeCause = CAUSE_BY_OUTCOME[evidence.outcome];
  return describeCause?.(evidence) ?? `the instance answered ${evidence.outcome}: ${evidence.text}`;
}

/** Verdict on a commit that an instance with an unsettled promotion call lacks. */
const UNCONFIRMED = 'unconfirmed';

/** What happened to the last attempt that was sent. */
const LOSS_BY_FAULT: Readonly<Record<string, (instance: string) => string>> = {
  silence: (instance) => `${instance} did not answer the statement sent to it`,
  instance: (instance) => `the connection to ${instance} ended before its answer`,
  owner: (instance) => `the node that lends connections to ${instance} was lost before its answer`,
};

function describeLoss(evidence: Evidence): string {
  const confirmed = findLastStep(evidence, 'commit-confirmed');
  if (confirmed?.fields.verdict === 'deposed') {
    return 'another primary led before its acknowledgement could be relied on';
  }
  if (confirmed?.fields.verdict === UNCONFIRMED) {
    return 'an instance that a late promotion call may make primary had not received it in time';
  }
  if (confirmed !== undefined && confirmed.fields.verdict !== 'safe') {
    return `the next primary may lack it: its node had no lease, and the members reported "${stringOrEmpty(confirmed.fields.verdict)}"`;
  }
  const unanswered = findLastStep(evidence, 'unanswered');
  if (unanswered === undefined) return describeRefusal(evidence);
  const instance = stringOrEmpty(unanswered.fields.instance);
  const fault = stringOrEmpty(unanswered.fields.fault);
  const loss = LOSS_BY_FAULT[fault]?.(instance) ?? `${instance} answered ${fault}`;
  return `${loss}${describeLatestChange(evidence)}`;
}

function describeRefusal(evidence: Evidence): string {
  const none = findLastStep(evidence, 'no-instance');
  const notSent = findLastStep(evidence, 'not-sent');
  const spent = findLastStep(evidence, 'budget-spent');
  if (spent !== undefined) return 'its tenant had spent its budget of repeated attempts';
  const withheld = findLastStep(evidence, 'write-withheld');
  if (withheld !== undefined) return describeWithheldWrite(withheld, evidence);
  if (none !== undefined && (notSent === undefined || none.atMs >= notSent.atMs)) {
    if (none.fields.isChanging === true)
      return `its primary was being replaced${describeLatestChange(evidence)}`;
    if (none.fields.primary === undefined)
      return `no primary was known${describeLatestChange(evidence)}`;
    if (none.fields.isTrusted !== true) {
      return `primary ${none.fields.primary} could not be relied on: ${describeMissingTrust(evidence)}`;
    }
    return `primary ${none.fields.primary} was not responding, or was leaving${describeLatestChange(evidence)}`;
  }
  if (notSent === undefined) return evidence.text === '' ? NONE : evidence.text;
  return `${stringOrEmpty(notSent.fields.instance)} was not sent it: ${stringOrEmpty(notSent.fields.reason)}`;
}

function describeWithheldWrite({ fields }: ExplainedStep, evidence: Evidence): string {
  const instance = stringOrEmpty(fields.instance);
  const verdict = stringOrEmpty(fields.verdict);
  if (verdict === UNCONFIRMED)
    return 'an instance that a late promotion call may make primary did not receive commits in time';
  return `its node had no lease, and the members did not confirm ${instance} ("${verdict}")${describeLatestChange(evidence)}`;
}

/** Names the two steps between which most time passed. */
function describeDelay(evidence: Evidence): string {
  let slowest = { ms: -1, between: '' };
  let beforeMs = 0;
  let before = 'its arrival';
  for (const { atMs, step, fields } of evidence.steps) {
    const name = `${step}${typeof fields.instance === 'string' ? ` ${fields.instance}` : ''}`;
    if (atMs - beforeMs > slowest.ms)
      slowest = { ms: atMs - beforeMs, between: `${before} and ${name}` };
    beforeMs = atMs;
    before = name;
  }
  return `${slowest.ms} of ${evidence.tookMs} ms passed between ${slowest.between}${describeLatestChange(evidence)}`;
}

function describeLatestChange({ changes }: Evidence): string {
  const change = changes.findLast(({ event }) => event !== 'configuration in force');
  if (change === undefined) return '';
  const { reason, from, instance } = change.fields;
  const about = [reason, from, instance].filter((value) => typeof value === 'string').join(' ');
  return `; ${change.event}${about === '' ? '' : ` (${about})`} at ${change.atMs} ms`;
}

function describeMissingTrust({ beliefs }: Evidence): string {
  const store = beliefs.findLast(({ belief }) => belief === 'store');
  if (store !== undefined && store.now !== 'current') {
    return `the store was out of touch since ${store.atMs} ms`;
  }
  return 'this node held no lease that confirms it, and the members did not confirm it';
}

function lastBelievedPrimary({ beliefs }: Evidence): string {
  return beliefs.findLast(({ belief }) => belief === 'primary')?.now ?? 'primary unknown';
}

function lastInstanceOf(evidence: Evidence, step: string): string {
  return stringOrEmpty(findLastStep(evidence, step)?.fields.instance);
}

function findLastStep({ steps }: Evidence, step: string): ExplainedStep | undefined {
  return steps.findLast((one) => one.step === step);
}

function stringOrEmpty(value: unknown): string {
  return typeof value === 'string' ? value : '';
}

function numberOrZero(value: unknown): number {
  return typeof value === 'number' ? value : 0;
}
