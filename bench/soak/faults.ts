/** Injects the faults of a schedule into a running cluster, from outside its processes, and heals them. */
import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '../../src/core/units.js';
import type { DirectCluster, TestRoute } from '../../test/support/direct-cluster.js';
import { until } from '../../test/support/until.js';
import { ControlCallError } from '../harness/control-client.js';
import type { Fault, FaultKind, FaultOf } from './schedule.js';

/** Undoes a fault. */
type Heal = () => Promise<void>;

const STORE_LINK_DELAY_MS: Milliseconds = 150;
const REPLICA_LAG_MS: Milliseconds = 1500;
const LOST_CALLS = 8;
const FAILED_STATEMENTS = 30;

/** What faults are done to. */
export class FaultInjector {
  #published = 0;
  #replaced = 0;

  constructor(
    private readonly cluster: DirectCluster,
    /** The service whose instances are struck. */
    private readonly service: string,
    private readonly routes: readonly TestRoute[],
  ) {}

  /** Begins a fault; the answer ends it. */
  begin(fault: Fault): Promise<Heal> {
    const begin = this.#handlers[fault.kind] as (fault: Fault) => Promise<Heal>;
    return begin(fault);
  }

  readonly #handlers: {
    readonly [Kind in FaultKind]: (fault: FaultOf<Kind>) => Promise<Heal>;
  } = {
    kill: ({ gateway }) => this.#kill([this.#gatewayAt(gateway)]),
    'kill-many': ({ gateway, count }) =>
      this.#kill(Array.from({ length: count }, (_, index) => this.#gatewayAt(gateway + index))),
    'kill-leader': () => this.#kill([this.#leader()]),
    stop: ({ gateway }) => this.#stop(this.#gatewayAt(gateway)),
    pause: ({ gateway }) => this.#pause(this.#gatewayAt(gateway)),
    'cut-from-store': async ({ gateway }) => {
      const index = this.#gatewayAt(gateway);
      await this.cluster.setCutFromStore(index, true);
      return () => this.cluster.setCutFromStore(index, false);
    },
    'slow-store-link': async ({ gateway }) => {
      const index = this.#gatewayAt(gateway);
      await this.cluster.setStoreLinkDelay(index, STORE_LINK_DELAY_MS);
      return () => this.cluster.setStoreLinkDelay(index, 0);
    },
    'reset-store-link': async ({ gateway }) => {
      await this.cluster.resetStoreLink(this.#gatewayAt(gateway));
      return nothing;
    },
    'store-down': ({ isSilent, doLeasesWait }) =>
      this.#set(
        '/store/faults',
        { down: isSilent ? 'silent' : 'unavailable', leasesWait: doLeasesWait },
        { down: 'no', leasesWait: true },
      ),
    'store-slow': ({ factor }) =>
      this.#set('/store/faults', { slowFactor: factor }, { slowFactor: 1 }),
    'store-loses': ({ mode }) =>
      this.#set('/store/faults', { loseNext: LOST_CALLS, loseMode: mode }, { loseNext: 0 }),
    'store-forgets': () => this.#set('/store/compact'),
    'leases-lapse': () => this.#set('/store/leases/expire'),
    'promotion-silent': () => this.#set('/promotion/faults', { down: 'silent' }, { down: 'no' }),
    'primary-crash': () => this.#take('crash'),
    'primary-dark': () => this.#take('dark'),
    'primary-drain': async () => {
      const primary = await this.#primary();
      this.#replaced += 1;
      const replacementId = `i-${this.service}-next-${this.#replaced}`;
      const body = { extraMs: 200, replaceAfterMs: 100, replacementId };
      return this.#set(`/instances/${primary}/drain`, body);
    },
    'primary-cut': async () => {
      const primary = await this.#primary();
      const others = await this.#othersThan(primary);
      const path = `/groups/${this.service}/cuts`;
      return this.#set(path, { pairs: others.map((id) => [primary, id]) }, { pairs: [] });
    },
    'primary-loses-answers': async ({ count }) =>
      this.#set(
        `/instances/${await this.#primary()}/faults`,
        { loseAnswers: count },
        { loseAnswers: 0 },
      ),
    'replica-deaf': ({ instance }) =>
      this.#replica(instance, { isStalled: true }, { isStalled: false }),
    'replica-behind': ({ instance }) =>
      this.#replica(instance, { lagMs: REPLICA_LAG_MS }, { lagMs: 0 }),
    'replica-fails': ({ instance }) =>
      this.#replica(instance, { failNext: FAILED_STATEMENTS }, { failNext: 0 }),
    publish: async () => {
      const isPublished = await this.#publish();
      return async () => {
        if (!isPublished) await until('the store takes a configuration', () => this.#publish());
      };
    },
  };

  /** False while the store takes nothing. */
  async #publish(): Promise<boolean> {
    this.#published += 1;
    const timeoutMs = 2000 + this.#published;
    try {
      await this.cluster.publish(this.routes.map((route) => ({ ...route, timeoutMs })));
      return true;
    } catch (error) {
      if (error instanceof ControlCallError) return false;
      throw error;
    }
  }

  #gatewayAt(number: number): number {
    return number % this.cluster.gateways.length;
  }

  /** The gateway that took the lead last, as its log tells. */
  #leader(): number {
    const since = this.cluster.gateways.map((gateway) => {
      const taken = /"time":"([^"]+)"[^\n]*"event":"leadership taken"/g;
      return [...gateway.output().matchAll(taken)].at(-1)?.[1] ?? '';
    });
    return since.indexOf([...since].sort().at(-1) ?? '');
  }

  async #kill(indexes: readonly number[]): Promise<Heal> {
    const distinct = [...new Set(indexes)];
    await Promise.all(distinct.map((index) => this.cluster.kill(index)));
    return async () => this.#restart(distinct);
  }

  async #stop(index: number): Promise<Heal> {
    const { process: child, ended } = this.cluster.gateway(index);
    child.kill('SIGTERM');
    return async () => {
      await ended;
      this.#restart([index]);
    };
  }

  /** Two faults may end the same gateway: it is started once. */
  #restart(indexes: readonly number[]): void {
    for (const index of indexes) {
      const { process: child } = this.cluster.gateway(index);
      if (child.exitCode !== null || child.signalCode !== null) this.cluster.restart(index);
    }
  }

  async #pause(index: number): Promise<Heal> {
    const { process: child } = this.cluster.gateway(index);
    child.kill('SIGSTOP');
    return async () => void child.kill('SIGCONT');
  }

  async #take(how: 'crash' | 'dark'): Promise<Heal> {
    const primary = await this.#primary();
    return this.#set(`/instances/${primary}/${how}`, {}, {}, `/instances/${primary}/return`);
  }

  async #replica(number: number, begin: object, end: object): Promise<Heal> {
    const primary = await this.#primary();
    const others = await this.#othersThan(primary);
    const id = others[number % others.length] ?? primary;
    return this.#set(`/instances/${id}/faults`, begin, end);
  }

  /** The instance that leads, or the first one while none does. */
  async #primary(): Promise<string> {
    const instances = await this.#instances();
    const leads = instances.find(({ role }) => role === 'primary') ?? instances[0];
    if (leads === undefined) throw new Error(`no instance of ${this.service}`);
    return leads.id;
  }

  async #othersThan(id: string): Promise<string[]> {
    return (await this.#instances()).map((one) => one.id).filter((other) => other !== id);
  }

  async #instances() {
    const instances = await this.cluster.platform.instances();
    return instances.filter(({ service }) => service === this.service);
  }

  async #set(path: string, begin?: object, end?: object, endPath = path): Promise<Heal> {
    await this.#tell(path, begin);
    return end === undefined ? nothing : () => this.#tell(endPath, end);
  }

  /** An instance that is struck may have ended meanwhile, and another may have followed it. */
  async #tell(path: string, body: object | undefined): Promise<void> {
    try {
      await this.cluster.platform.set(path, body);
    } catch (error) {
      if (!(error instanceof ControlCallError) || !path.startsWith('/instances/')) throw error;
    }
  }
}

async function nothing(): Promise<void> {
  await pause(0);
}
