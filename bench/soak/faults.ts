/** Injects the faults of a schedule into a running cluster, from outside its processes, and ends them. */
import type { Milliseconds } from '../../src/core/units.js';
import type { DirectCluster } from '../../test/support/direct-cluster.js';
import type { Violation } from '../../test/support/direct-history.js';
import { ControlCallError } from '../harness/control-client.js';
import type { ConditionLog } from './conditions.js';
import type { OperatorConfiguration } from './configuration.js';
import { doNothing, type Heal, type Operator } from './operator.js';
import {
  type Disruption,
  type DisruptionKind,
  type DisruptionOf,
  MAX_REWRITE_MS,
} from './schedule.js';

const STORE_LINK_DELAY_MS: Milliseconds = 150;
const REPLICA_LAG_MS: Milliseconds = 1500;
const LOST_CALLS = 8;
const FAILED_STATEMENTS = 30;

/** Gateways that a fault disrupts: some by number, all, or none (as with planned work). */
type FaultTarget = readonly number[] | 'all' | 'none';
const allGateways = (): FaultTarget => 'all';
const oneGateway = ({ gateway }: { readonly gateway: number }): FaultTarget => [gateway];

const TARGETS: {
  readonly [Kind in DisruptionKind]: (fault: DisruptionOf<Kind>) => FaultTarget;
} = {
  kill: oneGateway,
  pause: oneGateway,
  'cut-from-store': oneGateway,
  'slow-store-link': oneGateway,
  'reset-store-link': oneGateway,
  'kill-many': ({ gateway, count }) => Array.from({ length: count }, (_, index) => gateway + index),
  ...{ 'kill-leader': allGateways, 'publish-kill-all': allGateways },
  ...{
    'store-down': allGateways,
    'store-slow': allGateways,
    'store-loses': allGateways,
    'store-forgets': allGateways,
  },
  ...{ 'leases-lapse': allGateways, 'promotion-silent': allGateways, 'store-returns': allGateways },
  ...{ 'primary-crash': allGateways, 'primary-dark': allGateways, 'primary-cut': allGateways },
  ...{
    'primary-loses-answers': allGateways,
    'replica-deaf': allGateways,
    'replica-behind': allGateways,
  },
  ...{ 'replica-fails': allGateways, 'instance-starts-again': allGateways },
  // Replacing an instance is planned work.
  'primary-drain': () => 'none',
};

/** Starts and ends faults of a running cluster. */
export class FaultInjector {
  /** Violations found during a fault. */
  readonly violations: Violation[] = [];
  #replacementCount = 0;

  constructor(
    private readonly cluster: DirectCluster,
    /** The service whose instances the faults affect. */
    private readonly service: string,
    private readonly operator: Operator,
    private readonly configuration: OperatorConfiguration,
    private readonly conditions: ConditionLog,
  ) {}

  /** Starts a fault; returns a function that ends it. */
  async begin(fault: Disruption): Promise<Heal> {
    const begin = this.#handlers[fault.kind] as (fault: Disruption) => Promise<Heal>;
    const ends = this.#targetsOf(fault).map((gateway) =>
      this.conditions.startDisruption(fault.kind, gateway),
    );
    const heal = await begin(fault);
    return async () => {
      await heal();
      for (const end of ends) end();
    };
  }

  /** Names of the disrupted gateways; undefined stands for all. */
  #targetsOf(fault: Disruption): readonly (string | undefined)[] {
    const targetOf = TARGETS[fault.kind] as (fault: Disruption) => FaultTarget;
    const target = targetOf(fault);
    if (target === 'none') return [];
    if (target === 'all') return [undefined];
    return target.map((number) => this.cluster.gateway(this.#gatewayAt(number)).name);
  }

  readonly #handlers: {
    readonly [Kind in DisruptionKind]: (fault: DisruptionOf<Kind>) => Promise<Heal>;
  } = {
    kill: ({ gateway }) => this.#kill([this.#gatewayAt(gateway)]),
    'kill-many': ({ gateway, count }) =>
      this.#kill(Array.from({ length: count }, (_, index) => this.#gatewayAt(gateway + index))),
    'kill-leader': () => this.#kill([this.#leaderIndex()]),
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
      return doNothing;
    },
    'store-down': ({ isSilent, doLeasesWait }) =>
      this.#setFault(
        '/store/faults',
        { down: isSilent ? 'silent' : 'unavailable', leasesWait: doLeasesWait },
        { down: 'no', leasesWait: true },
      ),
    'store-slow': ({ factor }) =>
      this.#setFault('/store/faults', { slowFactor: factor }, { slowFactor: 1 }),
    'store-loses': ({ mode }) =>
      this.#setFault('/store/faults', { loseNext: LOST_CALLS, loseMode: mode }, { loseNext: 0 }),
    'store-forgets': () => this.#setFault('/store/compact'),
    'store-returns': ({ ageMs, awayMs }) =>
      this.#setFault('/store/return-from-copy', { ageMs, awayMs, rewriteMs: MAX_REWRITE_MS / 2 }),
    'leases-lapse': () => this.#setFault('/store/leases/expire'),
    'promotion-silent': () =>
      this.#setFault('/promotion/faults', { down: 'silent' }, { down: 'no' }),
    'primary-crash': () => this.#takeDownPrimary('crash'),
    'primary-dark': () => this.#takeDownPrimary('dark'),
    'primary-drain': async () => {
      const primary = await this.#primary();
      this.#replacementCount += 1;
      const replacementId = `i-${this.service}-next-${this.#replacementCount}`;
      const body = { extraMs: 200, replaceAfterMs: 100, replacementId };
      return this.#setFault(`/instances/${primary}/drain`, body);
    },
    'primary-cut': async () => {
      const primary = await this.#primary();
      const others = await this.#instancesExcept(primary);
      const path = `/groups/${this.service}/cuts`;
      return this.#setFault(path, { pairs: others.map((id) => [primary, id]) }, { pairs: [] });
    },
    'primary-loses-answers': async ({ count }) =>
      this.#setFault(
        `/instances/${await this.#primary()}/faults`,
        { loseAnswers: count },
        { loseAnswers: 0 },
      ),
    'replica-deaf': ({ instance }) =>
      this.#setReplicaFault(instance, { isStalled: true }, { isStalled: false }),
    'replica-behind': ({ instance }) =>
      this.#setReplicaFault(instance, { lagMs: REPLICA_LAG_MS }, { lagMs: 0 }),
    'replica-fails': ({ instance }) =>
      this.#setReplicaFault(instance, { failNext: FAILED_STATEMENTS }, { failNext: 0 }),
    'instance-starts-again': async ({ instance, isCutFromStore }) => {
      const instances = await this.#instances();
      const path = `/instances/${instances[instance % instances.length]?.id}`;
      const cut = (isSilentToStore: boolean): Promise<void> =>
        this.#callPlatform(`${path}/faults`, { isSilentToStore });
      if (isCutFromStore) await cut(true);
      await this.#callPlatform(`${path}/start-again`, {});
      return () => cut(false);
    },
    'publish-kill-all': async () => {
      const missing = await this.configuration.publishThen(async () => {
        const allIndexes = [...this.cluster.gateways.keys()];
        await Promise.all(allIndexes.map((index) => this.cluster.kill(index)));
        this.operator.restart(allIndexes);
      });
      this.violations.push(...missing.map((detail) => ({ rule: 'LOST', detail }) as const));
      return doNothing;
    },
  };

  #gatewayAt(number: number): number {
    return number % this.cluster.gateways.length;
  }

  /** Index of the gateway that became leader last, according to the logs. */
  #leaderIndex(): number {
    const leadingSince = this.cluster.gateways.map((gateway) => {
      const taken = /"time":"([^"]+)"[^\n]*"event":"leadership taken"/g;
      return [...gateway.output().matchAll(taken)].at(-1)?.[1] ?? '';
    });
    return leadingSince.indexOf([...leadingSince].sort().at(-1) ?? '');
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

  async #takeDownPrimary(how: 'crash' | 'dark'): Promise<Heal> {
    const primary = await this.#primary();
    return this.#setFault(`/instances/${primary}/${how}`, {}, {}, `/instances/${primary}/return`);
  }

  async #setReplicaFault(number: number, begin: object, end: object): Promise<Heal> {
    const primary = await this.#primary();
    const others = await this.#instancesExcept(primary);
    const id = others[number % others.length] ?? primary;
    return this.#setFault(`/instances/${id}/faults`, begin, end);
  }

  /** Id of the primary, or of the first instance while there is none. */
  async #primary(): Promise<string> {
    const instances = await this.#instances();
    const primary = instances.find(({ role }) => role === 'primary') ?? instances[0];
    if (primary === undefined) throw new Error(`no instance of ${this.service}`);
    return primary.id;
  }

  async #instancesExcept(id: string): Promise<string[]> {
    return (await this.#instances()).map((one) => one.id).filter((other) => other !== id);
  }

  async #instances() {
    const instances = await this.cluster.platform.instances();
    return instances.filter(({ service }) => service === this.service);
  }

  async #setFault(path: string, begin?: object, end?: object, endPath = path): Promise<Heal> {
    await this.#callPlatform(path, begin);
    return end === undefined ? doNothing : () => this.#callPlatform(endPath, end);
  }

  /** Ignores refusals for an instance, which may have stopped or been replaced in the meantime. */
  async #callPlatform(path: string, body: object | undefined): Promise<void> {
    try {
      await this.cluster.platform.set(path, body);
    } catch (error) {
      if (!(error instanceof ControlCallError) || !path.startsWith('/instances/')) throw error;
    }
  }
}
