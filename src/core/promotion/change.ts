/**
 * One change of a service's primary, from the record that announces it to the record that names the
 * new one. Begins anew from the store's records under a later leader: every step can be repeated.
 */
import type { InstanceEntry, InstanceStatus, PromoteOutcome } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';
import { type CandidateQuestion, certainMembers, chooseCandidate } from './candidate.js';
import type { ControlFailure } from './contract.js';
import type { DutyStore } from './duty-store.js';
import type { Election } from './election.js';
import { GroupHold } from './hold.js';
import type { NodeLease } from './lease.js';
import type { Primaries } from './primaries.js';
import type { PrimaryRecord } from './records.js';
import type { PromotionRuntime } from './runtime.js';
import { Scope } from './scope.js';

const STEP_EVERY_MS = 100;

export type ChangingRecord = Extract<PrimaryRecord, { phase: 'changing' }>;

/** What a change works with. */
export interface ChangeContext {
  readonly runtime: PromotionRuntime;
  readonly election: Election;
  readonly lease: NodeLease;
  readonly primaries: Primaries;
  readonly store: DutyStore;
  syncReplicasOf(service: string): number;
  membersOf(service: string): readonly InstanceEntry[];
}

export class PrimaryChange {
  readonly #scope: Scope;
  readonly #hold: GroupHold;
  readonly #begunAt: Milliseconds;
  #holding = false;
  #writing = false;
  #calling = false;
  #confirming = false;
  /** This leader has called the promotion of the named candidate, or an earlier one may have. */
  #mayBeCalled: boolean;
  /** Since when no call may be on its way that could still take effect. */
  #settledAt: Milliseconds;
  #calledAt = Number.NEGATIVE_INFINITY;
  #nextCallAt = Number.NEGATIVE_INFINITY;
  #candidateLostSince: Milliseconds | undefined;
  #progressAt: Milliseconds;
  #readAt: Milliseconds;

  constructor(
    private readonly context: ChangeContext,
    readonly service: string,
    readonly record: ChangingRecord,
    private readonly onFinished: () => void,
  ) {
    const { runtime, primaries, store } = context;
    this.#scope = new Scope(runtime);
    this.#begunAt = runtime.now;
    this.#progressAt = runtime.now;
    this.#readAt = runtime.now;
    this.#mayBeCalled = this.#namedCandidate() !== undefined;
    this.#settledAt = runtime.now + (this.#mayBeCalled ? runtime.timings.callSettledMs : 0);
    const members = context.membersOf(service);
    this.#hold = new GroupHold(runtime, {
      from: members.find(({ id }) => id === record.from) ?? primaries.instance(record.from),
      replicas: members.filter(({ id }) => id !== record.from),
      term: record.term,
      isPresent: (id) => primaries.isPresent(id),
      onFinding: () => this.step(),
    });
    runtime.log('info', 'change of primary', {
      service,
      from: record.from,
      planned: record.planned,
      change: record.change,
      candidate: store.noteOf(service).candidate,
    });
  }

  /** A call of the promotion is on its way. */
  get isCalling(): boolean {
    return this.#calling;
  }

  start(): void {
    if (!this.record.planned) this.#startHold();
    const named = this.#namedCandidate();
    if (named !== undefined) {
      // Called for by an earlier leader, perhaps: looks before it calls again.
      this.#nextCallAt = this.context.runtime.now + this.context.runtime.timings.confirmFirstMs;
      this.#confirm(named);
    }
    this.#tick();
  }

  stop(): void {
    this.#scope.end();
    this.#hold.stop();
  }

  /** Goes as far as what is known allows. */
  step(): void {
    const { election, runtime, store } = this.context;
    if (this.#scope.isEnded || !election.mayAct()) return;
    const inUse = store.nodesInUse(this.service, this.record);
    const isFree = inUse?.length === 0 || runtime.isDisabled('acknowledgements');
    if (isFree || runtime.now - this.#begunAt >= runtime.timings.plannedGraceMs) this.#startHold();
    this.#lookForLeader();
    if (!isFree) {
      this.#readDuty();
      return;
    }
    const named = this.#namedCandidate();
    if (named === undefined) this.#nameCandidate();
    else this.#promote(named);
  }

  #tick(): void {
    this.step();
    if (this.#scope.isEnded) return;
    this.#resignIfStuck();
    this.#scope.after(STEP_EVERY_MS, () => this.#tick());
  }

  #startHold(): void {
    if (this.#holding) return;
    this.#holding = true;
    this.#hold.start();
  }

  #namedCandidate(): string | undefined {
    const { candidate, change } = this.context.store.noteOf(this.service);
    return change === this.record.change ? candidate : undefined;
  }

  #readDuty(): void {
    const { runtime, store } = this.context;
    if (runtime.now - this.#readAt < runtime.timings.dutyReadMs) return;
    this.#readAt = runtime.now;
    store.readAnew();
  }

  #question(): CandidateQuestion {
    const { runtime } = this.context;
    const members = this.context.membersOf(this.service);
    const replicas = members.filter(({ id }) => id !== this.record.from);
    return {
      replicas: replicas.map((entry) => this.#hold.findingOf(entry.id) ?? unheard(entry)),
      from: this.#hold.findingOf(this.record.from),
      syncReplicas: this.context.syncReplicasOf(this.service),
      acceptAny: runtime.now - this.#begunAt >= runtime.timings.betterCandidateMs,
      withoutProof: runtime.isDisabled('hold'),
    };
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
    const { runtime, election, lease } = this.context;
    const { promoteTimeoutMs, promoteMarginMs } = runtime.timings;
    if (this.#calling || this.#writing || runtime.now < this.#nextCallAt) return;
    if (!this.#mayBeCalled && !this.#isStillCertain(candidate)) return;
    if (this.#giveUpLostCandidate()) return;
    const token = election.token;
    if (token === undefined || !election.mayAct(promoteMarginMs)) return;
    this.#calling = true;
    this.#mayBeCalled = true;
    this.#calledAt = runtime.now;
    this.#progressAt = runtime.now;
    const endsAt = Math.min(runtime.now + promoteTimeoutMs, lease.validUntil);
    const request = { service: this.service, instanceId: candidate, fencingToken: token, endsAt };
    runtime.log('info', 'promotion called', { ...request, change: this.record.change });
    runtime.promote(
      request,
      this.#scope.guard((outcome) => this.#notePromotion(outcome)),
    );
    this.#scope.after(runtime.timings.confirmFirstMs, () => this.#confirm(candidate));
  }

  /** Before the first call: what was certain when the candidate was named may be no longer. */
  #isStillCertain(candidate: string): boolean {
    const certain = certainMembers(this.#question());
    if (certain.some(({ entry }) => entry.id === candidate)) return true;
    const isOther = certain.length > 0;
    const { now, timings } = this.context.runtime;
    if (isOther || now - this.#progressAt > timings.callSettledMs) this.#writeCandidate(undefined);
    return false;
  }

  #notePromotion(outcome: PromoteOutcome): void {
    const { now, timings } = this.context.runtime;
    this.#calling = false;
    const { promoteBusyMs, promoteAgainMs, callSettledMs } = timings;
    if (outcome === 'accepted' || outcome === 'unknown') {
      this.#settledAt = now + callSettledMs;
      this.#nextCallAt = now + promoteAgainMs;
    } else {
      this.#nextCallAt = now + promoteBusyMs;
    }
    const fields = { service: this.service, outcome, afterMs: Math.round(now - this.#calledAt) };
    this.context.runtime.log('info', 'promotion answered', fields);
  }

  #confirm(candidate: string): void {
    const instance = this.#entryOf(candidate);
    if (instance === undefined || this.#confirming) return;
    this.#confirming = true;
    const { runtime } = this.context;
    const onAnswer = this.#scope.guard((answer: InstanceStatus | ControlFailure) => {
      this.#confirming = false;
      if (answer === 'refused' || answer === 'silent') {
        this.#candidateLostSince ??= runtime.now;
      } else if (answer !== 'busy' && answer !== 'rejected') {
        this.#candidateLostSince = undefined;
        if (this.#leads(answer)) {
          this.#finish(instance, answer.term);
          return;
        }
      }
      this.#scope.after(runtime.timings.confirmEveryMs, () => this.#confirm(candidate));
    });
    if (this.#namedCandidate() === candidate) runtime.control('status', instance, 0, onAnswer);
    else this.#confirming = false;
  }

  #leads({ role, term }: InstanceStatus): boolean {
    return role === 'primary' && term > this.record.term;
  }

  /** A member leads a later term already: an earlier call took effect. */
  #lookForLeader(): void {
    const leader = this.#hold.leaderAfter(this.record.term);
    if (leader !== undefined) this.#confirmFound(leader);
  }

  #confirmFound(instance: InstanceEntry): void {
    if (this.#confirming) return;
    this.#confirming = true;
    const { runtime } = this.context;
    const onAnswer = this.#scope.guard((answer: InstanceStatus | ControlFailure) => {
      this.#confirming = false;
      if (typeof answer !== 'string' && this.#leads(answer)) this.#finish(instance, answer.term);
    });
    runtime.control('status', instance, 0, onAnswer);
  }

  /** Names no candidate any more if this one is dead, and no call for it can take effect. */
  #giveUpLostCandidate(): boolean {
    const { now, timings } = this.context.runtime;
    const lostSince = this.#candidateLostSince;
    if (lostSince === undefined || now < this.#settledAt) return false;
    if (now - lostSince < timings.resignAfterMs / 2) return false;
    this.#candidateLostSince = undefined;
    this.#mayBeCalled = false;
    this.#writeCandidate(undefined);
    return true;
  }

  #finish(instance: InstanceEntry, term: number): void {
    const { store, runtime, election } = this.context;
    const inUse = store.nodesInUse(this.service, this.record);
    const isFree = inUse?.length === 0 || runtime.isDisabled('acknowledgements');
    if (this.#writing || !isFree || !election.mayAct()) {
      this.#scope.after(STEP_EVERY_MS, () => this.#finish(instance, term));
      return;
    }
    this.#writing = true;
    const { change } = this.record;
    const record = { phase: 'serving', change, instance: instance.id, term } as const;
    const known = store.noteOf(this.service);
    const note = { ...known, primary: instance.id, candidate: undefined, change };
    const onDone = this.#scope.guard((succeeded: boolean) => {
      this.#writing = false;
      if (succeeded) {
        const tookMs = Math.round(runtime.now - this.#begunAt);
        runtime.log('info', 'primary changed', { service: this.service, ...record, tookMs });
        this.onFinished();
      } else {
        this.#scope.after(STEP_EVERY_MS, () => this.#finish(instance, term));
      }
    });
    store.write({ service: this.service, record, note }, onDone);
  }

  /** Another node may reach what this one does not. */
  #resignIfStuck(): void {
    const { runtime, store, election } = this.context;
    if (this.#calling || this.#writing || store.liveNodes() <= 1) return;
    if (store.nodesInUse(this.service, this.record)?.length !== 0) {
      this.#progressAt = runtime.now;
      return;
    }
    const stuckMs = runtime.now - this.#progressAt;
    if (stuckMs < runtime.timings.resignAfterMs) return;
    runtime.log('warn', 'change of primary stuck, resigning', { service: this.service });
    election.resign(runtime.timings.abstainMs);
  }

  #entryOf(id: string): InstanceEntry | undefined {
    return (
      this.context.primaries.instance(id) ??
      this.context.membersOf(this.service).find((entry) => entry.id === id)
    );
  }
}

function unheard(entry: InstanceEntry) {
  return { entry, received: undefined, stopped: false, present: false };
}
