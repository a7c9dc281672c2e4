/** Generated from deploy/templates.yaml by `npm run generate:templates`; not to be edited. */
import type { RouteTemplates } from '../core/tenancy/route-template.js';

/** The template of each type of route. */
export const ROUTE_TEMPLATES: RouteTemplates = {
  primary: {
    name: 'strict',
    parameters: {
      priority: { minimum: 0, maximum: 9007199254740991 },
      targetLatencyMs: { minimum: 0, maximum: 86400000 },
    },
    policy: {
      priority: { parameter: 'priority' },
      targetLatencyMs: { parameter: 'targetLatencyMs' },
      queueWeight: 1,
      maxWaiting: 200,
      inFlightShare: 0.67,
      inFlightFloor: 2,
      maxSessions: 2000,
      maxSessionEntries: 256,
      untriedPatienceShare: 0.2,
      retryRatio: 10,
      retryBurst: 1000,
    },
  },
  'bounded-staleness': {
    name: 'lookup',
    parameters: {
      priority: { minimum: 0, maximum: 9007199254740991 },
      targetLatencyMs: { minimum: 0, maximum: 86400000 },
    },
    policy: {
      priority: { parameter: 'priority' },
      targetLatencyMs: { parameter: 'targetLatencyMs' },
      queueWeight: 1,
      maxWaiting: 200,
      inFlightShare: 0.67,
      inFlightFloor: 2,
      maxSessions: 2000,
      maxSessionEntries: 256,
      untriedPatienceShare: 0.2,
      retryRatio: 10,
      retryBurst: 1000,
    },
  },
  'read-your-writes': {
    name: 'session',
    parameters: {
      priority: { minimum: 0, maximum: 9007199254740991 },
      targetLatencyMs: { minimum: 0, maximum: 86400000 },
    },
    policy: {
      priority: { parameter: 'priority' },
      targetLatencyMs: { parameter: 'targetLatencyMs' },
      queueWeight: 1,
      maxWaiting: 200,
      inFlightShare: 0.67,
      inFlightFloor: 2,
      maxSessions: 2000,
      maxSessionEntries: 256,
      untriedPatienceShare: 0.2,
      retryRatio: 10,
      retryBurst: 1000,
    },
  },
};
