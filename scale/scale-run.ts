/** Runs one size of fleet through a quiet phase and all faults, and gives its figures. */
import type { Hash64 } from '../src/core/ownership/rendezvous.js';
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../src/core/units.js';
import { heapBytes } from './components/measure.js';
import { type Distribution, rounded } from './distribution.js';
import { ScaleRunError } from './errors.js';
import type { FaultScenario } from './faults.js';
import { HollowFleet } from './fleet.js';
import type { ListReaders } from './hollow-machine-list.js';
import { CONTROL_ROLES, type ControlRole, MECHANISMS, type Mechanism } from './meters.js';
import { cutOffPhase } from './observer.js';

const BOOT_LIMIT_MS = 120_000;
/** Quiet time between the boot and what is measured: the news of a boot is spread at a bounded rate. */
const BOOT_REST_MS = 120_000;
const REST_BETWEEN_FAULTS_MS = 20_000;
const SECONDS_PER_MINUTE = 60;
const STEADY_PHASE = 'steady';
const PROCESSOR_DECIMALS = 5;
/** Any publish older than this is to be in force everywhere at the end of a phase. */
const IN_FORCE_LIMIT_MS = 6000;

export interface SizeOptions {
  readonly nodes: number;
  readonly tenants: number;
  readonly seed: number;
  readonly durationMs: Milliseconds;
  readonly faults: readonly FaultScenario[];
  readonly listReaders: ListReaders;
  readonly hash: Hash64;
  readonly log: (line: string) => void;
}

/** What a phase cost, and what it did to configuration and membership. */
export interface PhaseFigures {
  readonly name: string;
  readonly virtualSeconds: number;
  /** All changes were known everywhere, and all publishes in force, within their limits. */
  readonly settled: boolean;
  /** Sent and received by a node, headers of the network included. */
  readonly bytesPerSecondPerNode: number;
  readonly messagesPerSecondPerNode: number;
  readonly bytesByMechanism: Readonly<Record<Mechanism, number>>;
  /** Share of a core that handlers and codecs of control take on a node. */
  readonly cpuCoreShare: number;
  readonly cpuByRole: Readonly<Record<ControlRole, number>>;
  readonly configInForceMs: Distribution;
  /** The same on nodes that were paused or behind a cut when it was published. */
  readonly configInForceCutOffMs: Distribution;
  readonly membershipConvergeMs: Distribution;
  /** From the publication of a machine list until a node has it; nodes that were down count. */
  readonly machineListInForceMs: Distribution;
  readonly listReaders: number;
  readonly storeRequestsPerNodePerMinute: number;
  readonly reverts: number;
  readonly moves: MoveFigures;
}

export interface MoveFigures {
  /** Members that came or went, as one node counted them. */
  readonly memberChanges: number;
  readonly movesPerChange: number;
  readonly leastMovesPerChange: number;
}

export interface SizeFigures extends Omit<PhaseFigures, 'name' | 'membershipConvergeMs'> {
  readonly nodes: number;
  readonly memoryBytesPerNode: number;
  /** The slowest change of any phase. */
  readonly membershipConvergeMs: number;
  readonly bootMs: number;
  readonly timeToReadyMs: Distribution;
  readonly watchesOpen: number;
  readonly wallSeconds: number;
  readonly faults: readonly PhaseFigures[];
}

export class SizeRun {
  readonly #options: SizeOptions;
  readonly #fleet: HollowFleet;
  #ownershipNodes = 0;

  constructor(options: SizeOptions) {
    this.#options = options;
    this.#fleet = new HollowFleet(options);
  }

  run(): SizeFigures {
    const startedAt = performance.now();
    const heapBefore = heapBytes();
    const fleet = this.#fleet;
    fleet.boot();
    fleet.run(REST_BETWEEN_FAULTS_MS / 10);
    if (!fleet.settle(BOOT_LIMIT_MS)) {
      throw new ScaleRunError(`no fleet after the boot: ${fleet.convergence.describeOpen()}`);
    }
    const bootMs = fleet.clock.now;
    fleet.run(BOOT_REST_MS);
    this.#ownershipNodes = fleet.ownershipNodes.length;
    const memoryBytesPerNode = Math.round((heapBytes() - heapBefore) / this.#options.nodes);
    const steady = this.#phase(STEADY_PHASE, () => {
      fleet.run(this.#options.durationMs);
      return true;
    });
    const faults = this.#options.faults.map((fault) => this.#fault(fault));
    return this.#figures(steady, faults, {
      memoryBytesPerNode,
      bootMs,
      wallSeconds: (performance.now() - startedAt) / MILLISECONDS_PER_SECOND,
    });
  }

  #figures(
    steady: PhaseFigures,
    faults: readonly PhaseFigures[],
    rest: Pick<SizeFigures, 'memoryBytesPerNode' | 'bootMs' | 'wallSeconds'>,
  ): SizeFigures {
    const fleet = this.#fleet;
    const slowest = Math.max(
      0,
      ...faults.map(({ membershipConvergeMs }) => membershipConvergeMs.max),
    );
    const { name: _, membershipConvergeMs: __, ...figures } = steady;
    return {
      nodes: this.#options.nodes,
      ...figures,
      reverts: fleet.observer.reverts,
      membershipConvergeMs: slowest,
      timeToReadyMs: fleet.observer.timeToReady(),
      watchesOpen: fleet.store.watchCount,
      faults,
      memoryBytesPerNode: rest.memoryBytesPerNode,
      bootMs: rounded(rest.bootMs),
      wallSeconds: rounded(rest.wallSeconds),
    };
  }

  #fault(fault: FaultScenario): PhaseFigures {
    const figures = this.#phase(fault.name, () => fault.run(this.#fleet, this.#options.durationMs));
    this.#fleet.run(REST_BETWEEN_FAULTS_MS);
    return figures;
  }

  #phase(name: string, run: () => boolean): PhaseFigures {
    const fleet = this.#fleet;
    const before = { at: fleet.clock.now, reverts: fleet.observer.reverts, moves: this.#moves() };
    fleet.observer.phase = name;
    fleet.convergence.phase = name;
    fleet.listTimes.phase = name;
    fleet.meters.reset();
    const settled = run();
    const seconds = (fleet.clock.now - before.at) / MILLISECONDS_PER_SECOND;
    const costs = this.#costs(seconds);
    // Publishes of the last moments are still on their way.
    fleet.observer.phase = `after ${name}`;
    fleet.run(IN_FORCE_LIMIT_MS);
    const figures: PhaseFigures = {
      name,
      virtualSeconds: rounded(seconds),
      settled: settled && fleet.observer.lacking(IN_FORCE_LIMIT_MS) === 0,
      ...costs,
      configInForceMs: fleet.observer.inForce(name),
      configInForceCutOffMs: fleet.observer.inForce(cutOffPhase(name)),
      membershipConvergeMs: fleet.convergence.figures(name),
      machineListInForceMs: fleet.listTimes.figures(name),
      listReaders: fleet.listReaders,
      reverts: fleet.observer.reverts - before.reverts,
      moves: movesSince(before.moves, this.#moves()),
    };
    this.#options.log(describe(this.#options.nodes, figures));
    return figures;
  }

  #costs(seconds: number) {
    const { meters } = this.#fleet;
    const perNode = this.#options.nodes * seconds;
    const cpuByRole = recordOf(CONTROL_ROLES, (role) => {
      const nodes = role === 'ownership' ? this.#ownershipNodes * seconds : perNode;
      return rounded(meters.processorSeconds(role) / Math.max(1, nodes), PROCESSOR_DECIMALS);
    });
    const cpuCoreShare = CONTROL_ROLES.reduce((sum, role) => sum + cpuByRole[role], 0);
    return {
      // Every byte that one node sends another receives.
      bytesPerSecondPerNode: rounded((2 * meters.totalBytes()) / perNode),
      messagesPerSecondPerNode: rounded((2 * meters.totalMessages()) / perNode),
      bytesByMechanism: recordOf(MECHANISMS, (mechanism) =>
        rounded((2 * meters.traffic(mechanism).bytes) / perNode),
      ),
      cpuCoreShare: rounded(cpuCoreShare, PROCESSOR_DECIMALS),
      cpuByRole,
      storeRequestsPerNodePerMinute: rounded(
        (meters.storeRequests * SECONDS_PER_MINUTE) / perNode,
        3,
      ),
    };
  }

  #moves() {
    const [node] = this.#fleet.ownershipNodes;
    return node?.ownership?.moveCount() ?? { memberChanges: 0, moves: 0, leastMoves: 0 };
  }
}

type Moves = ReturnType<NonNullable<HollowFleet['running'][number]['ownership']>['moveCount']>;

function movesSince(before: Moves, after: Moves): MoveFigures {
  const memberChanges = after.memberChanges - before.memberChanges;
  const perChange = (total: number): number => rounded(total / Math.max(1, memberChanges), 2);
  return {
    memberChanges,
    movesPerChange: perChange(after.moves - before.moves),
    leastMovesPerChange: perChange(after.leastMoves - before.leastMoves),
  };
}

function recordOf<Key extends string>(
  keys: readonly Key[],
  measure: (key: Key) => number,
): Record<Key, number> {
  return Object.fromEntries(keys.map((key) => [key, measure(key)])) as Record<Key, number>;
}

function describe(nodes: number, figures: PhaseFigures): string {
  const { name, virtualSeconds, settled, configInForceMs, membershipConvergeMs } = figures;
  return [
    `${nodes} nodes, ${name} (${virtualSeconds} s): ${figures.bytesPerSecondPerNode} B/s`,
    `${(100 * figures.cpuCoreShare).toFixed(3)} % of a core`,
    `in force p99 ${configInForceMs.p99} ms`,
    `converged p99 ${membershipConvergeMs.p99} max ${membershipConvergeMs.max} ms`,
    `list p99 ${figures.machineListInForceMs.p99} ms, ${figures.listReaders} readers`,
    `${figures.reverts} reverts`,
    settled ? 'settled' : 'NOT SETTLED',
  ].join(', ');
}
