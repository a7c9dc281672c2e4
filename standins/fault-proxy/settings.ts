/** Definition and fault settings of a route of the fault proxy. */
import { z } from 'zod';

/** `up`: from client to target; `down`: from target to client. */
export const DIRECTIONS = ['up', 'down'] as const;
export type Direction = (typeof DIRECTIONS)[number];

/** Faults of one direction. */
export interface DirectionFaults {
  /** Added delay in this direction, in milliseconds. */
  readonly latencyMs: number;
  /** Maximum further delay, uniformly distributed, in milliseconds; order is kept. */
  readonly jitterMs: number;
  /** Bytes per second over one connection; 0 means no limit. */
  readonly bytesPerSecond: number;
  /** A black hole: bytes, ends and resets are held back until the fault is removed. */
  readonly cut: boolean;
}

export const NO_FAULTS: DirectionFaults = {
  latencyMs: 0,
  jitterMs: 0,
  bytesPerSecond: 0,
  cut: false,
};

const directionSettings = z.strictObject({
  latencyMs: z.number().min(0).optional(),
  jitterMs: z.number().min(0).optional(),
  bytesPerSecond: z.number().min(0).optional(),
  cut: z.boolean().optional(),
});

/** Body of `POST /routes/:name/faults`. Absent fields stay as they are. */
export const routeFaultSettings = z.strictObject({
  up: directionSettings.optional(),
  down: directionSettings.optional(),
  /** New connections are refused; open ones continue. */
  refuse: z.boolean().optional(),
  /** Seed of the random jitter, a 32-bit integer. */
  seed: z.int().optional(),
});
export type RouteFaultSettings = z.infer<typeof routeFaultSettings>;

/** One route: its listen and target addresses. */
export const routeDefinition = z.object({
  name: z.string().min(1),
  listenHost: z.string().min(1).default('127.0.0.1'),
  listenPort: z.int().min(0).max(65_535).default(0),
  targetHost: z.string().min(1),
  targetPort: z.int().min(1).max(65_535),
});
export type RouteDefinition = z.infer<typeof routeDefinition>;
/** A route as given in a request, with defaults omitted. */
export type RouteRequest = z.input<typeof routeDefinition>;

const ROUTE_PATTERN = /^([^=]+)=([^:]+):(\d+)->([^:]+):(\d+)$/;

/** A route as a flag value: `name=listenHost:port->targetHost:port`. */
export const routeFlag = z
  .string()
  .regex(ROUTE_PATTERN, 'expected name=listenHost:port->targetHost:port')
  .transform((text): RouteRequest => {
    const [, name = '', listenHost = '', listenPort, targetHost = '', targetPort] =
      ROUTE_PATTERN.exec(text) ?? [];
    return {
      name,
      listenHost,
      listenPort: Number(listenPort),
      targetHost,
      targetPort: Number(targetPort),
    };
  })
  .pipe(routeDefinition);
