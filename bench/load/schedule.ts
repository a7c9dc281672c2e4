/**
 * The open-loop schedule of a run: when each request is meant to start, of which kind, by which session and
 * on which key. Pure; it does not depend on how fast anything answers.
 */
import type { Deployment, RequestKind } from '../deployments.js';
import { createRandom, createZipfPicker, type Random } from './random.js';

/** What a session takes along to another proxy. */
export type SessionCarriage = 'token' | 'session-id';

/** One request that is to be made. */
export interface PlannedRequest {
  /** Position in the schedule; names the request. */
  readonly index: number;
  /** Intended start after the start of the run. */
  readonly offsetMs: number;
  readonly kind: RequestKind;
  /** Index of the session; each session belongs to one group. */
  readonly session: number;
  /** Popularity rank of the key, 0 the most wanted; taken modulo the rows that there are. */
  readonly keyRank: number;
  /** Read what the session wrote last, if it wrote anything. */
  readonly readOwnWrite: boolean;
  /** The session goes on at another proxy before this request. */
  readonly moves: boolean;
}

export interface ScheduleOptions {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly durationMs: number;
  /** Mean rate outside of bursts, over all groups. */
  readonly requestsPerSecond: number;
  readonly sessions: number;
}

/** A burst begins every so often, lasts so long, and multiplies the rate. */
export const BURST_PERIOD_MS = 5_000;
export const BURST_LENGTH_MS = 400;
export const BURST_FACTOR = 3;

const MS_PER_SECOND = 1_000;
const KEY_RANKS = 1_000;
const KEY_SKEW = 0.99;
const MOVE_SHARE = 0.05;
const OWN_WRITE_SHARE = 0.5;

export function planRequests(options: ScheduleOptions): PlannedRequest[] {
  const random = createRandom(options.seed);
  const pickRank = createZipfPicker(KEY_RANKS, KEY_SKEW);
  const planned: PlannedRequest[] = [];
  let offsetMs = nextArrival(0, options, random);
  while (offsetMs < options.durationMs) {
    planned.push({
      index: planned.length,
      offsetMs,
      kind: pickKind(options.deployment.kinds, random),
      session: random.below(options.sessions),
      keyRank: pickRank(random),
      readOwnWrite: random.fraction() < OWN_WRITE_SHARE,
      moves: random.fraction() < MOVE_SHARE,
    });
    offsetMs = nextArrival(offsetMs, options, random);
  }
  return planned;
}

/** Group of a session. */
export function groupOfSession(deployment: Deployment, session: number): string {
  return deployment.groups[session % deployment.groups.length] ?? '';
}

/** Every second session of a group moves with nothing but its id. */
export function carriageOfSession(deployment: Deployment, session: number): SessionCarriage {
  const ordinal = Math.floor(session / deployment.groups.length);
  return ordinal % 2 === 0 ? 'token' : 'session-id';
}

/** True within a burst; the first begins in the middle of the first period. */
export function isInBurst(offsetMs: number): boolean {
  const phase = (offsetMs + BURST_PERIOD_MS / 2) % BURST_PERIOD_MS;
  return offsetMs >= BURST_PERIOD_MS / 2 && phase < BURST_LENGTH_MS;
}

function nextArrival(offsetMs: number, options: ScheduleOptions, random: Random): number {
  const factor = isInBurst(offsetMs) ? BURST_FACTOR : 1;
  return offsetMs + random.exponential(MS_PER_SECOND / (options.requestsPerSecond * factor));
}

function pickKind(kinds: readonly RequestKind[], random: Random): RequestKind {
  let rest = random.fraction();
  for (const kind of kinds) {
    rest -= kind.share;
    if (rest < 0) return kind;
  }
  const last = kinds.at(-1);
  if (last === undefined) throw new RangeError('a deployment needs kinds of requests');
  return last;
}
