/** Runs a fleet of one size through a steady phase and all faults, and returns its figures. */
import type { Hash64 } from '../src/core/ownership/rendezvous.js';
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../src/core/units.js';
import { heapBytes } from './components/measure.js';
import { type Distribution, roundTo } from './distribution.js';
import { ScaleRunError } from './errors.js';
import type { FaultScenario } from './faults.js';
import { HollowFleet } from './fleet.js';
import type { ListReaders } from './hollow-machine-list.js';
import { CONTROL_ROLES, type ControlRole, MECHANISMS, type Mechanism } from './meters.js';
import { cutOffPhase } from './observer.js';

const BOOT_TIMEOUT_MS = 120_000;
/** Idle time between boot and measurement: membership updates of the boot are disseminated at a bounded rate. */
const SETTLING_AFTER_BOOT_MS = 120_000;
const PAUSE_BETWEEN_FAULTS_MS = 20_000;
const SECONDS_PER_MINUTE = 60;
const STEADY_PHASE = 'steady';
const PROCESSOR_DECIMALS = 5;
/** At the end of a phase, every publish older than this must be in force on all nodes. */
const MAX_IN_FORCE_DELAY_MS = 6000;

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

/** Costs of one phase, and its delays in configuration, membership and machine list. */
export interface PhaseFigures {
  readonly name: string;
  readonly virtualSeconds: number;
  /** All membership changes were known and all publishes in force on all nodes within their limits. */
  readonly settled: boolean;
  /** Sent and received by a node, network headers included. */
  readonly bytesPerSecondPerNode: number;
  readonly messagesPerSecondPerNode: number;
  readonly bytesByMechanism: Readonly<Record<Mechanism, number>>;
  /** Fraction of a core that the control plane's handlers and codecs use on a node. */
  readonly cpuCoreShare: number;
  readonly cpuByRole: Readonly<Record<ControlRole, number>>;
  readonly configInForceMs: Distribution;
  /** The same on nodes that were paused or cut off at the time of the publish. */
  readonly configInForceCutOffMs: Distribution;
  readonly membershipConvergeMs: Distribution;
  /** From the publication of a machine list until a node applies it; includes nodes that were down. */
  readonly machineListInForceMs: Distribution;
  readonly listReaders: number;
  readonly storeRequestsPerNodePerMinute: number;
  readonly reverts: number;
  readonly moves: MoveFigures;
}

export interface MoveFigures {
  /** Members that joined or left, as one node counted them. */
  readonly memberChanges: number;
  readonly movesPerChange: number;
  readonly leastMovesPerChange: number;
}

export interface SizeFigures extends Omit<PhaseFigures, 'name' | 'membershipConvergeMs'> {
  readonly nodes: number;
  readonly memoryBytesPerNode: number;
  /** The slowest change in any of the fault phases. */
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
    fleet.run(PAUSE_BETWEEN_FAULTS_MS / 10);
    if (!fleet.settle(BOOT_TIMEOUT_MS)) {
      throw new ScaleRunError(
        `membership did not converge after the boot: ${fleet.convergence.describeOpen()}`,
      );
    }
    const bootMs = fleet.clock.now;
    fleet.run(SETTLING_AFTER_BOOT_MS);
    this.#ownershipNodes = fleet.ownershipNodes.length;
    const memoryBytesPerNode = Math.round((heapBytes() - heapBefore) / this.#options.nodes);
    const steady = this.#runPhase(STEADY_PHASE, () => {
      fleet.run(this.#options.durationMs);
      return true;
    });
    const faults = this.#options.faults.map((fault) => this.#runFault(fault));
    return this.#computeFigures(steady, faults, {
      memoryBytesPerNode,
      bootMs,
      wallSeconds: (performance.now() - startedAt) / MILLISECONDS_PER_SECOND,
    });
  }

  #computeFigures(
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
      bootMs: roundTo(rest.bootMs),
      wallSeconds: roundTo(rest.wallSeconds),
    };
  }

  #runFault(fault: FaultScenario): PhaseFigures {
    const figures = this.#runPhase(fault.name, () =>
      fault.run(this.#fleet, this.#options.durationMs),
    );
    this.#fleet.run(PAUSE_BETWEEN_FAULTS_MS);
    return figures;
  }

  #runPhase(name: string, run: () => boolean): PhaseFigures {
    const fleet = this.#fleet;
    const before = {
      at: fleet.clock.now,
      reverts: fleet.observer.reverts,
      moves: this.#countMoves(),
    };
    fleet.observer.phase = name;
    fleet.convergence.phase = name;
    fleet.listTimes.phase = name;
    fleet.meters.reset();
    const settled = run();
    const seconds = (fleet.clock.now - before.at) / MILLISECONDS_PER_SECOND;
    const costs = this.#computeCosts(seconds);
    // Lets the last publishes of the phase take effect.
    fleet.observer.phase = `after ${name}`;
    fleet.run(MAX_IN_FORCE_DELAY_MS);
    const figures: PhaseFigures = {
      name,
      virtualSeconds: roundTo(seconds),
      settled: settled && fleet.observer.countOutdatedNodes(MAX_IN_FORCE_DELAY_MS) === 0,
      ...costs,
      configInForceMs: fleet.observer.inForceFigures(name),
      configInForceCutOffMs: fleet.observer.inForceFigures(cutOffPhase(name)),
      membershipConvergeMs: fleet.convergence.figures(name),
      machineListInForceMs: fleet.listTimes.figures(name),
      listReaders: fleet.listReaders,
      reverts: fleet.observer.reverts - before.reverts,
      moves: computeMoves(before.moves, this.#countMoves()),
    };
    this.#options.log(formatPhase(this.#options.nodes, figures));
    return figures;
  }

  #computeCosts(seconds: number) {
    const { meters } = this.#fleet;
    const perNode = this.#options.nodes * seconds;
    const cpuByRole = createRecord(CONTROL_ROLES, (role) => {
      const nodes = role === 'ownership' ? this.#ownershipNodes * seconds : perNode;
      return roundTo(meters.processorSeconds(role) / Math.max(1, nodes), PROCESSOR_DECIMALS);
    });
    const cpuCoreShare = CONTROL_ROLES.reduce((sum, role) => sum + cpuByRole[role], 0);
    return {
      // Twice, since each byte sent by one node is received by another.
      bytesPerSecondPerNode: roundTo((2 * meters.totalBytes()) / perNode),
      messagesPerSecondPerNode: roundTo((2 * meters.totalMessages()) / perNode),
      bytesByMechanism: createRecord(MECHANISMS, (mechanism) =>
        roundTo((2 * meters.traffic(mechanism).bytes) / perNode),
      ),
      cpuCoreShare: roundTo(cpuCoreShare, PROCESSOR_DECIMALS),
      cpuByRole,
      storeRequestsPerNodePerMinute: roundTo(
        (meters.storeRequests * SECONDS_PER_MINUTE) / perNode,
        3,
      ),
    };
  }

  #countMoves() {
    const [node] = this.#fleet.ownershipNodes;
    return node?.ownership?.countMoves() ?? { memberChanges: 0, moves: 0, minMoves: 0 };
  }
}

type Moves = ReturnType<NonNullable<HollowFleet['running'][number]['ownership']>['countMoves']>;

function computeMoves(before: Moves, after: Moves): MoveFigures {
  const memberChanges = after.memberChanges - before.memberChanges;
  const perChange = (total: number): number => roundTo(total / Math.max(1, memberChanges), 2);
  return {
    memberChanges,
    movesPerChange: perChange(after.moves - before.moves),
    leastMovesPerChange: perChange(after.minMoves - before.minMoves),
  };
}

function createRecord<Key extends string>(
  keys: readonly Key[],
  measure: (key: Key) => number,
): Record<Key, number> {
  return Object.fromEntries(keys.map((key) => [key, measure(key)])) as Record<Key, number>;
}

function formatPhase(nodes: number, figures: PhaseFigures): string {
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
