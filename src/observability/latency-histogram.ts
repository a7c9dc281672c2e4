/**
 * Histogram with fixed buckets, cheap enough to record every statement, and independent of the metrics library, which
 * is loaded only when metrics are requested. Exposed in seconds in Prometheus' text format.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../core/units.js';

/** Upper bounds of the buckets. */
const BUCKET_BOUNDS_MS: readonly Milliseconds[] = [
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000,
];

interface Series {
  readonly labels: readonly string[];
  /** One count per bound, and one for latencies above all bounds. */
  readonly counts: number[];
  sumMs: Milliseconds;
}

export interface LatencyHistogramOptions {
  /** Without the unit suffix, which is appended. */
  readonly name: string;
  readonly help: string;
  readonly labelNames: readonly string[];
}

export class LatencyHistogram {
  readonly #series = new Map<string, Series>();

  constructor(private readonly options: LatencyHistogramOptions) {}

  /** `labels`: values in the order of `labelNames`; must come from a limited set, as each combination is kept. */
  observe(latencyMs: Milliseconds, ...labels: readonly string[]): void {
    const key = labels.join('\n');
    let series = this.#series.get(key);
    if (series === undefined) {
      series = { labels, counts: new Array<number>(BUCKET_BOUNDS_MS.length + 1).fill(0), sumMs: 0 };
      this.#series.set(key, series);
    }
    const bucket = BUCKET_BOUNDS_MS.findIndex((boundMs) => latencyMs <= boundMs);
    const index = bucket < 0 ? BUCKET_BOUNDS_MS.length : bucket;
    series.counts[index] = (series.counts[index] ?? 0) + 1;
    series.sumMs += latencyMs;
  }

  /** All series in Prometheus' text format, each line terminated; empty if nothing was recorded. */
  expose(prefix: string): string {
    if (this.#series.size === 0) return '';
    const name = `${prefix}${this.options.name}_seconds`;
    const head = [`# HELP ${name} ${this.options.help}`, `# TYPE ${name} histogram`];
    const lines = [...this.#series.values()].flatMap((series) => this.#formatSeries(name, series));
    return `${[...head, ...lines].join('\n')}\n`;
  }

  #formatSeries(name: string, { labels, counts, sumMs }: Series): string[] {
    const ownLabels = this.options.labelNames.map(
      (label, index) => `${label}="${labels[index] ?? ''}"`,
    );
    const withLabels = (...more: string[]): string => {
      const all = [...ownLabels, ...more];
      return all.length === 0 ? '' : `{${all.join(',')}}`;
    };
    let total = 0;
    const buckets = counts.map((count, index) => {
      total += count;
      const boundMs = BUCKET_BOUNDS_MS[index];
      const bound = boundMs === undefined ? '+Inf' : boundMs / MILLISECONDS_PER_SECOND;
      return `${name}_bucket${withLabels(`le="${bound}"`)} ${total}`;
    });
    return [
      ...buckets,
      `${name}_sum${withLabels()} ${sumMs / MILLISECONDS_PER_SECOND}`,
      `${name}_count${withLabels()} ${total}`,
    ];
  }
}
