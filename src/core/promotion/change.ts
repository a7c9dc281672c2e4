/**
 * One change of a service's primary, from the record that announces it to the record that names the
 * new one. Begins anew from the store's records under a later leader: every step can be repeated.
 */
import type { InstanceEntry, InstanceStatus } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';
import type { PromotionCalls } from './calls.js';
import {
  type CandidateQuestion,
  certainMembers,
  chooseCandidate,
  type MemberFinding,
} from './candidate.js';
import type { ControlFailure } from './contract.js';
import type { DutyStore } from './duty-store.js';
import type { Election } from './election.js';
import { GroupHold } from './hold.js';
import type { Primaries } from './primaries.js';
import { addressOfInstance, type ChangingRecord } from './records.js';
import type { PromotionRuntime } from './runtime.js';
import { Scope } from './scope.js';

const STEP_EVERY_MS = 100;

/** What a change works with. */
export interface ChangeContext {
  readonly runtime: PromotionRuntime;
  readonly election: Election;
  readonly calls: PromotionCalls;
  readonly primaries: Primaries;
  readonly store: DutyStore;
  syncReplicasOf(service: string): number;
  membersOf(service: string): readonly InstanceEntry[];
  departedOf(service: string): readonly InstanceEntry[];
}

export class PrimaryChange {
  readonly #scope: Scope;
  readonly #hold: GroupHold;
  readonly #begunAt: Milliseconds;
  #holding = false;
  /** No node uses the old primary any more. */
  #isFree: boolean;
  #found: { readonly instance: InstanceEntry; readonly term: number } | undefined;
  #writing = false;
  #cancelConfirm = (): void => {};
  #progressAt: Milliseconds;
  #readAt: Milliseconds;

  constructor(
    private readonly context: ChangeContext,
    readonly service: string,
    readonly record: ChangingRecord,
    /** An earlier leader may have called for a candidate, though no record names one. */
    mayHaveBeenCalled = false,
  ) {
    const { runtime, primaries } = context;
    this.#scope = new Scope(runtime);
    this.#begunAt = runtime.now;
    this.#progressAt = runtime.now;
    this.#readAt = runtime.now;
    const named = this.#namedCandidate();
    // One is named only once all nodes have acknowledged.
    this.#isFree = named !== undefined;
    if (named !== undefined) context.calls.noteEarlierLeader(named);
    else if (mayHaveBeenCalled) context.calls.noteUnnamedCalls();
    const members = context.membersOf(service);
    this.#hold = new GroupHold(runtime, {
      from: members.find(({ id }) => id === record.from) ?? primaries.instance(record.from),
      replicas: members.filter(({ id }) => id !== record.from),
      term: record.term,
      isPresent: (id) => primaries.isRegistered(id),
      mayAct: () => context.election.mayAct(),
      onFinding: () => this.step(),
    });
    runtime.log('info', 'change of primary', {
      service,
      from: record.from,
      planned: record.planned,
      change: record.change,
      candidate: named,
    });
  }

  /** Time since this leader took the change up. */
  get tookMs(): Milliseconds {
    return Math.round(this.context.runtime.now - this.#begunAt);
  }

  start(): void {
    if (!this.record.planned) this.#startHold();
    this.#confirm();
    this.#tick();
  }

  stop(): void {
    this.#scope.end();
    this.#hold.stop();
  }

  /** Goes as far as what is known allows. */
  step(): void {
    const { election, runtime } = this.context;
    if (this.#scope.isEnded || !election.mayAct()) return;
    this.#noteAcknowledgements();
    this.#hold.noteReplicas(this.#replicas());
    const isLate = runtime.now - this.#begunAt >= runtime.timings.plannedChangeGraceMs;
    if (this.#isFree || isLate) this.#startHold();
    if (this.#found !== undefined) return;
    this.#lookForLeader();
    if (!this.#isFree) {
      this.#readDuty();
      return;
    }
    const named = this.#namedCandidate();
    if (named === undefined) this.#nameCandidate();
    else this.#promote(named);
  }

  /**
   * Once all nodes have acknowledged, the old primary stays out of use: those that come later read
   * the record before they use any.
   */
  #noteAcknowledgements(): void {
    const { store, runtime } = this.context;
    if (this.#isFree) return;
    this.#isFree =
      runtime.isDisabled('acknowledgements') ||
      store.nodesInUse(this.service, this.record)?.length === 0;
    if (this.#isFree) this.#hold.noteFree();
  }

  #tick(): void {
    this.step();
    if (this.#scope.isEnded) return;
    this.#resignIfStuck();
    this.#scope.after(STEP_EVERY_MS, () => this.#tick());
  }

  #startHold(): void {
    if (this.#holding || this.#found !== undefined) return;
    this.#holding = true;
    this.#hold.start();
  }

  #namedCandidate(): string | undefined {
    const { candidate, change } = this.context.store.noteOf(this.service);
    return change === this.record.change ? candidate : undefined;
  }

  #readDuty(): void {
    const { runtime, store } = this.context;
    if (runtime.now - this.#readAt < runtime.timings.acknowledgementRereadMs) return;
    this.#readAt = runtime.now;
    store.readAnew();
  }

  #question(): CandidateQuestion {
    const { runtime } = this.context;
    const departed = new Set(this.context.departedOf(this.service).map(({ id }) => id));
    const replicas = this.#replicas().filter((entry) => {
      // One that was forgotten counts again if it is back.
      return !departed.has(entry.id) || !this.#hold.isUnheard(entry.id);
    });
    return {
      replicas: replicas.map((entry) => this.#hold.findingOf(entry.id) ?? unheard(entry)),
      from: this.#findingOfOld(),
      successor: this.#findingOfSuccessor(),
      syncReplicas: this.context.syncReplicasOf(this.service),
      acceptAny: runtime.now - this.#begunAt >= runtime.timings.betterCandidateWaitMs,
      withoutProof: runtime.isDisabled('hold'),
    };
  }

  /** The leader's own finding, or that of a node which demoted the old primary. */
  #findingOfOld(): MemberFinding | undefined {
    const own = this.#hold.findingOf(this.record.from);
    const end = this.context.store.endOf(this.service, this.record);
    if (own === undefined || end === undefined || own.received !== undefined) return own;
    return { ...own, received: end, stopped: true, isReached: false };
  }

  /** Another instance at the old primary's address: that one has ended, and its log has gone to this one. */
  #findingOfSuccessor(): MemberFinding | undefined {
    const { at } = this.record;
    const successor = this.#replicas().find(({ host, port }) => {
      return at !== undefined && host === at.host && port === at.port;
    });
    return successor && this.#hold.findingOf(successor.id);
  }

  #replicas(): InstanceEntry[] {
    const { membersOf, departedOf } = this.context;
    const members = [...membersOf(this.service), ...departedOf(this.service)];
    return members.filter(({ id }) => id !== this.record.from);
  }

  #nameCandidate(): void {
    const candidate = chooseCandidate(this.#question());
    if (candidate !== undefined) this.#writeCandidate(candidate.id);
  }

  #writeCandidate(candidate: string | undefined): void {
    if (this.#writing) return;
    this.#writing = true;
    this.#progressAt = this.context.runtime.now;
    const { store } = this.context;
    const note = { ...store.noteOf(this.service), candidate, change: this.record.change };
    const onDone = this.#scope.guard(() => {
      this.#writing = false;
      this.step();
    });
    store.write({ service: this.service, note }, onDone);
  }

  #promote(candidate: string): void {
    const { runtime, calls } = this.context;
    if (this.#writing || !this.#isStillCertain(candidate) || !calls.call(candidate)) return;
    this.#progressAt = runtime.now;
    this.#confirmAfter(runtime.timings.confirmFirstDelayMs);
  }

  /**
   * What was certain when the candidate was named may be no longer: a replica that restarted is not held, and an old
   * primary whose log is known may have ended since. Another one is named only if no call for this one can take
   * effect any more.
   */
  #isStillCertain(candidate: string): boolean {
    const { calls } = this.context;
    const certain = certainMembers(this.#question());
    const isCertain = certain.some(({ entry }) => entry.id === candidate);
    if (isCertain && !this.#isGone(candidate)) return true;
    if (!calls.isSettled || certain.length === 0) return isCertain;
    this.#writeCandidate(undefined);
    return false;
  }

  /** The platform refuses to let it lead, and this leader does not reach it: named, it would hold the service up. */
  #isGone(candidate: string): boolean {
    if (this.context.runtime.isDisabled('gone-candidates')) return false;
    const isReached = this.#hold.findingOf(candidate)?.isReached === true;
    return this.context.calls.isRefused(candidate) && !isReached;
  }

  #confirmAfter(delayMs: Milliseconds): void {
    this.#cancelConfirm();
    this.#cancelConfirm = this.#scope.after(delayMs, () => this.#confirm());
  }

  /** Looks whether the named candidate leads, until it does. */
  #confirm(): void {
    const candidate = this.#namedCandidate();
    const instance = candidate === undefined ? undefined : this.#entryOf(candidate);
    if (this.#found !== undefined || instance === undefined) return;
    const { runtime } = this.context;
    const onAnswer = this.#scope.guard((answer: InstanceStatus | ControlFailure) => {
      if (typeof answer !== 'string') this.#noteStatus(instance, answer);
      this.#confirmAfter(runtime.timings.confirmPeriodMs);
    });
    runtime.control('status', instance, 0, onAnswer);
  }

  /**
   * One that leads a later term is the new primary, whatever becomes of it: the candidate, or another
   * that an earlier leader called for, unless a call for the candidate may still depose it.
   */
  #noteStatus(instance: InstanceEntry, { role, term }: InstanceStatus): void {
    if (role !== 'primary' || term <= this.record.term || this.#found !== undefined) return;
    const { calls } = this.context;
    if (instance.id !== this.#namedCandidate() && !calls.isSettled) return;
    calls.noteLeads(instance.id);
    this.#found = { instance, term };
    this.#hold.stop();
    this.#finish(instance, term);
  }

  /** A member leads a later term already: an earlier call took effect. */
  #lookForLeader(): void {
    const leader = this.#hold.leaderAfter(this.record.term);
    if (leader !== undefined) this.#noteStatus(leader.entry, leader.status);
  }

  #finish(instance: InstanceEntry, term: number): void {
    const { store, election } = this.context;
    this.#noteAcknowledgements();
    if (this.#writing || !this.#isFree || !election.mayAct()) {
      this.#scope.after(STEP_EVERY_MS, () => this.#finish(instance, term));
      return;
    }
    this.#writing = true;
    const { change } = this.record;
    const at = addressOfInstance(instance);
    const record = { phase: 'serving', change, instance: instance.id, at, term } as const;
    const known = store.noteOf(this.service);
    const note = { ...known, primary: instance.id, candidate: undefined, change };
    // The record itself ends this change, see `ServiceDuty`; without it, the write is made again.
    const onDone = this.#scope.guard(() => {
      this.#writing = false;
      this.#scope.after(STEP_EVERY_MS, () => this.#finish(instance, term));
    });
    store.write({ service: this.service, record, note }, onDone);
  }

  /** Another node may reach what this one does not. */
  #resignIfStuck(): void {
    const { runtime, store, election, calls } = this.context;
    if (calls.isCalling || this.#writing || store.liveNodes() <= 1 || !election.mayHandOn) return;
    if (!this.#isFree) {
      this.#progressAt = runtime.now;
      return;
    }
    const stuckMs = runtime.now - Math.max(this.#progressAt, calls.settledAt);
    if (stuckMs < runtime.timings.resignAfterMs) return;
    runtime.log('warn', 'change of primary stuck, resigning', {
      ...{ service: this.service, change: this.record.change, candidate: this.#namedCandidate() },
      ...{ refusals: calls.refusals, unheard: this.#unheardMembers() },
    });
    election.resign(runtime.timings.candidacyCooldownMs);
  }

  /** Members whose logs this leader can't vouch for now. */
  #unheardMembers(): string[] {
    const { replicas, from } = this.#question();
    const all = from === undefined ? replicas : [...replicas, from];
    return all.filter(({ received }) => received === undefined).map(({ entry }) => entry.id);
  }

  #entryOf(id: string): InstanceEntry | undefined {
    return (
      this.context.primaries.instance(id) ??
      this.context.membersOf(this.service).find((entry) => entry.id === id)
    );
  }
}

function unheard(entry: InstanceEntry) {
  return { entry, received: undefined, stopped: false, present: false, isReached: false };
}
