/** Compares the quiet tenant's figures with and without a flood. */
import { build } from 'hdr-histogram-js';
import type { FloodCounts, FloodKind } from './flood.js';
import type { QuietRequest } from './quiet-load.js';

export type PhaseKind = 'none' | FloodKind;

/** One phase: the quiet tenant's requests during a flood, or without one. */
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
  /** Relative increase of the p99 over all phases of this flood against that without a flood. */
  readonly p99Moved: number | undefined;
  /** Median of the phases' p99, since a stall of the machine distorts only the phase that it falls into. */
  readonly phaseP99Ms: number;
  /** Relative increase of that median against the one without a flood. */
  readonly phaseP99Moved: number | undefined;
  readonly floodOffered: number;
  readonly floodDone: number;
  readonly floodRefused: number;
}

const MICROSECONDS_PER_MS = 1000;
const MAX_LATENCY_MICROSECONDS = 60_000_000;
const DECIMAL_DIGITS = 3;

/** Requests in the first `settleMs` of a phase are left out, because the previous phase still affects them. */
export function computeFigures(
  phases: readonly Phase[],
  settleMs: number,
): readonly PhaseFigures[] {
  const kinds = [...new Set(phases.map(({ kind }) => kind))];
  const baseline = computePercentiles(selectRequests(phases, 'none', settleMs));
  const phaseBaselineMs = computeMedianPhaseP99Ms(phases, 'none', settleMs);
  return kinds.map((kind) => {
    const requests = selectRequests(phases, kind, settleMs);
    const { p50Ms, p99Ms, maxMs } = computePercentiles(requests);
    const phaseP99Ms = computeMedianPhaseP99Ms(phases, kind, settleMs);
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

function selectRequests(
  phases: readonly Phase[],
  kind: PhaseKind,
  settleMs: number,
): QuietRequest[] {
  const requests = phases.filter((phase) => phase.kind === kind).flatMap((one) => one.requests);
  return requests.filter(({ offsetMs }) => offsetMs >= settleMs);
}

function computeMedianPhaseP99Ms(
  phases: readonly Phase[],
  kind: PhaseKind,
  settleMs: number,
): number {
  const phaseP99sMs = phases
    .filter((phase) => phase.kind === kind)
    .map((phase) => computePercentiles(selectRequests([phase], kind, settleMs)).p99Ms)
    .sort((left, right) => left - right);
  return phaseP99sMs[Math.floor((phaseP99sMs.length - 1) / 2)] ?? 0;
}

function computePercentiles(requests: readonly QuietRequest[]): {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
} {
  const histogram = build({ highestTrackableValue: MAX_LATENCY_MICROSECONDS });
  for (const { latencyMs } of requests) {
    const microseconds = Math.round(latencyMs * MICROSECONDS_PER_MS);
    histogram.recordValue(Math.min(Math.max(microseconds, 0), MAX_LATENCY_MICROSECONDS));
  }
  const at = (percentile: number): number =>
    round(histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS);
  return { p50Ms: at(50), p99Ms: at(99), maxMs: at(100) };
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

function round(value: number): number {
  return Number(value.toFixed(DECIMAL_DIGITS));
}
