/** Checks missing responses, graceful shutdowns and the routes that gateways serve, around planned work. */
import type { RunRecord } from '../../standins/direct/run-log.js';
import type { ClientStatement, Rule, Violation } from './direct-history.js';

/** A period at a gateway; times are of the machine's monotonic clock. */
export interface GatewaySpan {
  readonly kind: string;
  /** Undefined for all gateways. */
  readonly gateway: string | undefined;
  readonly from: number;
  readonly until: number;
}

/** Faults and pauses that excuse a gateway. */
export interface Conditions {
  /** Unplanned faults of the gateway, its links, its instances or the store. */
  readonly disruptions: readonly GatewaySpan[];
  /** Times when the gateway or the observing process did not run. */
  readonly pauses: readonly GatewaySpan[];
}

/** The first SIGTERM to a process. */
export interface PlannedStop {
  readonly gateway: string;
  readonly at: number;
  /** Undefined while the process runs. */
  readonly ended: { readonly at: number; readonly how: number | string | null } | undefined;
}

/** A gateway's response to a session start. */
export interface ConfigurationProbe {
  readonly gateway: string;
  readonly database: string;
  /** True if the acknowledged configuration has a route for the database. */
  readonly isExpected: boolean;
  readonly code: string | undefined;
}

/** Requests without a response, and those whose gateway was paused (`late`). */
export interface UnansweredRequests {
  readonly violations: readonly Violation[];
  readonly late: readonly string[];
}

/** Bounds of the users' settings: `loss_slack_ms`, `contact_timeout_ms` and `grace_period_s`. */
const LOSS_SLACK_MS = 200;
const CONTACT_TIMEOUT_MS = 4000;
const GRACE_PERIOD_MS = 6000;

/** Finds requests that a gateway had read and not answered: they ran, or the connection ended too late. */
export function checkUnansweredRequests(
  statements: readonly ClientStatement[],
  runs: readonly RunRecord[],
  { disruptions, pauses }: Conditions,
): UnansweredRequests {
  const ranIds = new Set(runs.map(({ id }) => id));
  const violations: Violation[] = [];
  const late: string[] = [];
  for (const statement of statements) {
    const { gateway, sentAt, lost, id } = statement;
    if (gateway === undefined || lost?.wasTaken !== true) continue;
    const span = { gateway, from: sentAt, until: lost.at };
    if (touches(disruptions, { ...span, from: sentAt - CONTACT_TIMEOUT_MS })) continue;
    const hasRun = ranIds.has(id);
    const tookMs = lost.at - sentAt;
    if (!hasRun && tookMs <= LOSS_SLACK_MS) continue;
    const detail = `${describe(statement)}, ${hasRun ? 'ran' : 'not run'}, ended after ${Math.round(tookMs)} ms`;
    if (!hasRun && touches(pauses, span)) late.push(detail);
    else violations.push(violation('LOST', detail));
  }
  return { violations, late };
}

/** Finds graceful shutdowns that did not end the process, ended it too late, or with an exit code other than 0. */
export function checkPlannedStops(
  stops: readonly PlannedStop[],
  { disruptions, pauses }: Conditions,
): readonly Violation[] {
  return stops.flatMap(({ gateway, at, ended }) => {
    const until = ended?.at ?? Number.POSITIVE_INFINITY;
    const span = { gateway, from: at, until };
    if (touches(disruptions, { ...span, from: at - CONTACT_TIMEOUT_MS })) return [];
    if (ended === undefined) return [violation('STOP', `${gateway} runs on after SIGTERM`)];
    if (ended.how !== 0) return [violation('STOP', `${gateway} ended with ${ended.how}`)];
    const tookMs = until - at - pausedMs(pauses, span);
    if (tookMs <= GRACE_PERIOD_MS) return [];
    return [violation('STOP', `${gateway} took ${Math.round(tookMs)} ms to end`)];
  });
}

/** Finds acknowledged routes that a gateway does not serve, and removed routes that it does not refuse. */
export function checkServedRoutes(probes: readonly ConfigurationProbe[]): readonly Violation[] {
  return probes.flatMap(({ gateway, database, isExpected, code }) => {
    // Other codes, such as those of a gateway without a configuration, prove neither.
    if (code === (isExpected ? undefined : 'NODATABASE')) return [];
    const route = `${isExpected ? 'acknowledged' : 'dropped'} route ${database}`;
    return [violation('LOST', `${gateway} answers ${code ?? 'READY'} for the ${route}`)];
  });
}

type Span = Pick<GatewaySpan, 'gateway' | 'from' | 'until'>;

function touches(spans: readonly GatewaySpan[], { gateway, from, until }: Span): boolean {
  return spans.some(
    (one) =>
      (one.gateway === undefined || one.gateway === gateway) &&
      one.from <= until &&
      one.until >= from,
  );
}

function pausedMs(pauses: readonly GatewaySpan[], { gateway, from, until }: Span): number {
  const own = pauses.filter((one) => one.gateway === undefined || one.gateway === gateway);
  return own.reduce(
    (sum, one) => sum + Math.max(0, Math.min(one.until, until) - Math.max(one.from, from)),
    0,
  );
}

function describe({ session, gateway, id, text }: ClientStatement): string {
  return `session ${session} at ${gateway}: ${id} ${text}`;
}

function violation(rule: Rule, detail: string): Violation {
  return { rule, detail };
}
