/**
 * Starts stand-ins of the platform as child processes for benches and integration tests: the store,
 * the machine list and the fault proxy, each with typed control calls.
 */
import { z } from 'zod';
import type { Machine } from '../../src/platform/contract.js';
import { machineSchema } from '../../src/platform/machine-schema.js';
import type { ServiceFaultSettings } from '../../standins/common/service-faults.js';
import type { Side } from '../../standins/fault-proxy/connection.js';
import type { RouteState } from '../../standins/fault-proxy/route.js';
import type { RouteFaultSettings, RouteRequest } from '../../standins/fault-proxy/settings.js';
import type { ClaimedState, MachineKey } from '../../standins/machines/machine-list.js';
import type { StoreFaultSettings } from '../../standins/store/faults.js';
import { type StartedChild, startChild } from './child-process.js';
import { ControlClient } from './control-client.js';

const port = z.int().positive();
const serviceAnnouncement = z.object({ host: z.string(), port, controlPort: port });
const proxyAnnouncement = z.object({ host: z.string(), controlPort: port });
const emptyResponse = z.object({});

/** A stand-in that runs as a child process. */
export interface RunningStandin {
  readonly pid: number;
  readonly host: string;
  readonly controlPort: number;
  /** Ends the process and resolves when it has exited. */
  stop(): Promise<void>;
}

interface RunningService extends RunningStandin {
  readonly port: number;
}

const requestCounter = z.object({
  client: z.string(),
  path: z.string(),
  requests: z.int(),
  rateLimited: z.int(),
  answersLost: z.int(),
  failed: z.int(),
});
/** Requests of one client to one path of the store. */
export type StoreRequestCounter = z.output<typeof requestCounter>;

const storeState = z.object({
  revision: z.int(),
  compactedRevision: z.int(),
  leases: z.array(z.string()),
  watches: z.int(),
});
export type StoreState = z.output<typeof storeState>;

/** The store stand-in. */
export interface RunningStore extends RunningService {
  /** Changes the given settings; others stay the same. */
  setFaults(settings: StoreFaultSettings): Promise<void>;
  /** Ends all faults. */
  heal(): Promise<void>;
  /** Compacts the store's history up to a revision, by default the latest. */
  compact(revision?: number): Promise<void>;
  /** Expires a lease now, by default all leases. */
  expireLeases(id?: string): Promise<void>;
  counters(): Promise<readonly StoreRequestCounter[]>;
  resetCounters(): Promise<void>;
  state(): Promise<StoreState>;
}

export interface StoreFlags {
  readonly port?: number;
  /** Interval between progress notifications of watches. */
  readonly progressIntervalMs?: number;
}

/** Starts a store stand-in. */
export async function startStore(flags: StoreFlags = {}): Promise<RunningStore> {
  const child = await startChild(
    'standins/store/main.js',
    toArguments({ port: flags.port, 'progress-interval-ms': flags.progressIntervalMs }),
    serviceAnnouncement,
  );
  const control = createControlClient(child);
  const setFaults = async (settings: StoreFaultSettings): Promise<void> => {
    await control.call('POST', '/faults', emptyResponse, settings);
  };
  return {
    ...toRunningStandin(child),
    port: child.announcement.port,
    setFaults,
    heal: () =>
      setFaults({
        outage: 'none',
        answerDelayMs: 0,
        requestsPerSecond: null,
        loseNextAnswers: 0,
        loseAnswerProbability: 0,
      }),
    compact: async (revision) => {
      await control.call('POST', '/compact', emptyResponse, { revision });
    },
    expireLeases: async (id) => {
      await control.call('POST', '/leases/expire', emptyResponse, { id });
    },
    counters: async () => {
      const schema = z.object({ counters: z.array(requestCounter) });
      return (await control.call('GET', '/counters', schema)).counters;
    },
    resetCounters: async () => {
      await control.call('POST', '/counters/reset', emptyResponse);
    },
    state: () => control.call('GET', '/state', storeState),
  };
}

const machinesState = z.object({
  version: z.int(),
  machines: z.array(z.unknown()),
  actual: z.array(machineSchema),
  polls: z.int(),
});
export type MachinesState = z.output<typeof machinesState>;

/** The machine-list stand-in. */
export interface RunningMachines extends RunningService {
  upsert(machine: Machine): Promise<void>;
  markLeaving(machine: MachineKey): Promise<void>;
  remove(machine: MachineKey): Promise<void>;
  /** Makes the list report a given state instead of the true one; `null` ends this. */
  claim(machine: MachineKey, state: ClaimedState | null): Promise<void>;
  /** Sets entries that each response contains in addition, unchecked. */
  setMalformed(entries: readonly unknown[]): Promise<void>;
  setLag(lagMs: number): Promise<void>;
  setFrozen(frozen: boolean): Promise<void>;
  setFaults(settings: ServiceFaultSettings): Promise<void>;
  state(): Promise<MachinesState>;
}

export interface MachinesFlags {
  readonly port?: number;
  readonly lagMs?: number;
}

/** Starts a machine-list stand-in. */
export async function startMachines(flags: MachinesFlags = {}): Promise<RunningMachines> {
  const child = await startChild(
    'standins/machines/main.js',
    toArguments({ port: flags.port, 'lag-ms': flags.lagMs }),
    serviceAnnouncement,
  );
  const control = createControlClient(child);
  const post = async (path: string, body: unknown): Promise<void> => {
    await control.call('POST', path, emptyResponse, body);
  };
  return {
    ...toRunningStandin(child),
    port: child.announcement.port,
    upsert: (machine) => post('/machines', machine),
    markLeaving: ({ role, name }) => post('/machines/leaving', { role, name }),
    remove: ({ role, name }) => post('/machines/remove', { role, name }),
    claim: ({ role, name }, state) => post('/claims', { role, name, state }),
    setMalformed: (entries) => post('/malformed', { entries }),
    setLag: (lagMs) => post('/lag', { lagMs }),
    setFrozen: (frozen) => post('/freeze', { frozen }),
    setFaults: (settings) => post('/faults', settings),
    state: () => control.call('GET', '/state', machinesState),
  };
}

const directionFaults = z.object({
  latencyMs: z.number(),
  jitterMs: z.number(),
  bytesPerSecond: z.number(),
  cut: z.boolean(),
});
const routeState: z.ZodType<RouteState> = z.object({
  name: z.string(),
  listenHost: z.string(),
  listenPort: port,
  targetHost: z.string(),
  targetPort: port,
  refuse: z.boolean(),
  faults: z.object({ up: directionFaults, down: directionFaults }),
  counters: z.object({
    connectionsAccepted: z.int(),
    connectionsOpen: z.int(),
    dialsFailed: z.int(),
    bytesUp: z.int(),
    bytesDown: z.int(),
  }),
});

/** The fault proxy. */
export interface RunningFaultProxy extends RunningStandin {
  /** Adds a route. With listen port 0 (the default) a free port is chosen, which the result contains. */
  addRoute(route: RouteRequest): Promise<RouteState>;
  removeRoute(name: string): Promise<void>;
  /** Changes the given settings; others stay the same. */
  setFaults(name: string, settings: RouteFaultSettings): Promise<RouteState>;
  /** Drops all traffic in both directions. */
  cut(name: string): Promise<RouteState>;
  /** Ends all faults; held bytes are delivered in order. */
  heal(name: string): Promise<RouteState>;
  /** Resets the open connections; returns their number. */
  reset(name: string): Promise<number>;
  /** Closes one side of the open connections without notice to the other; returns their number. */
  halfOpen(name: string, closedSide: Side): Promise<number>;
  route(name: string): Promise<RouteState>;
  routes(): Promise<readonly RouteState[]>;
}

export interface FaultProxyFlags {
  /** `precise`: latencies accurate to a fraction of a millisecond, for up to one core of CPU time. */
  readonly timing?: 'coarse' | 'precise';
}

/** Starts a fault proxy with no routes. */
export async function startFaultProxy(flags: FaultProxyFlags = {}): Promise<RunningFaultProxy> {
  const child = await startChild(
    'standins/fault-proxy/main.js',
    toArguments({ timing: flags.timing }),
    proxyAnnouncement,
  );
  const control = createControlClient(child);
  const pathOf = (name: string): string => `/routes/${encodeURIComponent(name)}`;
  const setFaults = (name: string, settings: RouteFaultSettings): Promise<RouteState> => {
    return control.call('POST', `${pathOf(name)}/faults`, routeState, settings);
  };
  const count = async (path: string, body?: unknown): Promise<number> => {
    const schema = z.object({ connections: z.int() });
    return (await control.call('POST', path, schema, body)).connections;
  };
  return {
    ...toRunningStandin(child),
    addRoute: (route) => control.call('POST', '/routes', routeState, route),
    removeRoute: async (name) => {
      await control.call('DELETE', pathOf(name), emptyResponse);
    },
    setFaults,
    cut: (name) => setFaults(name, { up: { cut: true }, down: { cut: true } }),
    heal: (name) => control.call('POST', `${pathOf(name)}/heal`, routeState),
    reset: (name) => count(`${pathOf(name)}/reset`),
    halfOpen: (name, closedSide) => count(`${pathOf(name)}/half-open`, { closedSide }),
    route: (name) => control.call('GET', pathOf(name), routeState),
    routes: async () => {
      const schema = z.object({ routes: z.array(routeState) });
      return (await control.call('GET', '/routes', schema)).routes;
    },
  };
}

type Announcement = z.output<typeof proxyAnnouncement>;

function createControlClient(child: StartedChild<Announcement>): ControlClient {
  return new ControlClient(child.announcement.host, child.announcement.controlPort);
}

function toRunningStandin(child: StartedChild<Announcement>): RunningStandin {
  const { host, controlPort } = child.announcement;
  return { pid: child.pid, host, controlPort, stop: child.stop };
}

/** Converts flags to arguments and omits undefined ones. */
function toArguments(flags: Readonly<Record<string, number | string | undefined>>): string[] {
  return Object.entries(flags).flatMap(([name, value]) => {
    return value === undefined ? [] : [`--${name}`, String(value)];
  });
}
