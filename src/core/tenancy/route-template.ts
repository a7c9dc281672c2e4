/**
 * Resource limits of a published route at a node: the template of its type, filled in with the route's own fields.
 * Templates are compiled when the program is built (src/core/configuration/route-templates.ts), so
 * that the program loads neither a YAML parser nor schemas at startup.
 */
import type { RetryBudgetOptions } from '../retry/budget.js';
import type { Milliseconds } from '../units.js';
import type { ConnectionPolicy } from './allowance.js';

/** Types of routes, with one template each. */
export const ROUTE_TYPES = ['primary', 'bounded-staleness', 'read-your-writes'] as const;
export type RouteType = (typeof ROUTE_TYPES)[number];

/** Fields of a published route that templates may refer to. */
export const ROUTE_PARAMETERS = [
  'priority',
  'targetLatencyMs',
  'timeoutMs',
  'maxStalenessMs',
] as const;
export type RouteParameter = (typeof ROUTE_PARAMETERS)[number];
export type RouteFields = Readonly<Record<RouteParameter, number>>;

/** The policy of a route template, filled in. */
export interface RoutePolicyFields extends ConnectionPolicy {
  /** 0 is the highest. */
  readonly priority: number;
  /** Target latency of one operation. */
  readonly targetLatencyMs: Milliseconds;
  /** Maximum number of callers' sessions at one node. */
  readonly maxSessions: number;
  /** Maximum number of values, and of prepared names, that one session may hold. */
  readonly maxSessionEntries: number;
  /** Fraction of the target latency that a statement may wait before any instance could be tried. */
  readonly untriedPatienceShare: number;
  /** Retries allowed per first attempt. */
  readonly retryRatio: number;
  /** Maximum number of saved-up retries. */
  readonly retryBurst: number;
}

/** A fixed value, or the field of the route that supplies the value. */
export type FieldSource = number | { readonly parameter: RouteParameter };

/** Range of a route's field; published values outside it are clamped. */
export interface ParameterBounds {
  readonly minimum?: number;
  readonly maximum?: number;
}

/** A compiled route template. */
export interface RouteTemplate {
  readonly name: string;
  readonly parameters: Readonly<Partial<Record<RouteParameter, ParameterBounds>>>;
  readonly policy: Readonly<Record<keyof RoutePolicyFields, FieldSource>>;
}

export type RouteTemplates = Readonly<Record<RouteType, RouteTemplate>>;

/** Resource limits of one tenant of the direct gateway at a node. */
export interface RoutePolicy {
  readonly template: string;
  readonly priority: number;
  /** Target latency of one operation. */
  readonly targetLatencyMs: Milliseconds;
  readonly connections: ConnectionPolicy;
  readonly maxSessions: number;
  readonly maxSessionEntries: number;
  /** How long a statement may wait before any instance could be tried. */
  readonly untriedPatienceMs: Milliseconds;
  readonly retries: RetryBudgetOptions;
}

/** The policy of a route: the template of its type, filled in with the route's fields. */
export function resolveRoutePolicy(
  templates: RouteTemplates,
  type: RouteType,
  fields: RouteFields,
): RoutePolicy {
  const template = templates[type];
  const fill = (field: keyof RoutePolicyFields): number => {
    const source = template.policy[field];
    if (typeof source === 'number') return source;
    return clamp(fields[source.parameter], template.parameters[source.parameter]);
  };
  return {
    template: template.name,
    priority: fill('priority'),
    targetLatencyMs: fill('targetLatencyMs'),
    connections: {
      queueWeight: fill('queueWeight'),
      maxWaiting: fill('maxWaiting'),
      inFlightShare: fill('inFlightShare'),
      inFlightFloor: fill('inFlightFloor'),
    },
    maxSessions: fill('maxSessions'),
    maxSessionEntries: fill('maxSessionEntries'),
    untriedPatienceMs: fill('targetLatencyMs') * fill('untriedPatienceShare'),
    retries: { ratio: fill('retryRatio'), capacity: fill('retryBurst') },
  };
}

function clamp(value: number, bounds: ParameterBounds = {}): number {
  const { minimum = 0, maximum = Number.MAX_SAFE_INTEGER } = bounds;
  return Math.min(maximum, Math.max(minimum, value));
}
