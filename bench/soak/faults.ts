/** Injects the faults of a schedule into a running cluster, from outside its processes, and heals them. */
import type { Milliseconds } from '../../src/core/units.js';
import type { DirectCluster } from '../../test/support/direct-cluster.js';
import type { Violation } from '../../test/support/direct-history.js';
import { ControlCallError } from '../harness/control-client.js';
import type { ConditionLog } from './conditions.js';
import type { OperatorConfiguration } from './configuration.js';
import { type Heal, nothing, type Operator } from './operator.js';
import {
  type Disruption,
  type DisruptionKind,
  type DisruptionOf,
  WRITTEN_AGAIN_MS,
} from './schedule.js';

const STORE_LINK_DELAY_MS: Milliseconds = 150;
const REPLICA_LAG_MS: Milliseconds = 1500;
const LOST_CALLS = 8;
const FAILED_STATEMENTS = 30;

/** Whom a fault strikes: gateways by their numbers, all of them, or none, as with planned work. */
type Struck = readonly number[] | 'all' | 'none';
const all = (): Struck => 'all';
const one = ({ gateway }: { readonly gateway: number }): Struck => [gateway];

const STRUCK: {
  readonly [Kind in DisruptionKind]: (fault: DisruptionOf<Kind>) => Struck;
} = {
  kill: one,
  pause: one,
  'cut-from-store': one,
  'slow-store-link': one,
  'reset-store-link': one,
  'kill-many': ({ gateway, count }) => Array.from({ length: count }, (_, index) => gateway + index),
  ...{ 'kill-leader': all, 'publish-kill-all': all },
  ...{ 'store-down': all, 'store-slow': all, 'store-loses': all, 'store-forgets': all },
  ...{ 'leases-lapse': all, 'promotion-silent': all, 'store-returns': all },
  ...{ 'primary-crash': all, 'primary-dark': all, 'primary-cut': all },
  ...{ 'primary-loses-answers': all, 'replica-deaf': all, 'replica-behind': all },
  'replica-fails': all,
  // Replacing an instance is planned work.
  'primary-drain': () => 'none',
};

/** What faults are done to. */
export class FaultInjector {
  /** What was found while a fault was on. */
  readonly violations: Violation[] = [];
  #replaced = 0;

  constructor(
    private readonly cluster: DirectCluster,
    /** The service whose instances are struck. */
    private readonly service: string,
    private readonly operator: Operator,
    private readonly configuration: OperatorConfiguration,
    private readonly conditions: ConditionLog,
  ) {}

  /** Begins a fault; the answer ends it. */
  async begin(fault: Disruption): Promise<Heal> {
    const begin = this.#handlers[fault.kind] as (fault: Disruption) => Promise<Heal>;
    const ends = this.#struckBy(fault).map((gateway) =>
      this.conditions.disrupted(fault.kind, gateway),
    );
    const heal = await begin(fault);
    return async () => {
      await heal();
      for (const end of ends) end();
    };
  }

  /** Names of gateways; undefined stands for all. */
  #struckBy(fault: Disruption): readonly (string | undefined)[] {
    const struckBy = STRUCK[fault.kind] as (fault: Disruption) => Struck;
    const struck = struckBy(fault);
    if (struck === 'none') return [];
    if (struck === 'all') return [undefined];
    return struck.map((number) => this.cluster.gateway(this.#gatewayAt(number)).name);
  }

  readonly #handlers: {
    readonly [Kind in DisruptionKind]: (fault: DisruptionOf<Kind>) => Promise<Heal>;
  } = {
    kill: ({ gateway }) => this.#kill([this.#gatewayAt(gateway)]),
    'kill-many': ({ gateway, count }) =>
      this.#kill(Array.from({ length: count }, (_, index) => this.#gatewayAt(gateway + index))),
    'kill-leader': () => this.#kill([this.#leader()]),
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
    'store-returns': ({ ageMs, awayMs }) =>
      this.#set('/store/return-from-copy', { ageMs, awayMs, rewriteMs: WRITTEN_AGAIN_MS / 2 }),
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
    'publish-kill-all': async () => {
      const lacking = await this.configuration.publishAndDo(async () => {
        const everyone = [...this.cluster.gateways.keys()];
        await Promise.all(everyone.map((index) => this.cluster.kill(index)));
        this.operator.restart(everyone);
      });
      this.violations.push(...lacking.map((detail) => ({ rule: 'LOST', detail }) as const));
      return nothing;
    },
  };

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
    return async () => this.operator.restart(distinct);
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
