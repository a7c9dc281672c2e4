/** Simulates the reads of a fleet in virtual time; each instance has slots and a queue. */
import { FleetDigests } from '../../src/core/fleet/fleet-digests.js';
import type { InstanceDigest } from '../../src/core/fleet/instance-digest.js';
import { ServicePlacement } from '../../src/core/placement/service-placement.js';
import { rankInstances } from '../../src/core/statements/instance-choice.js';
import { seededRandom } from './random.js';

export type Policy = 'fleet' | 'ranked' | 'all-knowing';

/** State of an instance at a point in time. */
export interface Condition {
  readonly slowness?: number;
  /** Fraction of the requests that fail at once. */
  readonly failing?: number;
  readonly isDown?: boolean;
}

export interface FleetSimulationOptions {
  readonly policy: Policy;
  readonly nodes: number;
  readonly services: number;
  readonly seconds: number;
  readonly seed: number;
  /** Reads per second of one service, by the zone of the sending node. */
  readonly perSecond: readonly number[];
  readonly condition?: (service: number, index: number, now: number) => Condition;
  /** Changes the digests that a node sends to a reader; returns undefined if the message is lost. */
  readonly relayDigests?: (
    digests: readonly InstanceDigest[],
    node: string,
  ) => readonly InstanceDigest[] | undefined;
}

export interface SimulatedRead {
  readonly service: number;
  readonly at: number;
  readonly tookMs: number;
  /** Index of the instance of the first attempt. */
  readonly firstInstance: number;
}

const ZONES = 3;
const SLOTS = 4;
const QUEUE_LENGTH = 32;
const MEAN_WORK_MS = 10;
const LATENCY_MS = 0.4;
const CROSS_ZONE_LATENCY_MS = 2.8;
const EXCHANGE_PERIOD_MS = 400;
const REFRESH_PERIOD_MS = 100;
/** A node without contact to a reader for longer relies on its own observations only. */
const MAX_FLEET_VIEW_AGE_MS = 2500;
const AVOID_MS = 500;
const REFUSAL_RETRY_DELAY_MS = 15;
const SMOOTHING = 0.1;

class FakeInstance {
  readonly slots = new Array<number>(SLOTS).fill(0);
  /** Time spent on work, for each second. */
  readonly busyMs: number[] = [];

  constructor(
    readonly id: string,
    readonly zone: number,
    readonly primary: boolean,
    readonly condition: (now: number) => Condition,
  ) {}

  /** Time at which a read that arrives now would be completed. */
  completionTime(now: number, workMs: number): number {
    const start = Math.max(now, Math.min(...this.slots));
    return start + workMs * (this.condition(now).slowness ?? 1);
  }

  run(now: number, workMs: number): number | 'busy' {
    const free = Math.min(...this.slots);
    if (free - now > (QUEUE_LENGTH / SLOTS) * MEAN_WORK_MS) return 'busy';
    const end = this.completionTime(now, workMs);
    this.slots[this.slots.indexOf(free)] = end;
    const second = Math.floor(now / 1000);
    this.busyMs[second] = (this.busyMs[second] ?? 0) + end - Math.max(now, free);
    return end;
  }
}

interface InstanceObservations {
  outstanding: number;
  answerMs: number;
  avoidUntil: number;
}

interface Node {
  readonly name: string;
  readonly zone: number;
  readonly digests: FleetDigests;
  readonly placements: readonly ServicePlacement[];
  readonly observations: Map<string, InstanceObservations>;
  nextReaderIndex: number;
  lastReaderContactAt: number;
}

/** Runs the simulation; returns the reads by time of completion, and the instances of each service. */
export function simulateFleet(options: FleetSimulationOptions) {
  const { policy, nodes: nodeCount, services, seed } = options;
  const random = seededRandom(seed);
  const scheduled = new Map<number, (() => void)[]>();
  const at = (time: number, run: () => void): void => {
    const tick = Math.max(now + 1, Math.ceil(time));
    const due = scheduled.get(tick) ?? [];
    due.push(run);
    scheduled.set(tick, due);
  };
  let now = 0;
  const groups = Array.from({ length: services }, (_, service) =>
    Array.from({ length: ZONES }, (_, index) => {
      const condition = (time: number) => options.condition?.(service, index, time) ?? {};
      return new FakeInstance(`s${service}-${index}`, index, index === service % ZONES, condition);
    }),
  );
  const nodes: Node[] = Array.from({ length: nodeCount }, (_, index) => {
    const digests = new FleetDigests();
    const viewOf = digests.viewOf.bind(digests);
    const options = { viewOf, nodeCount: () => nodeCount, random };
    return {
      ...{
        name: `n${index}`,
        zone: index % ZONES,
        digests,
        nextReaderIndex: index,
        lastReaderContactAt: 0,
        observations: new Map(),
      },
      placements: groups.map(() => new ServicePlacement(options)),
    };
  });
  const readersOf = (node: Node): Node[] =>
    nodes.filter(({ zone }) => zone === node.zone).slice(0, 2);
  const reads: SimulatedRead[] = [];

  const observationsOf = ({ observations: byInstance }: Node, id: string): InstanceObservations => {
    const observations = byInstance.get(id) ?? { outstanding: 0, answerMs: 25, avoidUntil: 0 };
    byInstance.set(id, observations);
    return observations;
  };

  const candidatesOf = (node: Node, instances: readonly FakeInstance[]) =>
    instances.map((instance) => ({
      ...{ id: instance.id, primary: instance.primary, slots: SLOTS, instance },
      ...{ sameZone: instance.zone === node.zone, ...observationsOf(node, instance.id) },
    }));

  const choose = (node: Node, service: number, excluded: ReadonlySet<string>, workMs: number) => {
    const all = groups[service] ?? [];
    const open = all.filter(({ id }) => !excluded.has(id));
    const candidates = open.length > 0 ? open : all;
    const latencyOf = (one: FakeInstance) =>
      one.zone === node.zone ? LATENCY_MS : CROSS_ZONE_LATENCY_MS;
    if (policy === 'all-knowing') {
      const usable = candidates.filter((one) => {
        const { isDown, failing = 0 } = one.condition(now);
        return isDown !== true && failing === 0;
      });
      const expectedEnd = (one: FakeInstance) => one.completionTime(now, workMs) + latencyOf(one);
      return [...usable].sort((left, right) => expectedEnd(left) - expectedEnd(right))[0];
    }
    const loads = candidatesOf(node, candidates);
    const isFleetViewAvailable =
      readersOf(node).includes(node) || now - node.lastReaderContactAt < MAX_FLEET_VIEW_AGE_MS;
    if (policy === 'ranked' || !isFleetViewAvailable) return rankInstances(loads, now)[0]?.instance;
    return node.placements[service]?.rank(loads, now, excluded.size === 0)[0]?.candidate.instance;
  };

  const send = (
    node: Node,
    read: { service: number; at: number; workMs: number; firstInstance: number },
    excluded: Set<string>,
  ): void => {
    const instance = choose(node, read.service, excluded, read.workMs);
    if (instance === undefined) return;
    const firstInstance = read.firstInstance < 0 ? instance.zone : read.firstInstance;
    const retried = { ...read, firstInstance };
    const observations = observationsOf(node, instance.id);
    const record = (observation: Parameters<FleetDigests['recordOwn']>[2]) =>
      node.digests.recordOwn(`s${read.service}`, instance.id, observation, now);
    const latencyMs = instance.zone === node.zone ? LATENCY_MS : CROSS_ZONE_LATENCY_MS;
    const { isDown, failing = 0 } = instance.condition(now);
    excluded.add(instance.id);
    if (excluded.size >= ZONES) excluded.clear();
    if (isDown === true || random() < failing) {
      at(now + latencyMs, () => {
        record({ type: 'failed' });
        observations.avoidUntil = now + AVOID_MS;
        send(node, retried, excluded);
      });
      return;
    }
    const sentAt = now;
    const end = instance.run(now, read.workMs);
    if (end === 'busy') {
      at(now + latencyMs + REFUSAL_RETRY_DELAY_MS, () => {
        record({ type: 'refused' });
        send(node, retried, excluded);
      });
      return;
    }
    observations.outstanding += 1;
    at(end + latencyMs, () => {
      observations.outstanding -= 1;
      observations.answerMs += (now - sentAt - observations.answerMs) * SMOOTHING;
      record({ type: 'answered', answerMs: now - sentAt });
      reads.push({ service: read.service, at: read.at, tookMs: now - read.at, firstInstance });
    });
  };

  const exchange = (node: Node): void => {
    const readers = readersOf(node);
    const reader = readers[node.nextReaderIndex % readers.length];
    node.nextReaderIndex += 1;
    if (reader !== undefined && !readers.includes(node)) {
      const own = node.digests.ownDigests(now);
      const reported =
        options.relayDigests === undefined ? own : options.relayDigests(own, node.name);
      for (const digest of reported ?? []) reader.digests.recordReported(digest, node.name, now);
      for (const digest of reported === undefined ? [] : reader.digests.mergedDigests(now)) {
        node.digests.recordReported(digest, reader.name, now);
      }
      if (reported !== undefined) node.lastReaderContactAt = now;
    }
    at(now + EXCHANGE_PERIOD_MS, () => exchange(node));
  };
  const refresh = (node: Node): void => {
    for (const [service, placement] of node.placements.entries()) {
      placement.refresh(candidatesOf(node, groups[service] ?? []), now);
    }
    at(now + REFRESH_PERIOD_MS, () => refresh(node));
  };
  if (policy === 'fleet') {
    for (const node of nodes) {
      at(random() * EXCHANGE_PERIOD_MS, () => exchange(node));
      at(random() * REFRESH_PERIOD_MS, () => refresh(node));
    }
  }
  for (now = 0; now < options.seconds * 1000; now += 1) {
    for (const run of scheduled.get(now) ?? []) run();
    scheduled.delete(now);
    for (const [zone, perSecond] of options.perSecond.entries()) {
      const inZone = nodes.filter((node) => nodeCount < ZONES || node.zone === zone);
      for (let service = 0; service < services; service += 1) {
        if (random() >= perSecond / 1000) continue;
        const node = inZone[Math.floor(random() * inZone.length)];
        // 3 % of the reads take several times as long.
        const mean = MEAN_WORK_MS / 1.18;
        const workMs = random() < 0.03 ? mean * 7 : mean * (0.4 + 1.2 * random());
        if (node !== undefined)
          send(node, { service, at: now, workMs, firstInstance: -1 }, new Set());
      }
    }
  }
  return { reads, groups };
}

/** Time within which this fraction of the reads was completed. */
export function percentile(reads: readonly SimulatedRead[], fraction: number): number {
  const times = reads.map(({ tookMs }) => tookMs).sort((left, right) => left - right);
  return times[Math.floor(times.length * fraction)] ?? 0;
}
