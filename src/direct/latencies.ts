/** Latency histograms of a direct gateway. Labels must have few values, so there is none for tenants. */
import type { Milliseconds } from '../core/units.js';
import { LatencyHistogram } from '../observability/latency-histogram.js';
import { outcomeOf, type RequestEnd, type RequestLog } from './request-log.js';

export interface GatewayLatencies {
  readonly statements: LatencyHistogram;
  readonly connectionWaits: LatencyHistogram;
  readonly instanceAnswers: LatencyHistogram;
  readonly storeCalls: LatencyHistogram;
  readonly primaryChanges: LatencyHistogram;
  readonly admissionRefusals: LatencyHistogram;
  readonly admissionErrors: LatencyHistogram;
}

export function createLatencies(): GatewayLatencies {
  return {
    statements: new LatencyHistogram({
      name: 'statement_duration',
      help: "from the arrival of a caller's statement to its response",
      labelNames: ['route_type', 'outcome'],
    }),
    connectionWaits: new LatencyHistogram({
      name: 'connection_wait',
      help: 'time that a statement or transaction waited for a connection',
      labelNames: ['way', 'outcome'],
    }),
    instanceAnswers: new LatencyHistogram({
      name: 'instance_answer',
      help: 'from sending a statement to an instance to its successful response',
      labelNames: [],
    }),
    storeCalls: new LatencyHistogram({
      name: 'store_call',
      help: 'duration of calls to the store, except polls of watches',
      labelNames: ['call', 'outcome'],
    }),
    primaryChanges: new LatencyHistogram({
      name: 'primary_change',
      help: 'from the report that a primary is being replaced to the new primary',
      labelNames: [],
    }),
    admissionRefusals: new LatencyHistogram({
      name: 'admission_refusal',
      help: 'time that statements waited before admission refused them',
      labelNames: ['cause', 'priority'],
    }),
    admissionErrors: new LatencyHistogram({
      name: 'admission_error',
      help: 'absolute error of the expected wait of a statement',
      labelNames: ['priority'],
    }),
  };
}

/** Records the latencies of callers' requests. */
export class RequestLatencies implements RequestLog {
  constructor(
    private readonly statements: LatencyHistogram,
    private readonly now: () => Milliseconds,
  ) {}

  requestEnded(end: RequestEnd): void {
    const now = this.now();
    this.statements.observe(now - end.trace.beganAt, end.routeType, outcomeOf(end, now));
  }
}
