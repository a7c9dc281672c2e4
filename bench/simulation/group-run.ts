/** One simulated run of sessions, faults and the group state machine: from a seed to a history. */
import type { ConfirmationMode, InstanceDescription } from '../../src/core/group/contract.js';
import type { Mechanism } from '../../src/core/group/options.js';
import { ZERO_POSITION } from '../../src/core/position.js';
import type { GroupRequest, SessionRequirement } from '../../src/core/request.js';
import { SimulatedClock } from './clock.js';
import { LOSS_PROBABILITY, SimulatedGroup } from './group.js';
import type { RequestRecord, SimulatedHistory } from './history.js';
import { RETRY_CAPACITY } from './history-checks.js';
import { SimulatedOwner } from './owner.js';

export type FaultName =
  | 'crash'
  | 'isolate'
  | 'cut-from-owner'
  | 'lose-answers'
  | 'cut-from-peers'
  | 'pause'
  | 'lag'
  | 'leave'
  | 'break-connections';

export const FAULT_NAMES: readonly FaultName[] = [
  'crash',
  'isolate',
  'cut-from-owner',
  'lose-answers',
  'cut-from-peers',
  'pause',
  'lag',
  'leave',
  'break-connections',
];

/** One fault: its target, start and duration in milliseconds. */
export interface Fault {
  readonly name: FaultName;
  /** Index of the instance; `primary` is the primary at the time of the fault. */
  readonly target: 0 | 1 | 2 | 'primary';
  readonly at: number;
  readonly durationMs: number;
}

/** Replaces the live primary by an instance, which does nothing if that one leads already. */
export interface Handover {
  readonly candidate: 0 | 1 | 2;
  readonly at: number;
}

/** Inputs of a run. */
export interface RunPlan {
  readonly seed: number;
  readonly faults: readonly Fault[];
  readonly handovers?: readonly Handover[];
  /** Primaries that voted go on committing. */
  readonly votersKeepWriting?: boolean;
  readonly mode: ConfirmationMode;
  readonly votersReportTimeline: boolean;
  readonly disabledMechanisms?: ReadonlySet<Mechanism>;
}

const FAULTY_LOSS_PROBABILITY = 0.4;
const LOAD_MS = 1500;
const SETTLING_MS = 5000;
const SESSION_COUNT = 12;
/** These sessions only read, so that their position never requires fresh data. */
const READ_ONLY_SESSION_COUNT = 3;
/** Index of a session that writes and whose position is never known. */
const UNKNOWN_POSITION_SESSION = 3;
const TENANTS = ['bureau', 'trust', 'trust-kiosk'];
const STALENESS_BOUNDS_MS = [0, 60, 300];
/** Bounds of the sessions that only read; none is 0, so that replicas serve them. */
const READ_ONLY_STALENESS_BOUNDS_MS = [60, 300];

interface Session {
  readonly index: number;
  readonly tenant: string;
  requirement: SessionRequirement;
  count: number;
}

/** Runs a plan and returns its history. */
export function simulate(plan: RunPlan): {
  history: SimulatedHistory;
  owner: SimulatedOwner;
} {
  const clock = new SimulatedClock(plan.seed);
  const group = new SimulatedGroup(clock, {
    electionTimeoutMs: clock.between(60, 200),
    votersReportTimeline: plan.votersReportTimeline,
    votersKeepWriting: plan.votersKeepWriting ?? false,
    handoverSeed: plan.seed,
  });
  const owner = new SimulatedOwner(clock, group, {
    group: 'orders',
    ownZone: 'a',
    confirmationMode: plan.mode,
    bounds: { retryCapacity: RETRY_CAPACITY },
    ...(plan.disabledMechanisms === undefined
      ? {}
      : { disabledMechanisms: plan.disabledMechanisms }),
  });
  const leavingInstances = new Set<string>();
  const updateInstances = (): void => {
    owner.setInstances(
      ['a', 'b', 'c'].map((name) => describeInstance(name, leavingInstances.has(name))),
    );
  };
  updateInstances();
  for (const fault of plan.faults) {
    clock.after(fault.at, () =>
      applyFault(fault, {
        clock,
        group,
        owners: () => [owner],
        leaving: leavingInstances,
        describe: updateInstances,
      }),
    );
  }
  for (const { candidate, at } of plan.handovers ?? []) {
    const instance = group.instances[candidate];
    if (instance !== undefined) clock.after(at, () => group.handOver(instance));
  }
  startSessions(clock, owner);
  clock.runUntil(LOAD_MS + SETTLING_MS);
  owner.history.finalLog = group.latestPrimary()?.log ?? [];
  return { history: owner.history, owner };
}

/** An instance with few slots and connections, so that the limits are reached. */
export function describeInstance(name: string, leaving: boolean): InstanceDescription {
  return { name, zone: name, slots: 2, connectionBudget: 3, leaving };
}

/** State that faults change. */
export interface FaultScope {
  readonly clock: SimulatedClock;
  readonly group: SimulatedGroup;
  readonly owners: () => readonly SimulatedOwner[];
  readonly leaving: Set<string>;
  /** Sends the current list of instances to the owners. */
  readonly describe: () => void;
}

/** Starts a fault and schedules its end. */
export function applyFault(fault: Fault, scope: FaultScope): void {
  const { clock, group, owners, leaving, describe } = scope;
  const chosen = typeof fault.target === 'number' ? group.instances[fault.target] : undefined;
  const target = chosen ?? group.latestPrimary();
  if (target === undefined) return;
  const scheduleEnd = (action: () => void): void => clock.after(fault.durationMs, action);
  switch (fault.name) {
    case 'crash':
      group.crash(target);
      for (const owner of owners()) owner.breakConnections(target);
      scheduleEnd(() => group.restart(target));
      break;
    case 'isolate':
      target.ownerCut = 'both-ways';
      target.isCutFromPeers = true;
      scheduleEnd(() => {
        target.ownerCut = 'none';
        target.isCutFromPeers = false;
      });
      break;
    case 'cut-from-owner':
      target.ownerCut = 'both-ways';
      scheduleEnd(() => {
        target.ownerCut = 'none';
      });
      break;
    case 'lose-answers':
      target.ownerCut = 'answers';
      scheduleEnd(() => {
        target.ownerCut = 'none';
      });
      break;
    case 'cut-from-peers':
      target.isCutFromPeers = true;
      scheduleEnd(() => {
        target.isCutFromPeers = false;
      });
      break;
    case 'pause':
      target.pausedUntil = clock.now + fault.durationMs;
      break;
    case 'lag':
      target.lagMs = 400;
      scheduleEnd(() => {
        target.lagMs = 2;
      });
      break;
    case 'break-connections':
      target.lossProbability = FAULTY_LOSS_PROBABILITY;
      scheduleEnd(() => {
        target.lossProbability = LOSS_PROBABILITY;
      });
      break;
    case 'leave':
      leaving.add(target.name);
      describe();
      scheduleEnd(() => {
        leaving.delete(target.name);
        describe();
      });
      break;
  }
}

function startSessions(clock: SimulatedClock, owner: SimulatedOwner): void {
  const sessions = new Map<number, Session>();
  const next = (session: Session): void => {
    if (clock.now >= LOAD_MS) return;
    session.count += 1;
    owner.submit(makeRequest(clock, session), { session: session.index, onCompleted });
  };
  const onCompleted = (record: RequestRecord): void => {
    const session = sessions.get(record.session);
    const [completion] = record.completions;
    if (session === undefined || completion === undefined) return;
    if (completion.position !== undefined && session.requirement.type === 'known') {
      session.requirement = { type: 'known', position: completion.position };
    }
    clock.after(clock.between(0, 8), () => next(session));
  };
  for (let index = 0; index < SESSION_COUNT; index += 1) {
    const session: Session = {
      index,
      tenant: TENANTS[index % TENANTS.length] ?? 'bureau',
      requirement:
        index === UNKNOWN_POSITION_SESSION
          ? { type: 'unknown' }
          : { type: 'known', position: ZERO_POSITION },
      count: 0,
    };
    sessions.set(index, session);
    clock.after(clock.between(5, 40), () => next(session));
  }
}

function makeRequest(clock: SimulatedClock, session: Session): GroupRequest {
  const readOnly = session.index < READ_ONLY_SESSION_COUNT;
  const access = readOnly || clock.chance(0.5) ? 'read' : 'write';
  const bounds = readOnly ? READ_ONLY_STALENESS_BOUNDS_MS : STALENESS_BOUNDS_MS;
  const bound = bounds[Math.floor(clock.random() * bounds.length)] ?? 0;
  const unlock = clock.chance(0.3);
  return {
    id: `s${session.index}-${session.count}`,
    tenant: session.tenant,
    databaseRole: session.tenant.startsWith('trust') ? 'trust' : 'bureau',
    database: 'main',
    access,
    kind: unlock ? 'unlock' : 'default',
    weight: unlock ? 2 : 1,
    stalenessBoundMs: access === 'read' ? bound : 0,
    repeatable: access === 'read',
    session: session.requirement,
    deadline: clock.now + clock.between(100, 900),
    hold: access === 'write' && clock.chance(0.15) ? 'transaction' : 'statement',
    zone: 'a',
  };
}
