/**
 * Templates of the direct gateway: `kind: Template` with `gateway: direct`. Their parameters are
 * the fields of a published route, which are all numbers; they have bounds but no defaults.
 */
import { z } from 'zod';
import { ROUTE_PARAMETERS, ROUTE_TYPES } from '../tenancy/route-template.js';
import { durationSchema } from './duration.js';
import { nameSchema, orReference } from './policy-schema.js';

const MAX_WEIGHT = 1000;
const MAX_WAITING = 100_000;
const MAX_CONNECTIONS = 100_000;
const MAX_SESSIONS = 1_000_000;
const MAX_SESSION_ENTRIES = 10_000;
const MAX_RETRY_RATIO = 1000;
const MAX_RETRY_BURST = 1_000_000;

const description = z.string().max(1000).optional();
const numberBounds = { minimum: z.number().optional(), maximum: z.number().optional() };

/** A field of published routes, and its bounds. */
export const routeParameterSchema = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('integer'), ...numberBounds, description }),
  z.strictObject({ type: z.literal('number'), ...numberBounds, description }),
  z.strictObject({
    type: z.literal('duration'),
    minimum: durationSchema.optional(),
    maximum: durationSchema.optional(),
    description,
  }),
]);
export type RouteParameterDeclaration = z.output<typeof routeParameterSchema>;

/** Schema of each field of the policy. */
export const ROUTE_POLICY_FIELDS = {
  priority: z.int().min(0),
  targetLatencyMs: durationSchema,
  queueWeight: z.number().positive().max(MAX_WEIGHT),
  maxWaiting: z.int().min(0).max(MAX_WAITING),
  inFlightShare: z.number().min(0).max(1),
  inFlightFloor: z.int().min(1).max(MAX_CONNECTIONS),
  maxSessions: z.int().min(0).max(MAX_SESSIONS),
  maxSessionEntries: z.int().min(0).max(MAX_SESSION_ENTRIES),
  untriedPatienceShare: z.number().min(0).max(1),
  retryRatio: z.number().min(0).max(MAX_RETRY_RATIO),
  retryBurst: z.number().min(0).max(MAX_RETRY_BURST),
} as const;

/** Schema of a template of the direct gateway. */
export const routeTemplateSchema = z.strictObject({
  kind: z.literal('Template'),
  gateway: z.literal('direct'),
  name: nameSchema,
  description,
  routeType: z.enum(ROUTE_TYPES),
  parameters: z.partialRecord(z.enum(ROUTE_PARAMETERS), routeParameterSchema).default({}),
  policy: z.strictObject({
    priority: orReference(ROUTE_POLICY_FIELDS.priority),
    targetLatencyMs: orReference(ROUTE_POLICY_FIELDS.targetLatencyMs),
    queueWeight: orReference(ROUTE_POLICY_FIELDS.queueWeight),
    maxWaiting: orReference(ROUTE_POLICY_FIELDS.maxWaiting),
    inFlightShare: orReference(ROUTE_POLICY_FIELDS.inFlightShare),
    inFlightFloor: orReference(ROUTE_POLICY_FIELDS.inFlightFloor),
    maxSessions: orReference(ROUTE_POLICY_FIELDS.maxSessions),
    maxSessionEntries: orReference(ROUTE_POLICY_FIELDS.maxSessionEntries),
    untriedPatienceShare: orReference(ROUTE_POLICY_FIELDS.untriedPatienceShare),
    retryRatio: orReference(ROUTE_POLICY_FIELDS.retryRatio),
    retryBurst: orReference(ROUTE_POLICY_FIELDS.retryBurst),
  }),
});
export type RouteTemplateDeclaration = z.output<typeof routeTemplateSchema>;
