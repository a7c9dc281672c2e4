/**
 * A simulated database group: instances with one log each, replication with lag, election by
 * majority, and faults that tests turn on and off.
 */
import type { InstanceState } from '../../src/core/group/contract.js';
import type { Position } from '../../src/core/position.js';
import type { SimulatedClock } from './clock.js';
import { SeededRandom } from './random.js';

/** One committed write. */
export interface LogEntry {
  readonly requestId: string;
  readonly timeline: number;
  readonly committedAt: number;
  /** Idempotency key that the same transaction claimed, if the request has one. */
  readonly onceKey?: string;
}

/** A commit as an instance logged it, also if it was discarded later. */
export interface SimulatedCommit {
  readonly entry: LogEntry;
  readonly position: Position;
}

/** A promotion of an instance. */
export interface SimulatedElection {
  readonly instance: string;
  readonly timeline: number;
  readonly at: number;
}

/** One instance. The fields are its actual state, not what proxies have observed of it. */
export interface SimulatedInstance {
  readonly name: string;
  timeline: number;
  /** Latest timeline that it has voted for; it rejects log entries from earlier timelines. */
  votedTimeline: number;
  writable: boolean;
  log: LogEntry[];
  replayedLength: number;
  lagMs: number;
  isUp: boolean;
  pausedUntil: number;
  /** No link to the other instances works. */
  isCutFromPeers: boolean;
  /** Link to the owner: cut in both directions, or for answers only. */
  ownerCut: 'none' | 'both-ways' | 'answers';
  /** Probability that a request's connection breaks before the request is sent; same again after it ran. */
  lossProbability: number;
  /** Rises with each crash; connections of an earlier incarnation are broken. */
  incarnation: number;
  /** Connections open from all owners, and the limit. */
  connections: number;
  maxConnections: number;
  /** Idempotency keys claimed by open transactions, with the run that holds each. */
  readonly claims: Map<string, object>;
}

/** Behaviour of a group. */
export interface SimulatedGroupOptions {
  readonly electionTimeoutMs: number;
  /** Voters report the new timeline from the vote on; otherwise from when they replicate it. */
  readonly votersReportTimeline: boolean;
  /** A primary that voted goes on committing until the elected one reaches it, which a group must not do. */
  readonly votersKeepWriting?: boolean;
  /** Seed of the delays of handovers, which draw nothing from the clock's randomness. */
  readonly handoverSeed?: number;
}

export const LOSS_PROBABILITY = 0.01;
const LSN_PER_ENTRY = 8n;
const REPLICATION_PERIOD_MS = 2;
const ELECTION_CHECK_PERIOD_MS = 5;
const FIRST_TIMELINE = 1;
/** Range of the delay of a message of a handover. */
const HANDOVER_DELAY_MS = [0.5, 60] as const;
/** Delay until a candidate that lacks a commit of the primary tries again. */
const HANDOVER_RETRY_MS = 5;
/** A handover that is not decided by then ends with an election among the reachable instances. */
const HANDOVER_TIMEOUT_MS = 250;

/** One binding round of votes. */
interface HandoverRound {
  readonly candidate: SimulatedInstance;
  readonly timeline: number;
  readonly voters: Set<SimulatedInstance>;
}

/** A group of three instances. */
export class SimulatedGroup {
  readonly instances: SimulatedInstance[];
  readonly commits: SimulatedCommit[] = [];
  readonly elections: SimulatedElection[] = [];
  private primaryMissingSince: number | undefined;
  private readonly handoverRandom: SeededRandom;

  constructor(
    private readonly clock: SimulatedClock,
    private readonly options: SimulatedGroupOptions,
  ) {
    this.handoverRandom = new SeededRandom(options.handoverSeed ?? 0);
    this.instances = ['a', 'b', 'c'].map((name) => createInstance(name));
    this.scheduleReplication();
    this.scheduleElection();
  }

  get(name: string): SimulatedInstance {
    const found = this.instances.find((instance) => instance.name === name);
    if (found === undefined) throw new RangeError(`no instance ${name}`);
    return found;
  }

  /** The writable instance with the latest timeline. */
  latestPrimary(): SimulatedInstance | undefined {
    return this.instances
      .filter((instance) => instance.writable)
      .sort((left, right) => right.timeline - left.timeline)[0];
  }

  /** True if another instance is writable on a later timeline. */
  isReplaced(instance: SimulatedInstance): boolean {
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
    instance.isUp = false;
    breakConnections(instance);
  }

  /** Restarts a crashed instance; the first restart ends two crashes that overlap. */
  restart(instance: SimulatedInstance): void {
    if (instance.isUp) return;
    instance.isUp = true;
    if (this.isReplaced(instance)) instance.writable = false;
    // A restarted replica replays from its last restart point.
    if (!instance.writable) instance.replayedLength = Math.floor(instance.replayedLength / 2);
  }

  /** Replaces the live primary by this replica; each vote request and vote takes its own time. */
  handOver(
    candidate: SimulatedInstance,
    untilMs: number = this.clock.now + HANDOVER_TIMEOUT_MS,
  ): void {
    const primary = this.latestPrimary();
    if (primary === undefined || primary === candidate || this.clock.now >= untilMs) return;
    const isUpToDate = commonPrefixLength(candidate.log, primary.log) === primary.log.length;
    if (!isUpToDate || !this.canReachPeers(candidate)) {
      this.clock.after(HANDOVER_RETRY_MS, () => this.handOver(candidate, untilMs));
      return;
    }
    const timeline = this.nextTimeline();
    candidate.votedTimeline = timeline;
    const round = { candidate, timeline, voters: new Set([candidate]) };
    for (const voter of this.instances) {
      if (voter !== candidate) this.afterHandoverDelay(() => this.vote(voter, round));
    }
    this.clock.after(HANDOVER_TIMEOUT_MS, () => this.endHandover(round));
  }

  private afterHandoverDelay(action: () => void): void {
    this.clock.after(this.handoverRandom.between(...HANDOVER_DELAY_MS), action);
  }

  private vote(voter: SimulatedInstance, round: HandoverRound): void {
    const { candidate, timeline } = round;
    if (!this.canReachPeers(voter) || !this.canReachPeers(candidate)) return;
    if (voter.votedTimeline >= timeline || isAhead(voter, candidate)) return;
    voter.votedTimeline = timeline;
    if (this.options.votersReportTimeline) voter.timeline = timeline;
    if (voter.writable && this.options.votersKeepWriting !== true) {
      voter.writable = false;
      breakConnections(voter);
    }
    this.afterHandoverDelay(() => this.countVote(voter, round));
  }

  private countVote(
    voter: SimulatedInstance,
    { candidate, timeline, voters }: HandoverRound,
  ): void {
    if (!this.canReachPeers(candidate) || candidate.votedTimeline !== timeline) return;
    voters.add(voter);
    if (voters.size * 2 <= this.instances.length || candidate.timeline === timeline) return;
    this.lead(candidate, timeline);
  }

  /** Without a decision, the instances that refused and those that voted need a later timeline. */
  private endHandover({ timeline }: HandoverRound): void {
    if (this.instances.some((instance) => instance.timeline >= timeline && instance.writable))
      return;
    const reachable = this.instances.filter((instance) => this.canReachPeers(instance));
    if (reachable.length * 2 > this.instances.length) this.promote(reachable);
  }

  private canReachPeers(instance: SimulatedInstance): boolean {
    return instance.isUp && !instance.isCutFromPeers && !this.isPaused(instance);
  }

  private scheduleReplication(): void {
    this.clock.after(REPLICATION_PERIOD_MS * this.clock.between(0.5, 1.5), () => {
      for (const instance of this.instances) this.replicate(instance);
      this.scheduleReplication();
    });
  }

  private replicate(replica: SimulatedInstance): void {
    const primary = this.latestPrimary();
    if (!this.canReachPeers(replica)) return;
    if (primary !== undefined && primary !== replica && this.canReachPeers(primary)) {
      if (primary.timeline >= replica.votedTimeline) copyLog(replica, primary);
    }
    if (replica.writable) return;
    const latestReplayableAt = this.clock.now - replica.lagMs;
    for (let next = replica.log[replica.replayedLength]; next !== undefined; ) {
      if (next.committedAt > latestReplayableAt) break;
      replica.replayedLength += 1;
      next = replica.log[replica.replayedLength];
    }
  }

  private scheduleElection(): void {
    this.clock.after(ELECTION_CHECK_PERIOD_MS, () => {
      this.electIfPrimaryIsMissing();
      this.scheduleElection();
    });
  }

  private electIfPrimaryIsMissing(): void {
    const primary = this.latestPrimary();
    if (primary !== undefined && this.canReachPeers(primary)) {
      this.primaryMissingSince = undefined;
      return;
    }
    this.primaryMissingSince ??= this.clock.now;
    const voters = this.instances.filter((instance) => this.canReachPeers(instance));
    if (voters.length <= this.instances.length / 2) return;
    if (this.clock.now - this.primaryMissingSince < this.options.electionTimeoutMs) return;
    this.promote(voters);
    this.primaryMissingSince = undefined;
  }

  private promote(voters: readonly SimulatedInstance[]): void {
    const timeline = this.nextTimeline();
    const [winner] = [...voters].sort((left, right) => {
      const byTimeline = lastTimeline(right) - lastTimeline(left);
      return byTimeline !== 0 ? byTimeline : right.log.length - left.log.length;
    });
    if (winner === undefined) return;
    for (const voter of voters) {
      voter.votedTimeline = timeline;
      voter.writable = false;
      if (this.options.votersReportTimeline && voter !== winner) voter.timeline = timeline;
    }
    this.lead(winner, timeline);
  }

  private nextTimeline(): number {
    const timelines = this.instances.map((one) => Math.max(one.timeline, one.votedTimeline));
    return Math.max(...timelines) + 1;
  }

  private lead(winner: SimulatedInstance, timeline: number): void {
    winner.timeline = timeline;
    winner.writable = true;
    winner.replayedLength = winner.log.length;
    this.elections.push({ instance: winner.name, timeline, at: this.clock.now });
  }
}

/** The log position after `length` entries. */
export function positionOf(timeline: number, length: number): { timeline: number; lsn: bigint } {
  return { timeline, lsn: BigInt(length) * LSN_PER_ENTRY };
}

function createInstance(name: string): SimulatedInstance {
  return {
    name,
    timeline: FIRST_TIMELINE,
    votedTimeline: FIRST_TIMELINE,
    writable: name === 'a',
    log: [],
    replayedLength: 0,
    lagMs: 2,
    isUp: true,
    pausedUntil: 0,
    isCutFromPeers: false,
    ownerCut: 'none',
    lossProbability: LOSS_PROBABILITY,
    incarnation: 0,
    connections: 0,
    maxConnections: Number.POSITIVE_INFINITY,
    claims: new Map(),
  };
}

/** True if the first log is later than the second: a voter compares the last entries. */
function isAhead(voter: SimulatedInstance, candidate: SimulatedInstance): boolean {
  const byTimeline = lastTimeline(voter) - lastTimeline(candidate);
  return byTimeline !== 0 ? byTimeline > 0 : voter.log.length > candidate.log.length;
}

function lastTimeline(instance: SimulatedInstance): number {
  return instance.log[instance.log.length - 1]?.timeline ?? 0;
}

/** Copies the primary's log and discards entries that the primary lacks, like pg_rewind. */
function copyLog(replica: SimulatedInstance, primary: SimulatedInstance): void {
  const commonCount = commonPrefixLength(replica.log, primary.log);
  const isRewound = commonCount < replica.log.length;
  replica.writable = false;
  replica.timeline = primary.timeline;
  replica.votedTimeline = primary.timeline;
  if (isRewound) breakConnections(replica);
  replica.log.length = commonCount;
  for (const entry of primary.log.slice(commonCount)) replica.log.push(entry);
  replica.replayedLength = Math.min(replica.replayedLength, commonCount);
}

/** Breaks all connections, which rolls back their open transactions. */
function breakConnections(instance: SimulatedInstance): void {
  instance.incarnation += 1;
  instance.claims.clear();
}

/** Logs that share an entry are equal up to that entry, so the search runs backwards. */
function commonPrefixLength(left: readonly LogEntry[], right: readonly LogEntry[]): number {
  let common = Math.min(left.length, right.length);
  while (common > 0 && left[common - 1] !== right[common - 1]) common -= 1;
  return common;
}
