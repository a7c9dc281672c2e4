/**
 * What a published route may use of its node: its type's template, filled with the route's own fields.
 * Templates are compiled when the program is built (src/core/configuration/route-templates.ts), so
 * that a start loads neither a YAML parser nor schemas.
 */
import type { RetryBudgetOptions } from '../retry/budget.js';
import type { Milliseconds } from '../units.js';
import type { ConnectionPolicy } from './allowance.js';

/** Types of routes; there is one template for each. */
export const ROUTE_TYPES = ['primary', 'bounded-staleness', 'read-your-writes'] as const;
export type RouteType = (typeof ROUTE_TYPES)[number];

/** Fields of a published route that fill templates. */
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
  /** Aim for one operation. */
  readonly targetLatencyMs: Milliseconds;
  /** Callers' sessions at one node. */
  readonly maxSessions: number;
  /** Values, and prepared names, that one session may hold. */
  readonly maxSessionEntries: number;
  /** Part of the aim that a statement waits while no instance could be tried. */
  readonly untriedPatienceShare: number;
  /** Repeated attempts that each first attempt earns. */
  readonly retryRatio: number;
  /** Repeated attempts that may be saved up. */
  readonly retryBurst: number;
}

/** A value, or the route's field that gives it. */
export type FieldSource = number | { readonly parameter: RouteParameter };

/** Bounds of a route's field; what is published beyond them counts as the bound. */
export interface ParameterBounds {
  readonly minimum?: number;
  readonly maximum?: number;
}

/** A route template as the program holds it. */
export interface RouteTemplate {
  readonly name: string;
  readonly parameters: Readonly<Partial<Record<RouteParameter, ParameterBounds>>>;
  readonly policy: Readonly<Record<keyof RoutePolicyFields, FieldSource>>;
}

export type RouteTemplates = Readonly<Record<RouteType, RouteTemplate>>;

/** What one tenant of the direct gateway may use of a node. */
export interface RoutePolicy {
  readonly template: string;
  readonly priority: number;
  /** Aim for one operation. */
  readonly targetLatencyMs: Milliseconds;
  readonly connections: ConnectionPolicy;
  readonly maxSessions: number;
  readonly maxSessionEntries: number;
  /** How long a statement waits while no instance could be tried. */
  readonly untriedPatienceMs: Milliseconds;
  readonly retries: RetryBudgetOptions;
}

/** The policy of a route: the template of its type, filled with its fields. */
export function resolveRoutePolicy(
  templates: RouteTemplates,
  type: RouteType,
  fields: RouteFields,
): RoutePolicy {
  const template = templates[type];
  const fill = (field: keyof RoutePolicyFields): number => {
    const source = template.policy[field];
    if (typeof source === 'number') return source;
    return within(fields[source.parameter], template.parameters[source.parameter]);
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

function within(value: number, bounds: ParameterBounds = {}): number {
  const { minimum = 0, maximum = Number.MAX_SAFE_INTEGER } = bounds;
  return Math.min(maximum, Math.max(minimum, value));
}
