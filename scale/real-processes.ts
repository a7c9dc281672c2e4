/**
 * Measures the control-plane cost of a few real `meadowstack proxy` processes with a store, a machine list
 * and one database group, on loopback and without callers. Kernel time and garbage collection are included;
 * the figures serve to check those of hollow nodes.
 */
import { readFileSync } from 'node:fs';
import { setTimeout as pause } from 'node:timers/promises';
import { Cluster } from '../bench/harness/cluster.js';
import { readProcessorSeconds } from '../bench/overhead/processor-time.js';
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../src/core/units.js';
import type { NodeStatus } from '../src/node/node-status.js';
import { roundTo } from './distribution.js';
import { ScaleRunError } from './errors.js';

const WARM_UP_MS = 15_000;
const PUBLISH_PERIOD_MS = 2270;
const BYTES_PER_KILOBYTE = 1024;
const GROUP = 'orders';
const ZONES = ['a', 'b', 'c'];
const CPU_SHARE_DECIMALS = 4;

const TEMPLATE = `kind: Template
name: standard
parameters:
  databases: { type: databases }
  connections: { type: integer, default: 20, minimum: 1, maximum: 1000 }
policy:
  databaseRole: app
  databases: { parameter: databases }
  maxConnections: { parameter: connections }
  maxInFlight: 100
  maxQueued: 100
  maxBackendConnections: 10
  queueWeight: 1
  requestsPerSecond: 1000
  burst: 100
  requestKinds:
    lookup: { stalenessBoundMs: 1000 }
`;

export interface RealProcessFigures {
  readonly proxies: number;
  readonly seconds: number;
  /** Of one whole process, including the owners' probes of the group's instances. */
  readonly cpuCoreShare: number;
  readonly cpuCoreShareMax: number;
  /** Membership datagrams and peer links, sent and received. */
  readonly bytesPerSecondPerNode: number;
  readonly residentBytes: number;
  readonly storeRequestsPerNodePerMinute: number;
}

interface ProxySample {
  readonly processorSeconds: number;
  readonly bytes: number;
  readonly storeRequests: number;
}

export async function measureRealProcesses(
  proxies: number,
  durationMs: Milliseconds,
): Promise<RealProcessFigures> {
  const cluster = await Cluster.start({
    groups: [{ group: GROUP, zones: ZONES, slots: 5, maxConnections: 100, connectionDelayMs: 1 }],
    proxies: Array.from({ length: proxies }, (_, index) => ({
      nodeId: `proxy-${index}`,
      zone: ZONES[index % ZONES.length] ?? 'a',
    })),
    templates: TEMPLATE,
    tenants: [{ name: 'tenant', password: 'password', databases: [GROUP], template: 'standard' }],
  });
  const publishing = new AbortController();
  try {
    await pause(WARM_UP_MS);
    const published = publishUntil(cluster, publishing.signal);
    const before = await sampleProxies(cluster);
    await pause(durationMs);
    const after = await sampleProxies(cluster);
    publishing.abort();
    await published;
    return computeFigures(cluster, before, after, durationMs / MILLISECONDS_PER_SECOND);
  } finally {
    publishing.abort();
    await cluster.stop();
  }
}

async function publishUntil(cluster: Cluster, signal: AbortSignal): Promise<void> {
  for (let round = 0; !signal.aborted; round += 1) {
    await cluster.publishTexts([TEMPLATE.replace('default: 20', `default: ${20 + (round % 100)}`)]);
    await pause(PUBLISH_PERIOD_MS, undefined, { signal }).catch(() => undefined);
  }
}

function sampleProxies(cluster: Cluster): Promise<ProxySample[]> {
  return Promise.all(
    [...cluster.proxies.values()].map(async ({ pid, admin }) => {
      if (admin === undefined) throw new ScaleRunError('a proxy has no admin port');
      const response = await fetch(`http://${admin.host}:${admin.port}/status`);
      const { membership, peers, configuration } = (await response.json()) as NodeStatus;
      return {
        processorSeconds: readProcessorSeconds(pid) ?? 0,
        bytes:
          membership.bytesSent + membership.bytesReceived + peers.bytesSent + peers.bytesReceived,
        storeRequests: configuration.storeRequestsLastMinute,
      };
    }),
  );
}

function computeFigures(
  cluster: Cluster,
  before: readonly ProxySample[],
  after: readonly ProxySample[],
  seconds: number,
): RealProcessFigures {
  const spent = after.map((reading, index) => {
    const earlier = before[index];
    return {
      processor: (reading.processorSeconds - (earlier?.processorSeconds ?? 0)) / seconds,
      bytes: (reading.bytes - (earlier?.bytes ?? 0)) / seconds,
    };
  });
  const resident = [...cluster.proxies.values()].map(({ pid }) => residentBytes(pid));
  return {
    proxies: after.length,
    seconds,
    cpuCoreShare: roundTo(meanOf(spent.map(({ processor }) => processor)), CPU_SHARE_DECIMALS),
    cpuCoreShareMax: roundTo(
      Math.max(...spent.map(({ processor }) => processor)),
      CPU_SHARE_DECIMALS,
    ),
    bytesPerSecondPerNode: roundTo(meanOf(spent.map(({ bytes }) => bytes))),
    residentBytes: Math.round(meanOf(resident)),
    storeRequestsPerNodePerMinute: roundTo(meanOf(after.map((one) => one.storeRequests))),
  };
}

/** Source: proc(5), `/proc/<pid>/status`. */
function residentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'latin1');
  const match = /^VmRSS:\s+(\d+) kB$/m.exec(status);
  return Number(match?.[1] ?? 0) * BYTES_PER_KILOBYTE;
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
