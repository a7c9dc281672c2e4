/** Carries out the planned work of a schedule: graceful shutdowns, signals and configuration changes. */
import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '../../src/core/units.js';
import { monotonicMs } from '../../standins/direct/monotonic.js';
import type { PlannedStop } from '../../test/support/direct-answers.js';
import type { DirectCluster } from '../../test/support/direct-cluster.js';
import { type DirectGatewayProcess, hasEnded } from '../../test/support/direct-process.js';
import { until } from '../../test/support/until.js';
import type { ConditionLog } from './conditions.js';
import type { OperatorConfiguration } from './configuration.js';
import type { PlannedKind, PlannedWork, Stall } from './planned-schedule.js';

/** Ends a fault or planned work. */
export type Heal = () => Promise<void>;

/** A graceful shutdown with the times of further signals to the same process. */
type OpenStop = { -readonly [Key in keyof PlannedStop]: PlannedStop[Key] } & {
  readonly againAt: number[];
};
type WorkOf<Kind extends PlannedKind> = PlannedWork & { readonly kind: Kind };

/** Time between the start of the stalls and the signal. */
const STALL_LEAD_MS: Milliseconds = 500;
/** Time limit for a process to exit after SIGTERM. */
const STOP_TIMEOUT_MS: Milliseconds = 12_000;
/** Event that a process logs when it handles signals. */
const STARTING_EVENT = '"starting"';

export class Operator {
  readonly #stops: OpenStop[] = [];
  readonly #stopByProcess = new Map<DirectGatewayProcess, OpenStop>();

  constructor(
    private readonly cluster: DirectCluster,
    private readonly configuration: OperatorConfiguration,
    private readonly conditions: ConditionLog,
  ) {}

  /** The first SIGTERM of each process. */
  get stops(): readonly PlannedStop[] {
    return this.#stops;
  }

  /** Starts some work; returns a function that ends it. */
  begin(work: PlannedWork): Promise<Heal> {
    const begin = this.#handlers[work.kind] as (work: PlannedWork) => Promise<Heal>;
    return begin(work);
  }

  readonly #handlers: {
    readonly [Kind in PlannedKind]: (work: WorkOf<Kind>) => Promise<Heal>;
  } = {
    stop: ({ gateway }) => this.#stop(this.#gatewayIndexes(gateway, 1)),
    'stop-twice': async ({ gateway, againAfterMs }) => {
      const [index = 0] = this.#gatewayIndexes(gateway, 1);
      const heal = await this.#stop([index]);
      const gatewayProcess = this.cluster.gateway(index);
      await Promise.race([pause(againAfterMs), gatewayProcess.ended]);
      this.#sendStop(gatewayProcess);
      return heal;
    },
    'rolling-stop': async ({ gateway, count, everyMs }) => {
      const heals: Heal[] = [];
      for (const index of this.#gatewayIndexes(gateway, count)) {
        heals.push(await this.#stop([index]));
        await pause(everyMs);
      }
      return async () => void (await Promise.all(heals.map((heal) => heal())));
    },
    'late-stop': async ({ gateway, count, stalls }) => {
      const indexes = this.#gatewayIndexes(gateway, count);
      const stalled = Promise.all(indexes.map((index) => this.#stall(index, stalls)));
      await pause(STALL_LEAD_MS);
      const heal = await this.#stop(indexes);
      return async () => {
        await stalled;
        await heal();
      };
    },
    reload: async ({ gateway, count, everyMs }) => {
      const [index = 0] = this.#gatewayIndexes(gateway, 1);
      for (let signal = 0; signal < count; signal += 1) {
        await this.#signal(index, 'SIGHUP');
        await pause(everyMs);
      }
      return doNothing;
    },
    configure: async ({ changes, everyMs }) => {
      for (const change of changes) {
        await this.configuration.change(change);
        await pause(everyMs);
      }
      return () => this.#publishWhenStoreAccepts();
    },
    publish: async () => {
      const isPublished = await this.configuration.change('set-timeouts');
      return isPublished ? doNothing : () => this.#publishWhenStoreAccepts();
    },
  };

  /** Publishes one more version once the store accepts it; it contains the changes refused before. */
  #publishWhenStoreAccepts(): Promise<void> {
    return until('the store takes a configuration', () =>
      this.configuration.change('set-timeouts'),
    );
  }

  #gatewayIndexes(gateway: number, count: number): readonly number[] {
    const total = this.cluster.gateways.length;
    return Array.from({ length: Math.min(count, total) }, (_, one) => (gateway + one) % total);
  }

  async #stop(indexes: readonly number[]): Promise<Heal> {
    const gatewayProcesses = await Promise.all(indexes.map((index) => this.#terminate(index)));
    return async () => {
      await Promise.race([
        Promise.all(gatewayProcesses.map(({ ended }) => ended)),
        pause(STOP_TIMEOUT_MS),
      ]);
      this.restart(indexes);
    };
  }

  async #terminate(index: number): Promise<DirectGatewayProcess> {
    const gatewayProcess = this.cluster.gateway(index);
    await hasStarted(gatewayProcess);
    this.#sendStop(gatewayProcess);
    return gatewayProcess;
  }

  #sendStop(gatewayProcess: DirectGatewayProcess): void {
    if (hasEnded(gatewayProcess)) return;
    const at = monotonicMs();
    const before = this.#stopByProcess.get(gatewayProcess);
    if (before === undefined) this.#recordStop(gatewayProcess, at);
    else before.againAt.push(at);
    gatewayProcess.process.kill('SIGTERM');
  }

  #recordStop(gatewayProcess: DirectGatewayProcess, at: number): void {
    const stop: OpenStop = { gateway: gatewayProcess.name, at, againAt: [], ended: undefined };
    this.#stops.push(stop);
    this.#stopByProcess.set(gatewayProcess, stop);
    void gatewayProcess.ended.then((how) => {
      stop.ended = { at: monotonicMs(), how };
    });
  }

  /** Restarts the stopped ones among these gateways; several faults may have stopped the same gateway. */
  restart(indexes: readonly number[]): void {
    for (const index of indexes) {
      if (hasEnded(this.cluster.gateway(index))) this.cluster.restart(index);
    }
  }

  async #stall(index: number, stalls: readonly Stall[]): Promise<void> {
    const gatewayProcess = this.cluster.gateway(index);
    for (const { stoppedMs, runsMs } of stalls) {
      if (hasEnded(gatewayProcess)) return;
      const endPause = this.conditions.startPause('late', gatewayProcess.name);
      gatewayProcess.process.kill('SIGSTOP');
      await pause(stoppedMs);
      gatewayProcess.process.kill('SIGCONT');
      endPause();
      await pause(runsMs);
    }
  }

  async #signal(index: number, signal: NodeJS.Signals): Promise<void> {
    const gatewayProcess = this.cluster.gateway(index);
    await hasStarted(gatewayProcess);
    gatewayProcess.process.kill(signal);
  }
}

/** Waits until the process handles signals; before that, any signal ends it. */
function hasStarted(gatewayProcess: DirectGatewayProcess): Promise<void> {
  return until(
    `${gatewayProcess.name} starts`,
    () => hasEnded(gatewayProcess) || gatewayProcess.output().includes(STARTING_EVENT),
  );
}

/** Ends work that leaves nothing to undo. */
export async function doNothing(): Promise<void> {
  await pause(0);
}
