/**
 * A simulated database group: instances with a log each, replication with lag, election by
 * majority, and the faults that the tests switch on and off.
 */
import type { InstanceState } from '../../src/core/group/contract.js';
import type { Position } from '../../src/core/position.js';
import type { SimulatedClock } from './clock.js';

/** One committed write. */
export interface LogEntry {
  readonly requestId: string;
  readonly timeline: number;
  readonly committedAt: number;
  /** Key that the same transaction claimed, if it is a request that runs at most once. */
  readonly onceKey?: string;
}

/** A commit as an instance logged it, whether it lasts or not. */
export interface SimulatedCommit {
  readonly entry: LogEntry;
  readonly position: Position;
}

/** An instance was promoted. */
export interface SimulatedElection {
  readonly instance: string;
  readonly timeline: number;
  readonly at: number;
}

/** One instance. All fields are the truth, not what anybody knows. */
export interface SimulatedInstance {
  readonly name: string;
  timeline: number;
  /** Latest timeline it has voted for: it takes no log of an earlier one any more. */
  votedTimeline: number;
  writable: boolean;
  log: LogEntry[];
  replayedLength: number;
  lagMs: number;
  up: boolean;
  pausedUntil: number;
  /** Cut off from the other instances. */
  peersCut: boolean;
  /** Cut off from the owner: nothing arrives, or only its answers are lost. */
  ownerCut: 'none' | 'both-ways' | 'answers';
  /** Of a request: its connection breaks before it is sent; as often, after it has run. */
  lossProbability: number;
  /** Rises with every crash: connections of an earlier life are broken. */
  incarnation: number;
  /** Connections that all owners hold, and how many it lets in. */
  connections: number;
  maxConnections: number;
  /** Keys claimed by transactions that are still open, with their holders. */
  readonly claims: Map<string, object>;
}

/** How a group behaves. */
export interface SimulatedGroupOptions {
  readonly electionTimeoutMs: number;
  /** True if voters report the new timeline at once; else only when they follow it. */
  readonly voteShowsTimeline: boolean;
}

export const LOSS_PROBABILITY = 0.01;
const LSN_PER_ENTRY = 8n;
const REPLICATION_STEP_MS = 2;
const ELECTION_STEP_MS = 5;
const FIRST_TIMELINE = 1;

/** Three instances. */
export class SimulatedGroup {
  readonly instances: SimulatedInstance[];
  readonly commits: SimulatedCommit[] = [];
  readonly elections: SimulatedElection[] = [];
  private primaryMissingSince: number | undefined;

  constructor(
    private readonly clock: SimulatedClock,
    private readonly options: SimulatedGroupOptions,
  ) {
    this.instances = ['a', 'b', 'c'].map((name) => newInstance(name));
    this.scheduleReplication();
    this.scheduleElection();
  }

  get(name: string): SimulatedInstance {
    const found = this.instances.find((instance) => instance.name === name);
    if (found === undefined) throw new RangeError(`no instance ${name}`);
    return found;
  }

  /** The instance on the latest timeline that was promoted. */
  latestPrimary(): SimulatedInstance | undefined {
    return this.instances
      .filter((instance) => instance.writable)
      .sort((left, right) => right.timeline - left.timeline)[0];
  }

  /** True if another instance was promoted after this one. */
  isDeposed(instance: SimulatedInstance): boolean {
    return this.instances.some((other) => {
      return other.writable && other.timeline > instance.timeline;
    });
  }

  isPaused(instance: SimulatedInstance): boolean {
    return this.clock.now < instance.pausedUntil;
  }

  stateOf(instance: SimulatedInstance): InstanceState {
    const replayed = instance.writable ? instance.log.length : instance.replayedLength;
    return {
      writable: instance.writable,
      replayedPosition: positionOf(instance.timeline, replayed),
      receivedPosition: positionOf(instance.timeline, instance.log.length),
    };
  }

  /** Commits on a writable instance. */
  commit(instance: SimulatedInstance, requestId: string, onceKey?: string): LogEntry {
    const { timeline } = instance;
    const committedAt = this.clock.now;
    const key = onceKey === undefined ? {} : { onceKey };
    const entry: LogEntry = { requestId, timeline, committedAt, ...key };
    instance.log.push(entry);
    this.commits.push({ entry, position: positionOf(timeline, instance.log.length) });
    return entry;
  }

  crash(instance: SimulatedInstance): void {
    instance.up = false;
    breakConnections(instance);
  }

  /** Two crashes that overlap end with the first restart. */
  restart(instance: SimulatedInstance): void {
    if (instance.up) return;
    instance.up = true;
    if (this.isDeposed(instance)) instance.writable = false;
    // A restarted replica replays again from its last restart point.
    if (!instance.writable) instance.replayedLength = Math.floor(instance.replayedLength / 2);
  }

  private talks(instance: SimulatedInstance): boolean {
    return instance.up && !instance.peersCut && !this.isPaused(instance);
  }

  private scheduleReplication(): void {
    this.clock.after(REPLICATION_STEP_MS * this.clock.between(0.5, 1.5), () => {
      for (const instance of this.instances) this.replicate(instance);
      this.scheduleReplication();
    });
  }

  private replicate(replica: SimulatedInstance): void {
    const primary = this.latestPrimary();
    if (!this.talks(replica)) return;
    if (primary !== undefined && primary !== replica && this.talks(primary)) {
      if (primary.timeline >= replica.votedTimeline) follow(replica, primary);
    }
    if (replica.writable) return;
    const replayableUntil = this.clock.now - replica.lagMs;
    for (let next = replica.log[replica.replayedLength]; next !== undefined; ) {
      if (next.committedAt > replayableUntil) break;
      replica.replayedLength += 1;
      next = replica.log[replica.replayedLength];
    }
  }

  private scheduleElection(): void {
    this.clock.after(ELECTION_STEP_MS, () => {
      this.considerElection();
      this.scheduleElection();
    });
  }

  private considerElection(): void {
    const primary = this.latestPrimary();
    if (primary !== undefined && this.talks(primary)) {
      this.primaryMissingSince = undefined;
      return;
    }
    this.primaryMissingSince ??= this.clock.now;
    const voters = this.instances.filter((instance) => this.talks(instance));
    if (voters.length <= this.instances.length / 2) return;
    if (this.clock.now - this.primaryMissingSince < this.options.electionTimeoutMs) return;
    this.promote(voters);
    this.primaryMissingSince = undefined;
  }

  private promote(voters: readonly SimulatedInstance[]): void {
    const known = this.instances.map((one) => Math.max(one.timeline, one.votedTimeline));
    const timeline = Math.max(...known) + 1;
    const [winner] = [...voters].sort((left, right) => {
      const byTimeline = lastTimeline(right) - lastTimeline(left);
      return byTimeline !== 0 ? byTimeline : right.log.length - left.log.length;
    });
    if (winner === undefined) return;
    for (const voter of voters) {
      voter.votedTimeline = timeline;
      voter.writable = false;
      if (this.options.voteShowsTimeline && voter !== winner) voter.timeline = timeline;
    }
    winner.timeline = timeline;
    winner.writable = true;
    winner.replayedLength = winner.log.length;
    this.elections.push({ instance: winner.name, timeline, at: this.clock.now });
  }
}

/** The position after `length` entries. */
export function positionOf(timeline: number, length: number): { timeline: number; lsn: bigint } {
  return { timeline, lsn: BigInt(length) * LSN_PER_ENTRY };
}

function newInstance(name: string): SimulatedInstance {
  return {
    name,
    timeline: FIRST_TIMELINE,
    votedTimeline: FIRST_TIMELINE,
    writable: name === 'a',
    log: [],
    replayedLength: 0,
    lagMs: 2,
    up: true,
    pausedUntil: 0,
    peersCut: false,
    ownerCut: 'none',
    lossProbability: LOSS_PROBABILITY,
    incarnation: 0,
    connections: 0,
    maxConnections: Number.POSITIVE_INFINITY,
    claims: new Map(),
  };
}

function lastTimeline(instance: SimulatedInstance): number {
  return instance.log[instance.log.length - 1]?.timeline ?? 0;
}

/** Takes the primary's log; what it does not have is dropped, as pg_rewind does. */
function follow(replica: SimulatedInstance, primary: SimulatedInstance): void {
  const common = commonLength(replica.log, primary.log);
  const rewound = common < replica.log.length;
  replica.writable = false;
  replica.timeline = primary.timeline;
  replica.votedTimeline = primary.timeline;
  if (rewound) breakConnections(replica);
  replica.log.length = common;
  for (const entry of primary.log.slice(common)) replica.log.push(entry);
  replica.replayedLength = Math.min(replica.replayedLength, common);
}

/** What was open on the instance's connections is rolled back with them. */
function breakConnections(instance: SimulatedInstance): void {
  instance.incarnation += 1;
  instance.claims.clear();
}

/** An entry is in one place of one history: logs with the same entry are the same up to it. */
function commonLength(left: readonly LogEntry[], right: readonly LogEntry[]): number {
  let common = Math.min(left.length, right.length);
  while (common > 0 && left[common - 1] !== right[common - 1]) common -= 1;
  return common;
}
