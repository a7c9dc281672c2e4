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
import type { ChangingRecord } from './records.js';
import type { PromotionRuntime } from './runtime.js';
import { Scope } from './scope.js';

const STEP_EVERY_MS = 100;

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
  /** No node uses the old primary any more. */
  #isFree: boolean;
  #found: { readonly instance: InstanceEntry; readonly term: number } | undefined;
  #writing = false;
  #calling = false;
  #confirming = false;
  /** From when on no call that has ended can take effect any more. */
  #settledAt: Milliseconds;
  #calledAt = Number.NEGATIVE_INFINITY;
  #nextCallAt = Number.NEGATIVE_INFINITY;
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
    // An earlier leader may have called for the candidate that it named.
    const isNamed = this.#namedCandidate() !== undefined;
    this.#isFree = isNamed;
    this.#settledAt = runtime.now + (isNamed ? runtime.timings.callSettledMs : 0);
    const members = context.membersOf(service);
    this.#hold = new GroupHold(runtime, {
      from: members.find(({ id }) => id === record.from) ?? primaries.instance(record.from),
      replicas: members.filter(({ id }) => id !== record.from),
      term: record.term,
      isPresent: (id) => primaries.isPresent(id),
      mayAct: () => context.election.mayAct(),
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
    const { election, runtime } = this.context;
    if (this.#scope.isEnded || !election.mayAct()) return;
    this.#noteAcknowledgements();
    const isLate = runtime.now - this.#begunAt >= runtime.timings.plannedGraceMs;
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
    this.#isFree ||=
      runtime.isDisabled('acknowledgements') ||
      store.nodesInUse(this.service, this.record)?.length === 0;
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
    if (!this.#isStillCertain(candidate)) return;
    const token = election.token;
    if (token === undefined || !election.mayAct(promoteMarginMs)) return;
    this.#calling = true;
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

  /**
   * What was certain when the candidate was named may be no longer: a replica that restarted is not
   * held. Another one is named only if no call for this one can take effect any more.
   */
  #isStillCertain(candidate: string): boolean {
    const certain = certainMembers(this.#question());
    if (certain.some(({ entry }) => entry.id === candidate)) return true;
    if (this.#isSettled && certain.length > 0) this.#writeCandidate(undefined);
    return false;
  }

  /** No call of the promotion is on its way that could still take effect. */
  get #isSettled(): boolean {
    if (this.context.runtime.isDisabled('settled-calls')) return true;
    return !this.#calling && this.context.runtime.now >= this.#settledAt;
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
      if (typeof answer !== 'string') this.#noteStatus(instance, answer);
      this.#scope.after(runtime.timings.confirmEveryMs, () => this.#confirm(candidate));
    });
    const isWanted = this.#found === undefined && this.#namedCandidate() === candidate;
    if (isWanted) runtime.control('status', instance, 0, onAnswer);
    else this.#confirming = false;
  }

  /**
   * One that leads a later term is the new primary, whatever becomes of it: the candidate, or another
   * that an earlier leader called for, unless a call for the candidate may still depose it.
   */
  #noteStatus(instance: InstanceEntry, { role, term }: InstanceStatus): void {
    if (role !== 'primary' || term <= this.record.term || this.#found !== undefined) return;
    if (instance.id !== this.#namedCandidate() && !this.#isSettled) return;
    this.#found = { instance, term };
    this.#hold.stop();
    this.#finish(instance, term);
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
      if (typeof answer !== 'string') this.#noteStatus(instance, answer);
    });
    runtime.control('status', instance, 0, onAnswer);
  }

  #finish(instance: InstanceEntry, term: number): void {
    const { store, runtime, election } = this.context;
    this.#noteAcknowledgements();
    if (this.#writing || !this.#isFree || !election.mayAct()) {
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
    if (!this.#isFree) {
      this.#progressAt = runtime.now;
      return;
    }
    const stuckMs = runtime.now - Math.max(this.#progressAt, this.#settledAt);
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
