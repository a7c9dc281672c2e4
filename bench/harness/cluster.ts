/**
 * A complete cluster of real processes on loopback: store, machine list, database groups, a fault
 * proxy in front of all instances, and proxies, with templates and tenants published.
 */
import { randomBytes, randomUUID } from 'node:crypto';
import { parseDeclarations } from '../../src/core/configuration/declaration.js';
import { MeadowstackError } from '../../src/core/errors.js';
import { Publisher } from '../../src/node/configuration/publisher.js';
import { DEFAULT_STORE_CLIENT_OPTIONS, StoreClient } from '../../src/platform/store-client.js';
import { createScramVerifier } from '../../src/postgres/scram-verifier.js';
import {
  type DatabaseGroup,
  type DatabaseGroupOptions,
  type DatabaseInstanceHandle,
  startDatabaseGroup,
} from './database-group.js';
import {
  type RunningFaultProxy,
  type RunningMachines,
  type RunningStore,
  startFaultProxy,
  startMachines,
  startStore,
} from './platform.js';
import { type RunningProxy, startProxy } from './proxy-process.js';

const LOOPBACK = '127.0.0.1';
const SECRET_BYTES = 32;
const PROCESS_SECRET_BYTES = 8;
/**
 * Part of all passwords, different in each process: a port that a cluster has given up may be bound by one of another
 * process, whose callers and proxies must not be served there.
 */
export const PROCESS_SECRET = randomBytes(PROCESS_SECRET_BYTES).toString('hex');
/** Password of all roles on the back ends. */
export const BACKEND_PASSWORD = `backend-${PROCESS_SECRET}`;

/** The cluster could not be started, or has no part with a given name. */
export class ClusterError extends MeadowstackError {
  readonly code = 'MS-HARNESS-CLUSTER';
}

export interface ClusterGroup extends DatabaseGroupOptions {
  readonly group: string;
  readonly zones: readonly string[];
  readonly slots: number;
  readonly maxConnections: number;
}

/** A tenant as the cluster publishes it. */
export interface ClusterTenant {
  readonly name: string;
  readonly password: string;
  /** Database names; each is also the name of its group. */
  readonly databases: readonly string[];
  /** YAML of further `parameters`, indented by two spaces; may be empty. */
  readonly parameters?: string;
  readonly template: string;
}

export interface ClusterProxy {
  readonly nodeId: string;
  readonly zone: string;
  /** Port for the links of other proxies; by default one that the system chooses. */
  readonly peerPort?: number;
}

/** Address at which callers reach a proxy. */
export interface CallerAddress {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

export interface ClusterOptions {
  readonly groups: readonly ClusterGroup[];
  readonly proxies: readonly ClusterProxy[];
  /** YAML documents of the templates. */
  readonly templates: string;
  readonly tenants: readonly ClusterTenant[];
  /** One-way latency in ms of the route to an instance. */
  readonly instanceLatencyMs?: number;
  /**
   * One-way latency in ms between callers and proxies. If defined (even 0), callers connect through a
   * second fault proxy, whose addresses stay the same when a proxy is replaced.
   */
  readonly callerLatencyMs?: number;
  readonly proxyFlags?: readonly string[];
  /** Proxies connect to the instances directly instead of through the fault proxy, to measure overhead. */
  readonly bypassesFaultProxy?: boolean;
  /** Called with a message when a part of the cluster has started. */
  readonly onStep?: (step: string) => void;
}

export class Cluster {
  readonly #options: ClusterOptions;
  readonly #sessionKeyHex = randomBytes(SECRET_BYTES).toString('hex');
  readonly groups = new Map<string, DatabaseGroup>();
  readonly proxies = new Map<string, RunningProxy>();
  readonly #callerAddresses = new Map<string, CallerAddress>();

  private constructor(
    options: ClusterOptions,
    readonly store: RunningStore,
    readonly machines: RunningMachines,
    readonly faults: RunningFaultProxy,
    /** Fault proxy with a route for each node id; undefined if callers connect directly. */
    readonly callerFaults: RunningFaultProxy | undefined,
  ) {
    this.#options = options;
  }

  static async start(options: ClusterOptions): Promise<Cluster> {
    const [store, machines, faults, callerFaults] = await Promise.all([
      startStore(),
      startMachines(),
      startFaultProxy(),
      options.callerLatencyMs === undefined ? undefined : startFaultProxy(),
    ]);
    options.onStep?.('store, machine list and fault proxy are up');
    const cluster = new Cluster(options, store, machines, faults, callerFaults);
    try {
      await Promise.all([
        cluster.publishTexts([options.templates, ...options.tenants.map(tenantYaml)]),
        ...options.groups.map((group) => cluster.#startGroup(group)),
      ]);
      await Promise.all(options.proxies.map((proxy) => cluster.startProxy(proxy)));
      return cluster;
    } catch (error) {
      await cluster.stop();
      throw error;
    }
  }

  /** Publishes YAML documents without expected revisions; returns the revision. */
  async publishTexts(texts: readonly string[]): Promise<number> {
    const client = new StoreClient({
      ...DEFAULT_STORE_CLIENT_OPTIONS,
      endpoint: { host: LOOPBACK, port: this.store.port },
      clientName: 'harness',
    });
    const publisher = new Publisher({ store: client, random: Math.random, wait: pause });
    try {
      return await publishDeclarations(publisher, texts);
    } finally {
      client.close();
    }
  }

  /** Addresses for callers, sorted by name of the proxy. */
  get callerAddresses(): readonly CallerAddress[] {
    const addresses = [...this.#callerAddresses.values()];
    return addresses.sort((left, right) => left.name.localeCompare(right.name));
  }

  /** Starts a proxy, or its replacement with the same node id, and adds it to the machine list. */
  async startProxy(proxy: ClusterProxy): Promise<RunningProxy> {
    const running = await startProxy({
      ...proxy,
      storePort: this.store.port,
      machinesPort: this.machines.port,
      sessionKeyHex: this.#sessionKeyHex,
      backendPassword: BACKEND_PASSWORD,
      extraFlags: this.#options.proxyFlags ?? [],
    });
    this.#options.onStep?.(`${proxy.nodeId} serves`);
    this.proxies.set(proxy.nodeId, running);
    await this.#routeCallers(running);
    await this.machines.upsert({
      role: 'proxy',
      name: proxy.nodeId,
      zone: proxy.zone,
      host: running.peer.host,
      peerPort: running.peer.port,
      state: 'live',
    });
    return running;
  }

  proxy(nodeId: string): RunningProxy {
    const proxy = this.proxies.get(nodeId);
    if (proxy === undefined) throw new ClusterError(`no proxy ${nodeId}`);
    return proxy;
  }

  group(name: string): DatabaseGroup {
    const group = this.groups.get(name);
    if (group === undefined) throw new ClusterError(`no group ${name}`);
    return group;
  }

  /** Ends all processes. */
  async stop(): Promise<void> {
    await Promise.all([...this.proxies.values()].map((proxy) => proxy.kill()));
    await Promise.all([
      ...[...this.groups.values()].map((group) => group.stop()),
      this.store.stop(),
      this.machines.stop(),
      this.faults.stop(),
      this.callerFaults?.stop(),
    ]);
  }

  async #routeCallers({ nodeId, callers }: RunningProxy): Promise<void> {
    if (this.callerFaults === undefined) {
      this.#callerAddresses.set(nodeId, { name: nodeId, ...callers });
      return;
    }
    const earlier = this.#callerAddresses.get(nodeId);
    if (earlier !== undefined) await this.callerFaults.removeRoute(nodeId);
    const route = await this.callerFaults.addRoute({
      name: nodeId,
      listenPort: earlier?.port ?? 0,
      targetHost: callers.host,
      targetPort: callers.port,
    });
    const latencyMs = this.#options.callerLatencyMs ?? 0;
    await this.callerFaults.setFaults(nodeId, { up: { latencyMs }, down: { latencyMs } });
    const { listenHost: host, listenPort: port } = route;
    this.#callerAddresses.set(nodeId, { name: nodeId, host, port });
  }

  async #startGroup(options: ClusterGroup): Promise<void> {
    const group = await startDatabaseGroup({ ...options, password: BACKEND_PASSWORD });
    this.groups.set(options.group, group);
    this.#options.onStep?.(`group ${options.group} is up`);
    for (const instance of group.instances) {
      const address = await this.#addInstanceRoute(instance);
      await this.machines.upsert({
        role: 'database',
        name: instance.name,
        group: options.group,
        zone: instance.zone,
        host: address.host,
        port: address.port,
        slots: options.slots,
        maxConnections: options.maxConnections,
        state: 'live',
      });
    }
  }

  /** Adds the route to an instance; returns the address that proxies connect to. */
  async #addInstanceRoute(
    instance: DatabaseInstanceHandle,
  ): Promise<{ host: string; port: number }> {
    if (this.#options.bypassesFaultProxy === true) {
      return { host: instance.host, port: instance.pgPort };
    }
    const route = await this.faults.addRoute({
      name: instance.name,
      targetHost: instance.host,
      targetPort: instance.pgPort,
    });
    const latencyMs = this.#options.instanceLatencyMs ?? 0;
    if (latencyMs > 0) {
      const delayed = { latencyMs };
      await this.faults.setFaults(instance.name, { up: delayed, down: delayed });
    }
    return { host: route.listenHost, port: route.listenPort };
  }
}

/** YAML of the tenant's declaration. */
export function tenantYaml(tenant: ClusterTenant): string {
  const databases = tenant.databases
    .map((database) => `    - { database: ${database}, group: ${database} }`)
    .join('\n');
  return [
    'kind: Tenant',
    `name: ${tenant.name}`,
    `template: ${tenant.template}`,
    `scramVerifier: ${createScramVerifier(tenant.password)}`,
    'parameters:',
    '  databases:',
    databases,
    tenant.parameters ?? '',
  ].join('\n');
}

async function publishDeclarations(
  publisher: Publisher,
  texts: readonly string[],
): Promise<number> {
  const parsed = parseDeclarations(
    texts.map((text, index) => ({ source: `declaration-${index + 1}.yaml`, text })),
  );
  if (parsed.isErr()) throw parsed.error;
  const outcome = await publisher.publish({
    publishId: randomUUID(),
    publishedAt: Date.now(),
    author: 'harness',
    comment: 'set up by the harness',
    changes: parsed.value.map((located) => ({ type: 'put', located })),
    expectedRevisions: new Map(),
  });
  if (outcome.isErr()) throw outcome.error;
  return outcome.value.revision;
}

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
