/**
 * Measures the groups of one owner at the design size: the real group state machines over simulated instances
 * with fixed response times, idle and under load. Counts probes and the state machines' processor time.
 */
import type { GroupEffect, GroupEvent, InstanceState } from '../../src/core/group/contract.js';
import { DatabaseGroup } from '../../src/core/group/database-group.js';
import { DEFAULT_OWNERS_PER_GROUP } from '../../src/core/ownership/owner-index.js';
import type { GroupRequest } from '../../src/core/request.js';
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../../src/core/units.js';
import { POSITION_QUERY } from '../../src/postgres/backend/position-query.js';
import { DeadlineTimer } from '../deadline-timer.js';
import { roundTo } from '../distribution.js';
import { VirtualClock } from '../virtual-clock.js';
import { measureMemory } from './measure.js';
import { DESIGN_SIZE } from './sizes.js';

/** Number of groups of which one node is an owner. */
export const OWNED_GROUPS = Math.ceil(
  (DESIGN_SIZE.groups * DEFAULT_OWNERS_PER_GROUP) / DESIGN_SIZE.nodes,
);
const WARM_UP_MS = 10_000;
const MEASURED_MS = 20_000;
const PROBE_ROUND_TRIP_MS = 1;
const STATEMENT_DURATION_MS = 2;
const CONNECT_DURATION_MS = 5;
const REQUEST_TIMEOUT_MS = 5000;

/** Message lengths of the response by PostgreSQL's message formats: one row of six columns. */
const ROW_DESCRIPTION_BYTES = 7 + 6 * (18 + 20);
const DATA_ROW_BYTES = 7 + 6 * 4 + 1 + 1 + 24 + 1 + 10 + 10;
const COMPLETE_AND_READY_BYTES = 15 + 6;
const QUERY_MESSAGE_BYTES = 6;
/** Two segments with data and one acknowledgement. */
const SEGMENT_HEADERS_BYTES = 3 * 52;
export const PROBE_BYTES =
  QUERY_MESSAGE_BYTES +
  POSITION_QUERY.length +
  ROW_DESCRIPTION_BYTES +
  DATA_ROW_BYTES +
  COMPLETE_AND_READY_BYTES +
  SEGMENT_HEADERS_BYTES;

export interface OwnerCost {
  readonly groups: number;
  readonly requestsPerSecondPerGroup: number;
  readonly memoryBytesPerGroup: number;
  readonly probesPerSecond: number;
  readonly probeBytesPerSecond: number;
  /** Fraction of a core that the state machines use, requests included. */
  readonly cpuCoreShare: number;
  readonly requestsReleased: number;
}

export function measureOwner(requestsPerSecondPerGroup: number): OwnerCost {
  const clock = new VirtualClock();
  const { built: groups, bytes } = measureMemory(() =>
    Array.from({ length: OWNED_GROUPS }, (_, index) => new HollowGroup(clock, `group-${index}`)),
  );
  for (const group of groups) group.start(requestsPerSecondPerGroup);
  clock.runUntil(WARM_UP_MS);
  for (const group of groups) group.resetCounts();
  clock.runUntil(WARM_UP_MS + MEASURED_MS);
  const seconds = MEASURED_MS / MILLISECONDS_PER_SECOND;
  const probes = sumOf(groups, (group) => group.probes) / seconds;
  return {
    groups: OWNED_GROUPS,
    requestsPerSecondPerGroup,
    memoryBytesPerGroup: Math.round(bytes / OWNED_GROUPS),
    probesPerSecond: roundTo(probes),
    probeBytesPerSecond: Math.round(probes * PROBE_BYTES),
    cpuCoreShare: roundTo(sumOf(groups, (group) => group.processorMs) / MEASURED_MS, 5),
    requestsReleased: sumOf(groups, (group) => group.released),
  };
}

class HollowGroup {
  probes = 0;
  processorMs: Milliseconds = 0;
  released = 0;
  readonly #clock: VirtualClock;
  readonly #machine: DatabaseGroup;
  readonly #timer: DeadlineTimer;
  readonly #name: string;
  #requests = 0;
  #lsn = 1n;

  constructor(clock: VirtualClock, name: string) {
    this.#clock = clock;
    this.#name = name;
    this.#machine = new DatabaseGroup({ group: name, ownZone: 'zone-0', random: () => 0.5 });
    this.#timer = new DeadlineTimer(
      clock,
      () => this.#machine.nextDeadline(),
      () => this.#handle({ type: 'tick' }),
    );
  }

  start(requestsPerSecond: number): void {
    const instances = Array.from({ length: DESIGN_SIZE.instancesPerGroup }, (_, index) => ({
      name: `instance-${index}`,
      zone: `zone-${index}`,
      slots: 20,
      connectionBudget: 50,
      leaving: false,
    }));
    this.#handle({ type: 'instances-changed', instances });
    const limits = [
      {
        tenant: 'tenant',
        maxInFlight: 1000,
        maxQueued: 1000,
        queueWeight: 1,
        maxConnections: 50,
        requestsPerSecond: 100_000,
        burst: 1000,
      },
    ];
    this.#handle({ type: 'limits-changed', limits });
    if (requestsPerSecond === 0) return;
    this.#clock.every(MILLISECONDS_PER_SECOND / requestsPerSecond, () => {
      this.#handle({ type: 'request-arrived', request: this.#nextRequest() });
      return true;
    });
  }

  resetCounts(): void {
    this.probes = 0;
    this.processorMs = 0;
    this.released = 0;
  }

  #handle(event: GroupEvent): void {
    const startedAt = performance.now();
    const effects = this.#machine.handle(event, this.#clock.now);
    this.processorMs += performance.now() - startedAt;
    for (const effect of effects) this.#executeEffect(effect);
    this.#timer.arm();
  }

  #executeEffect(effect: GroupEffect): void {
    if (effect.type === 'probe') this.#probe(effect);
    else if (effect.type === 'open-connection') {
      const { connectionId } = effect;
      this.#schedule(CONNECT_DURATION_MS, { type: 'connection-opened', connectionId });
    } else if (effect.type === 'reset-connection') {
      const { connectionId } = effect;
      this.#schedule(PROBE_ROUND_TRIP_MS, { type: 'connection-reset', connectionId });
    } else if (effect.type === 'run') this.#run(effect);
    else if (effect.type === 'release') this.released += 1;
  }

  #probe({ probeId, instance }: Extract<GroupEffect, { type: 'probe' }>): void {
    this.probes += 1;
    const state = this.#stateOf(instance);
    this.#schedule(PROBE_ROUND_TRIP_MS, { type: 'probe-answered', probeId, state });
  }

  #run({ requestId, onPrimary }: Extract<GroupEffect, { type: 'run' }>): void {
    if (onPrimary) this.#lsn += 1n;
    const position = onPrimary ? { timeline: 1, lsn: this.#lsn } : undefined;
    const result = { type: 'completed', position } as const;
    this.#schedule(STATEMENT_DURATION_MS, { type: 'run-finished', requestId, result });
  }

  #schedule(delay: Milliseconds, event: GroupEvent): void {
    this.#clock.after(delay, () => this.#handle(event));
  }

  #stateOf(instance: string): InstanceState {
    const position = { timeline: 1, lsn: this.#lsn };
    return {
      writable: instance === 'instance-0',
      replayedPosition: position,
      receivedPosition: position,
    };
  }

  /** Every tenth request is a write. */
  #nextRequest(): GroupRequest {
    this.#requests += 1;
    const isWrite = this.#requests % 10 === 0;
    return {
      id: `${this.#name}/${this.#requests}`,
      tenant: 'tenant',
      databaseRole: 'app',
      database: 'orders',
      access: isWrite ? 'write' : 'read',
      kind: 'default',
      weight: 1,
      stalenessBoundMs: 500,
      repeatable: !isWrite,
      session: { type: 'known', position: { timeline: 0, lsn: 0n } },
      deadline: this.#clock.now + REQUEST_TIMEOUT_MS,
      hold: 'statement',
      zone: 'zone-0',
    };
  }
}

function sumOf<Item>(items: readonly Item[], figure: (item: Item) => number): number {
  return items.reduce((sum, item) => sum + figure(item), 0);
}
