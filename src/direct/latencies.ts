/** Latency histograms of a direct gateway. Their labels have few values; tenants are no label. */
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

/** All of them, empty. */
export function createLatencies(): GatewayLatencies {
  return {
    statements: new LatencyHistogram({
      name: 'statement_duration',
      help: 'from the arrival of a statement of a caller to its answer',
      labelNames: ['route_type', 'outcome'],
    }),
    connectionWaits: new LatencyHistogram({
      name: 'connection_wait',
      help: 'wait of a statement or transaction for a connection',
      labelNames: ['way', 'outcome'],
    }),
    instanceAnswers: new LatencyHistogram({
      name: 'instance_answer',
      help: 'from sending a statement to an instance to its good answer',
      labelNames: [],
    }),
    storeCalls: new LatencyHistogram({
      name: 'store_call',
      help: 'calls to the store, without the polls of watches',
      labelNames: ['call', 'outcome'],
    }),
    primaryChanges: new LatencyHistogram({
      name: 'primary_change',
      help: 'from hearing that a primary is being replaced to the next one',
      labelNames: [],
    }),
    admissionRefusals: new LatencyHistogram({
      name: 'admission_refusal',
      help: 'wait of statements that admission refused, until then',
      labelNames: ['cause', 'priority'],
    }),
    admissionErrors: new LatencyHistogram({
      name: 'admission_error',
      help: 'by how much the expected wait of a statement was wrong, either way',
      labelNames: ['priority'],
    }),
  };
}

/** Counts how long the requests of callers took. */
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
