/** Does the planned work of a schedule: stops, signals and changes of the configuration. */
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

/** Undoes what was done. */
export type Heal = () => Promise<void>;

/** A stop with the times of the further signals to the same process. */
type OpenStop = { -readonly [Key in keyof PlannedStop]: PlannedStop[Key] } & {
  readonly againAt: number[];
};
type WorkOf<Kind extends PlannedKind> = PlannedWork & { readonly kind: Kind };

/** Stalls begin so long before the signal. */
const STALL_LEAD_MS: Milliseconds = 500;
/** A process that was told to stop is given up after this. */
const STOP_PATIENCE_MS: Milliseconds = 12_000;
/** Written once a process handles signals. */
const STARTED = '"starting"';

export class Operator {
  readonly #stops: OpenStop[] = [];
  readonly #stopOf = new Map<DirectGatewayProcess, OpenStop>();

  constructor(
    private readonly cluster: DirectCluster,
    private readonly configuration: OperatorConfiguration,
    private readonly conditions: ConditionLog,
  ) {}

  /** The first SIGTERM of each process. */
  get stops(): readonly PlannedStop[] {
    return this.#stops;
  }

  /** Begins some work; the answer ends it. */
  begin(work: PlannedWork): Promise<Heal> {
    const begin = this.#handlers[work.kind] as (work: PlannedWork) => Promise<Heal>;
    return begin(work);
  }

  readonly #handlers: {
    readonly [Kind in PlannedKind]: (work: WorkOf<Kind>) => Promise<Heal>;
  } = {
    stop: ({ gateway }) => this.#stop(this.#indexes(gateway, 1)),
    'stop-twice': async ({ gateway, againAfterMs }) => {
      const [index = 0] = this.#indexes(gateway, 1);
      const heal = await this.#stop([index]);
      const life = this.cluster.gateway(index);
      await Promise.race([pause(againAfterMs), life.ended]);
      this.#sendStop(life);
      return heal;
    },
    'rolling-stop': async ({ gateway, count, everyMs }) => {
      const heals: Heal[] = [];
      for (const index of this.#indexes(gateway, count)) {
        heals.push(await this.#stop([index]));
        await pause(everyMs);
      }
      return async () => void (await Promise.all(heals.map((heal) => heal())));
    },
    'late-stop': async ({ gateway, count, stalls }) => {
      const indexes = this.#indexes(gateway, count);
      const stalled = Promise.all(indexes.map((index) => this.#stall(index, stalls)));
      await pause(STALL_LEAD_MS);
      const heal = await this.#stop(indexes);
      return async () => {
        await stalled;
        await heal();
      };
    },
    reload: async ({ gateway, count, everyMs }) => {
      const [index = 0] = this.#indexes(gateway, 1);
      for (let signal = 0; signal < count; signal += 1) {
        await this.#signal(index, 'SIGHUP');
        await pause(everyMs);
      }
      return nothing;
    },
    configure: async ({ changes, everyMs }) => {
      for (const change of changes) {
        await this.configuration.change(change);
        await pause(everyMs);
      }
      return () => this.#publishAtLast();
    },
    publish: async () => {
      const isPublished = await this.configuration.change('set-timeouts');
      return isPublished ? nothing : () => this.#publishAtLast();
    },
  };

  /** What the store did not take while it was down, it takes with the next version. */
  #publishAtLast(): Promise<void> {
    return until('the store takes a configuration', () =>
      this.configuration.change('set-timeouts'),
    );
  }

  #indexes(gateway: number, count: number): readonly number[] {
    const total = this.cluster.gateways.length;
    return Array.from({ length: Math.min(count, total) }, (_, one) => (gateway + one) % total);
  }

  async #stop(indexes: readonly number[]): Promise<Heal> {
    const lives = await Promise.all(indexes.map((index) => this.#terminate(index)));
    return async () => {
      await Promise.race([Promise.all(lives.map(({ ended }) => ended)), pause(STOP_PATIENCE_MS)]);
      this.restart(indexes);
    };
  }

  async #terminate(index: number): Promise<DirectGatewayProcess> {
    const life = this.cluster.gateway(index);
    await hasStarted(life);
    this.#sendStop(life);
    return life;
  }

  #sendStop(life: DirectGatewayProcess): void {
    if (hasEnded(life)) return;
    const at = monotonicMs();
    const before = this.#stopOf.get(life);
    if (before === undefined) this.#noteStop(life, at);
    else before.againAt.push(at);
    life.process.kill('SIGTERM');
  }

  #noteStop(life: DirectGatewayProcess, at: number): void {
    const stop: OpenStop = { gateway: life.name, at, againAt: [], ended: undefined };
    this.#stops.push(stop);
    this.#stopOf.set(life, stop);
    void life.ended.then((how) => {
      stop.ended = { at: monotonicMs(), how };
    });
  }

  /** Gateways may be ended by more than one: each is started once. */
  restart(indexes: readonly number[]): void {
    for (const index of indexes) {
      if (hasEnded(this.cluster.gateway(index))) this.cluster.restart(index);
    }
  }

  async #stall(index: number, stalls: readonly Stall[]): Promise<void> {
    const life = this.cluster.gateway(index);
    for (const { stoppedMs, runsMs } of stalls) {
      if (hasEnded(life)) return;
      const endPause = this.conditions.paused('late', life.name);
      life.process.kill('SIGSTOP');
      await pause(stoppedMs);
      life.process.kill('SIGCONT');
      endPause();
      await pause(runsMs);
    }
  }

  async #signal(index: number, signal: NodeJS.Signals): Promise<void> {
    const life = this.cluster.gateway(index);
    await hasStarted(life);
    life.process.kill(signal);
  }
}

/** Until then a process ends on signals that it handles later. */
function hasStarted(life: DirectGatewayProcess): Promise<void> {
  return until(`${life.name} starts`, () => hasEnded(life) || life.output().includes(STARTED));
}

/** For work that has nothing to undo. */
export async function nothing(): Promise<void> {
  await pause(0);
}
