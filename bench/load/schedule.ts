/**
 * The open-loop schedule of a run: the intended start, kind, session and key of each request. Pure;
 * it does not depend on response times.
 */
import type { Deployment, RequestKind } from '../deployments.js';
import { createRandom, createZipfPicker, type Random } from './random.js';

/** How a session identifies itself to another proxy: with its token, or only with its id. */
export type SessionIdentification = 'token' | 'session-id';

/** One request of the schedule. */
export interface PlannedRequest {
  /** Position in the schedule, from which the request's id is made. */
  readonly index: number;
  /** Intended start, relative to the start of the run. */
  readonly offsetMs: number;
  readonly kind: RequestKind;
  /** Index of the session; each session belongs to one group. */
  readonly session: number;
  /** Popularity rank of the key, 0 being the most popular; taken modulo the number of rows. */
  readonly keyRank: number;
  /** The request reads a row that its session wrote recently, if there is one. */
  readonly readsOwnWrite: boolean;
  /** The session moves to another proxy before this request. */
  readonly changesProxy: boolean;
}

export interface ScheduleOptions {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly durationMs: number;
  /** Mean rate over all groups, outside of bursts. */
  readonly requestsPerSecond: number;
  readonly sessions: number;
}

/** One burst per period multiplies the rate by the factor for the burst's duration. */
export const BURST_PERIOD_MS = 5_000;
export const BURST_DURATION_MS = 400;
export const BURST_FACTOR = 3;

const MS_PER_SECOND = 1_000;
const KEY_RANK_COUNT = 1_000;
const KEY_ZIPF_EXPONENT = 0.99;
const PROXY_CHANGE_PROBABILITY = 0.05;
const OWN_WRITE_READ_PROBABILITY = 0.5;

export function planRequests(options: ScheduleOptions): PlannedRequest[] {
  const random = createRandom(options.seed);
  const pickRank = createZipfPicker(KEY_RANK_COUNT, KEY_ZIPF_EXPONENT);
  const planned: PlannedRequest[] = [];
  let offsetMs = nextArrivalMs(0, options, random);
  while (offsetMs < options.durationMs) {
    planned.push({
      index: planned.length,
      offsetMs,
      kind: pickKind(options.deployment.kinds, random),
      session: random.integerBelow(options.sessions),
      keyRank: pickRank(random),
      readsOwnWrite: random.fraction() < OWN_WRITE_READ_PROBABILITY,
      changesProxy: random.fraction() < PROXY_CHANGE_PROBABILITY,
    });
    offsetMs = nextArrivalMs(offsetMs, options, random);
  }
  return planned;
}

/** Group of a session. */
export function groupOfSession(deployment: Deployment, session: number): string {
  return deployment.groups[session % deployment.groups.length] ?? '';
}

/** Every second session of a group identifies itself only with its id. */
export function identificationOfSession(
  deployment: Deployment,
  session: number,
): SessionIdentification {
  const ordinal = Math.floor(session / deployment.groups.length);
  return ordinal % 2 === 0 ? 'token' : 'session-id';
}

/** True within a burst; bursts begin in the middle of each period. */
export function isInBurst(offsetMs: number): boolean {
  const phase = (offsetMs + BURST_PERIOD_MS / 2) % BURST_PERIOD_MS;
  return offsetMs >= BURST_PERIOD_MS / 2 && phase < BURST_DURATION_MS;
}

function nextArrivalMs(offsetMs: number, options: ScheduleOptions, random: Random): number {
  const factor = isInBurst(offsetMs) ? BURST_FACTOR : 1;
  return offsetMs + random.exponential(MS_PER_SECOND / (options.requestsPerSecond * factor));
}

function pickKind(kinds: readonly RequestKind[], random: Random): RequestKind {
  let remainingFraction = random.fraction();
  for (const kind of kinds) {
    remainingFraction -= kind.requestFraction;
    if (remainingFraction < 0) return kind;
  }
  const last = kinds.at(-1);
  if (last === undefined) throw new RangeError('a deployment needs kinds of requests');
  return last;
}
