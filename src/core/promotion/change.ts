/**
 * Replaces a service's primary, from the record that announces the change to the record that names the new primary.
 * Every step can be repeated: a later leader starts again from the records in the store.
 */
import type { InstanceEntry, InstanceStatus } from '../../direct/contract.js';
import type { Position } from '../position.js';
import type { Milliseconds } from '../units.js';
import type { PromotionCalls } from './calls.js';
import {
  type CandidateInput,
  chooseCandidate,
  type MemberObservation,
  membersWithAllCommits,
} from './candidate.js';
import type { ControlFailure } from './contract.js';
import type { Election } from './election.js';
import { GroupHold } from './hold.js';
import { isOtherIncarnation } from './incarnations.js';
import type { LeaderStore } from './leader-store.js';
import type { Primaries } from './primaries.js';
import { addressOfInstance, type ChangingRecord } from './records.js';
import type { PromotionRuntime } from './runtime.js';
import { Scope } from './scope.js';

const STEP_PERIOD_MS = 100;

/** Dependencies of a primary change. */
export interface PrimaryChangeContext {
  readonly runtime: PromotionRuntime;
  readonly election: Election;
  readonly calls: PromotionCalls;
  readonly primaries: Primaries;
  readonly store: LeaderStore;
  syncReplicasOf(service: string): number;
  membersOf(service: string): readonly InstanceEntry[];
  departedOf(service: string): readonly InstanceEntry[];
}

export class PrimaryChange {
  readonly #scope: Scope;
  readonly #hold: GroupHold;
  readonly #startedAt: Milliseconds;
  #isHoldStarted = false;
  /** No node uses the old primary any more. */
  #isOldPrimaryUnused: boolean;
  #newPrimary: { readonly instance: InstanceEntry; readonly term: number } | undefined;
  #isWriting = false;
  /** Time since which the only candidates are not proven to have every acknowledged commit. */
  #withheldSince: Milliseconds | undefined;
  /** The log has said that commits are missing, or that they are given up. */
  #loggedLoss: 'missing' | 'given-up' | undefined;
  #cancelCandidateCheck = (): void => {};
  #lastProgressAt: Milliseconds;
  #leaderKeysReadAt: Milliseconds;

  constructor(
    private readonly context: PrimaryChangeContext,
    readonly service: string,
    readonly record: ChangingRecord,
    /** An earlier leader may have called the promotion of a candidate that no record names. */
    mayHaveUnnamedCalls = false,
  ) {
    const { runtime, primaries } = context;
    this.#scope = new Scope(runtime);
    this.#startedAt = runtime.now;
    this.#lastProgressAt = runtime.now;
    this.#leaderKeysReadAt = runtime.now;
    const candidate = this.#recordedCandidate();
    // A candidate is recorded only after all nodes have acknowledged the change.
    this.#isOldPrimaryUnused = candidate !== undefined;
    if (candidate !== undefined)
      context.calls.recordEarlierCandidate(this.#entryOf(candidate) ?? { id: candidate });
    else if (mayHaveUnnamedCalls) context.calls.recordUnnamedCalls();
    const members = context.membersOf(service);
    this.#hold = new GroupHold(runtime, {
      oldPrimary: members.find(({ id }) => id === record.from) ?? primaries.instance(record.from),
      replicas: members.filter(({ id }) => id !== record.from),
      term: record.term,
      isPresent: (id) => primaries.isRegistered(id),
      isConfirmed: (entry, since) => primaries.isIncarnationConfirmed(entry, since, runtime.now),
      mayAct: () => context.election.mayAct(),
      onResponse: () => this.step(),
    });
    runtime.log('info', 'change of primary', {
      service,
      from: record.from,
      planned: record.planned,
      change: record.change,
      candidate,
    });
  }

  /** Time since this leader started to carry out the change. */
  get tookMs(): Milliseconds {
    return Math.round(this.context.runtime.now - this.#startedAt);
  }

  start(): void {
    if (!this.record.planned) this.#startHold();
    this.#checkCandidate();
    this.#tick();
  }

  stop(): void {
    this.#scope.end();
    this.#hold.stop();
  }

  /** Takes the next steps that the present state allows. */
  step(): void {
    const { election, runtime } = this.context;
    if (this.#scope.isEnded || !election.mayAct()) return;
    this.#checkAcknowledgements();
    this.#hold.updateReplicas(this.#replicas());
    const isLate = runtime.now - this.#startedAt >= runtime.timings.plannedChangeGraceMs;
    if (this.#isOldPrimaryUnused || isLate) this.#startHold();
    if (this.#newPrimary !== undefined) return;
    this.#findLaterPrimary();
    if (!this.#isOldPrimaryUnused) {
      this.#rereadLeaderKeys();
      return;
    }
    const candidate = this.#recordedCandidate();
    if (candidate === undefined) this.#recordCandidate();
    else this.#promote(candidate);
  }

  /**
   * Once all nodes have acknowledged, no node uses the old primary again: nodes that start later read the record before
   * they use any primary.
   */
  #checkAcknowledgements(): void {
    const { store, runtime } = this.context;
    if (this.#isOldPrimaryUnused) return;
    this.#isOldPrimaryUnused =
      runtime.isDisabled('acknowledgements') ||
      store.nodesUsingOldPrimary(this.service, this.record)?.length === 0;
    if (this.#isOldPrimaryUnused) this.#hold.recordOldPrimaryUnused();
  }

  #tick(): void {
    this.step();
    if (this.#scope.isEnded) return;
    this.#resignIfStuck();
    this.#scope.after(STEP_PERIOD_MS, () => this.#tick());
  }

  #startHold(): void {
    if (this.#isHoldStarted || this.#newPrimary !== undefined) return;
    this.#isHoldStarted = true;
    this.#hold.start();
  }

  #recordedCandidate(): string | undefined {
    const { candidate, change } = this.context.store.handoverOf(this.service);
    return change === this.record.change ? candidate : undefined;
  }

  #rereadLeaderKeys(): void {
    const { runtime, store } = this.context;
    if (runtime.now - this.#leaderKeysReadAt < runtime.timings.acknowledgementRereadMs) return;
    this.#leaderKeysReadAt = runtime.now;
    store.reread();
  }

  #candidateInput(): CandidateInput {
    const { runtime } = this.context;
    const departed = new Set(this.context.departedOf(this.service).map(({ id }) => id));
    const replicas = this.#replicas().filter((entry) => {
      // A departed member is left out while calls to it fail, and counts again if it is back.
      return !departed.has(entry.id) || !this.#hold.isUnresponsive(entry.id);
    });
    return {
      replicas: replicas.map((entry) => this.#hold.observationOf(entry.id) ?? unobserved(entry)),
      oldPrimary: this.#oldPrimaryObservation(),
      successor: this.#successorObservation(),
      syncReplicas: this.context.syncReplicasOf(this.service),
      acknowledged: this.#acknowledgedPosition(),
      replicated: this.#mayGiveUpCommits ? undefined : this.#replicatedPosition(),
      acceptsAny: runtime.now - this.#startedAt >= this.#betterCandidateWaitMs,
      isProofDisabled: runtime.isDisabled('hold'),
    };
  }

  /** Longer while better candidates are withheld: their registrations may yet prove them. */
  get #betterCandidateWaitMs(): Milliseconds {
    const { betterCandidateWaitMs, registrationExpiryMs } = this.context.runtime.timings;
    return betterCandidateWaitMs + (this.#withheldSince === undefined ? 0 : registrationExpiryMs);
  }

  #acknowledgedPosition(): Position | undefined {
    const { runtime, store } = this.context;
    if (runtime.isDisabled('acknowledged-commits')) return undefined;
    return store.acknowledgedPosition(this.service, this.record);
  }

  #replicatedPosition(): Position | undefined {
    const { runtime, store } = this.context;
    if (runtime.isDisabled('replicated-commits')) return undefined;
    return store.replicatedPosition(this.service, this.record);
  }

  /**
   * Whether an instance that has the missing commits would have responded by now. Counted from the record of the change,
   * since leaders that find no candidate resign.
   */
  get #mayGiveUpCommits(): boolean {
    const { runtime, primaries } = this.context;
    const changingForMs = primaries.recordKnownForMs(this.service, runtime.now);
    return changingForMs >= runtime.timings.memberDeadAfterMs;
  }

  /** Observed by this leader, or else reported by a node that demoted the old primary. */
  #oldPrimaryObservation(): MemberObservation | undefined {
    const own = this.#hold.observationOf(this.record.from);
    const end = this.context.store.demotedLogEnd(this.service, this.record);
    if (own === undefined || end === undefined || own.received !== undefined) return own;
    return { ...own, received: end, isStopped: true, isReachable: false };
  }

  /** Another instance at the old primary's address: the old primary has stopped and this one took over its log. */
  #successorObservation(): MemberObservation | undefined {
    const { at } = this.record;
    const oldPrimary = this.#entryOf(this.record.from);
    const successor = this.#replicas().find((entry) => {
      const isAtAddress = at !== undefined && entry.host === at.host && entry.port === at.port;
      // A new incarnation of the old primary itself has none of its log.
      return isAtAddress && !(oldPrimary !== undefined && isOtherIncarnation(oldPrimary, entry));
    });
    return successor && this.#hold.observationOf(successor.id);
  }

  #replicas(): InstanceEntry[] {
    const { membersOf, departedOf } = this.context;
    const members = [...membersOf(this.service), ...departedOf(this.service)];
    return members.filter(({ id }) => id !== this.record.from);
  }

  #recordCandidate(): void {
    const input = this.#candidateInput();
    const candidate = chooseCandidate(input);
    if (candidate !== undefined) {
      if (this.#mayGiveUpCommits) this.#logLoss('given-up', input);
      this.#writeCandidate(candidate.id);
      return;
    }
    this.#logLoss('missing', input);
    this.#awaitConfirmation(input);
  }

  /** Logs once each that the observed logs lack commits that a replica has received. */
  #logLoss(state: 'missing' | 'given-up', input: CandidateInput): void {
    const { runtime } = this.context;
    const replicated = this.#replicatedPosition();
    if (this.#loggedLoss === state || replicated === undefined) return;
    const isComplete = chooseCandidate({ ...input, replicated }) !== undefined;
    if (isComplete || chooseCandidate({ ...input, replicated: undefined }) === undefined) return;
    this.#loggedLoss = state;
    const event =
      state === 'missing'
        ? 'no candidate has the commits that replicas have received'
        : 'promoting without commits that replicas have received';
    runtime.log('warn', event, {
      ...{ service: this.service, change: this.record.change },
      ...{ timeline: replicated.timeline, lsn: replicated.lsn.toString() },
      members: input.replicas.map(describeMember),
      departed: this.context.departedOf(this.service).map(({ id }) => id),
    });
  }

  /**
   * If only the proof is missing that the members are the incarnations that count, it is there once their registrations
   * have outlived their responses. Another leader would have to wait as long.
   */
  #awaitConfirmation(input: CandidateInput): void {
    const withoutProof = chooseCandidate({ ...input, acknowledged: undefined });
    if (withoutProof === undefined) return;
    const { runtime } = this.context;
    if (this.#withheldSince === undefined) {
      this.#withheldSince = runtime.now;
      runtime.log('warn', 'candidate withheld: it lacks acknowledged commits', {
        ...{ service: this.service, change: this.record.change, candidate: withoutProof.id },
        timeline: input.acknowledged?.timeline,
        lsn: input.acknowledged?.lsn.toString(),
        members: input.replicas.map(describeMember),
      });
    }
    const waitedMs = runtime.now - this.#withheldSince;
    if (waitedMs < runtime.timings.registrationExpiryMs) this.#lastProgressAt = runtime.now;
  }

  #writeCandidate(candidate: string | undefined): void {
    if (this.#isWriting) return;
    this.#isWriting = true;
    this.#lastProgressAt = this.context.runtime.now;
    const { store, calls } = this.context;
    const { change } = this.record;
    const unsettled = calls.unsettledCandidates.current();
    const handover = { ...store.handoverOf(this.service), candidate, change, unsettled };
    const onDone = this.#scope.guard(() => {
      this.#isWriting = false;
      this.step();
    });
    store.write({ service: this.service, handover }, onDone);
  }

  #promote(candidate: string): void {
    const { runtime, calls } = this.context;
    if (this.#isWriting || !this.#isStillProven(candidate) || !calls.call(candidate)) return;
    this.#lastProgressAt = runtime.now;
    this.#checkCandidateAfter(runtime.timings.confirmFirstDelayMs);
  }

  /**
   * Whether the candidate is still proven to have every acknowledged commit. The proof from when it was recorded may no
   * longer hold: a replica that restarted is not held, and an old primary whose log end was known may have stopped
   * since. The candidate is dropped only if no call for it can take effect any more.
   */
  #isStillProven(candidate: string): boolean {
    const { calls } = this.context;
    const complete = membersWithAllCommits(this.#candidateInput());
    const isProven = complete.some(({ entry }) => entry.id === candidate);
    if (isProven && !this.#isUnreachableAndRefused(candidate)) return true;
    if (!calls.isSettled || complete.length === 0) return isProven;
    this.#writeCandidate(undefined);
    return false;
  }

  /**
   * Whether the platform refuses to promote the candidate and this leader can't reach it: it would block the change if
   * it stayed recorded.
   */
  #isUnreachableAndRefused(candidate: string): boolean {
    if (this.context.runtime.isDisabled('gone-candidates')) return false;
    const isReachable = this.#hold.observationOf(candidate)?.isReachable === true;
    return this.context.calls.wasLastCallRefused(candidate) && !isReachable;
  }

  #checkCandidateAfter(delayMs: Milliseconds): void {
    this.#cancelCandidateCheck();
    this.#cancelCandidateCheck = this.#scope.after(delayMs, () => this.#checkCandidate());
  }

  /** Queries the candidate's status repeatedly until it is primary. */
  #checkCandidate(): void {
    const candidate = this.#recordedCandidate();
    const instance = candidate === undefined ? undefined : this.#entryOf(candidate);
    if (this.#newPrimary !== undefined || instance === undefined) return;
    const { runtime } = this.context;
    const onAnswer = this.#scope.guard((answer: InstanceStatus | ControlFailure) => {
      if (typeof answer !== 'string') this.#handleStatus(instance, answer);
      this.#checkCandidateAfter(runtime.timings.confirmPeriodMs);
    });
    runtime.control('status', instance, 0, onAnswer);
  }

  /**
   * An instance that is primary of a later term is the new primary, even if it fails afterwards. It may also be another
   * instance than the candidate, promoted by an earlier leader, unless an unsettled call may still replace it.
   */
  #handleStatus(instance: InstanceEntry, { role, term }: InstanceStatus): void {
    if (role !== 'primary' || term <= this.record.term || this.#newPrimary !== undefined) return;
    const { calls } = this.context;
    if (instance.id !== this.#recordedCandidate() && !calls.isSettled) return;
    calls.recordPromoted(instance.id);
    this.#newPrimary = { instance, term };
    this.#hold.stop();
    this.#finish(instance, term);
  }

  /** Finds a member that is already primary of a later term, since an earlier call took effect. */
  #findLaterPrimary(): void {
    const later = this.#hold.laterPrimary(this.record.term);
    if (later !== undefined) this.#handleStatus(later.entry, later.status);
  }

  #finish(instance: InstanceEntry, term: number): void {
    const { store, election, calls } = this.context;
    this.#checkAcknowledgements();
    if (this.#isWriting || !this.#isOldPrimaryUnused || !election.mayAct()) {
      this.#scope.after(STEP_PERIOD_MS, () => this.#finish(instance, term));
      return;
    }
    this.#isWriting = true;
    const { change } = this.record;
    const at = addressOfInstance(instance);
    const unsettled = calls.unsettledCandidates.besides(instance);
    const place = { instance: instance.id, at, term } as const;
    const record = { phase: 'serving', change, ...place, unsettled } as const;
    const handover = {
      ...store.handoverOf(this.service),
      ...{ primary: instance.id, candidate: undefined, change },
      unsettled: calls.unsettledCandidates.current(),
    };
    // The record itself ends this change, see `ServiceLeader`. While it is missing, the write is repeated.
    const onDone = this.#scope.guard(() => {
      this.#isWriting = false;
      this.#scope.after(STEP_PERIOD_MS, () => this.#finish(instance, term));
    });
    store.write({ service: this.service, record, handover }, onDone);
  }

  /** Resigns after a time without progress: another node may reach instances that this one can't. */
  #resignIfStuck(): void {
    const { runtime, store, election, calls } = this.context;
    if (
      calls.isCallInProgress ||
      this.#isWriting ||
      store.countLiveNodes() <= 1 ||
      !election.mayHandOver
    )
      return;
    if (!this.#isOldPrimaryUnused) {
      this.#lastProgressAt = runtime.now;
      return;
    }
    const withoutProgressMs = runtime.now - Math.max(this.#lastProgressAt, calls.settledAt);
    if (withoutProgressMs < runtime.timings.resignAfterMs) return;
    runtime.log('warn', 'change of primary stuck, resigning', {
      ...{
        service: this.service,
        change: this.record.change,
        candidate: this.#recordedCandidate(),
      },
      ...{ refusals: calls.consecutiveRefusals, unheard: this.#unresponsiveMembers() },
    });
    election.resign(runtime.timings.candidacyCooldownMs);
  }

  /** Members whose log position this leader does not know at present. */
  #unresponsiveMembers(): string[] {
    const { replicas, oldPrimary } = this.#candidateInput();
    const all = oldPrimary === undefined ? replicas : [...replicas, oldPrimary];
    return all.filter(({ received }) => received === undefined).map(({ entry }) => entry.id);
  }

  #entryOf(id: string): InstanceEntry | undefined {
    return (
      this.context.primaries.instance(id) ??
      this.context.membersOf(this.service).find((entry) => entry.id === id)
    );
  }
}

/** What the proof of a candidate rests on, for the log. */
function describeMember({ entry, received, isStopped, isConfirmed }: MemberObservation): string {
  const end = received === undefined ? 'unknown' : `${received.timeline}.${received.lsn}`;
  return `${entry.id} ${end} ${isStopped ? 'held' : 'not held'} ${isConfirmed ? 'proven' : 'not proven'}`;
}

function unobserved(entry: InstanceEntry) {
  return {
    ...{ entry, received: undefined, isStopped: false, isRegistered: false },
    ...{ isReachable: false, isConfirmed: false },
  };
}
