/** Figures of the quiet tenant with and without a flood, and how far apart they are. */
import { build } from 'hdr-histogram-js';
import type { FloodCounts, FloodKind } from './flood.js';
import type { QuietRequest } from './quiet-load.js';

export type PhaseKind = 'none' | FloodKind;

/** One phase: the quiet tenant's requests while this flood went on. */
export interface Phase {
  readonly kind: PhaseKind;
  readonly requests: readonly QuietRequest[];
  readonly flood: FloodCounts | undefined;
}

export interface PhaseFigures {
  readonly flood: PhaseKind;
  readonly requests: number;
  readonly errors: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
  /** p99 of all phases together above that without a flood, as a share of it. */
  readonly p99Moved: number | undefined;
  /** Median of the p99 of the single phases: a stall of the machine spoils one phase, not all. */
  readonly phaseP99Ms: number;
  /** How far that median lies above the one without a flood, as a share of it. */
  readonly phaseP99Moved: number | undefined;
  readonly floodOffered: number;
  readonly floodDone: number;
  readonly floodRefused: number;
}

const MICROSECONDS_PER_MS = 1000;
const HIGHEST_MICROSECONDS = 60_000_000;
const DIGITS = 3;

/** `settleMs`: requests this early in a phase are left out; the phase before still echoes. */
export function figuresOf(phases: readonly Phase[], settleMs: number): readonly PhaseFigures[] {
  const kinds = [...new Set(phases.map(({ kind }) => kind))];
  const baseline = percentilesOf(requestsOf(phases, 'none', settleMs));
  const phaseBaselineMs = medianPhaseP99(phases, 'none', settleMs);
  return kinds.map((kind) => {
    const requests = requestsOf(phases, kind, settleMs);
    const { p50Ms, p99Ms, maxMs } = percentilesOf(requests);
    const phaseP99Ms = medianPhaseP99(phases, kind, settleMs);
    const floods = phases.flatMap((phase) => (phase.kind === kind ? (phase.flood ?? []) : []));
    return {
      flood: kind,
      requests: requests.length,
      errors: requests.filter(({ error }) => error !== undefined).length,
      p50Ms,
      p99Ms,
      maxMs,
      p99Moved: kind === 'none' ? undefined : round(p99Ms / baseline.p99Ms - 1),
      phaseP99Ms,
      phaseP99Moved: kind === 'none' ? undefined : round(phaseP99Ms / phaseBaselineMs - 1),
      floodOffered: sumOf(floods.map(({ offered }) => offered)),
      floodDone: sumOf(floods.map(({ done }) => done)),
      floodRefused: sumOf(floods.map(({ refused }) => refused)),
    };
  });
}

function requestsOf(phases: readonly Phase[], kind: PhaseKind, settleMs: number): QuietRequest[] {
  const requests = phases.filter((phase) => phase.kind === kind).flatMap((one) => one.requests);
  return requests.filter(({ offsetMs }) => offsetMs >= settleMs);
}

function medianPhaseP99(phases: readonly Phase[], kind: PhaseKind, settleMs: number): number {
  const each = phases
    .filter((phase) => phase.kind === kind)
    .map((phase) => percentilesOf(requestsOf([phase], kind, settleMs)).p99Ms)
    .sort((left, right) => left - right);
  return each[Math.floor((each.length - 1) / 2)] ?? 0;
}

function percentilesOf(requests: readonly QuietRequest[]): {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
} {
  const histogram = build({ highestTrackableValue: HIGHEST_MICROSECONDS });
  for (const { latencyMs } of requests) {
    const microseconds = Math.round(latencyMs * MICROSECONDS_PER_MS);
    histogram.recordValue(Math.min(Math.max(microseconds, 0), HIGHEST_MICROSECONDS));
  }
  const at = (percentile: number): number =>
    round(histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS);
  return { p50Ms: at(50), p99Ms: at(99), maxMs: at(100) };
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

function round(value: number): number {
  return Number(value.toFixed(DIGITS));
}
