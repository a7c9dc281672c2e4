/** What the leader does for one service: watches its primary, changes it, and cleans up after. */
import type { InstanceEntry } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';
import { Aftercare } from './aftercare.js';
import { PromotionCalls } from './calls.js';
import { type ChangeContext, PrimaryChange } from './change.js';
import type { NodeLease } from './lease.js';
import { GroupMembers } from './members.js';
import { type ChangeReason, PrimaryMonitor } from './monitor.js';
import { type PreflightResult, runPreflight } from './preflight.js';
import { addressOfInstance, type ServingRecord } from './records.js';
import { Scope } from './scope.js';

const PREFLIGHT_PERIOD_MS = 300;
/** After a change that had to take the old primary once more. */
const REPROMOTION_COOLDOWN_MS = 1000;
/** A leader that hears nobody, though the primary seems to be dead, resigns after so many looks. */
const UNANSWERED_PREFLIGHTS_UNTIL_RESIGNING = 3;

type PreflightOf<Type extends PreflightResult['type']> = Extract<PreflightResult, { type: Type }>;

export class ServiceLeader {
  readonly #scope: Scope;
  readonly #monitor: PrimaryMonitor;
  readonly #members: GroupMembers;
  readonly #calls: PromotionCalls;
  #change: PrimaryChange | undefined;
  #aftercare: Aftercare | undefined;
  #aftercareKey: string | undefined;
  #isBusy = false;
  #nextPreflightAt: Milliseconds = 0;
  #unansweredPreflights = 0;
  /** The change that this leader wrote last, or tried to. */
  #startedChange: number | undefined;
  /** What stood in the way of a change, as it was logged last. */
  #lastLoggedObstacle = '';

  constructor(
    private readonly context: Omit<ChangeContext, 'membersOf' | 'departedOf' | 'calls'>,
    lease: NodeLease,
    readonly service: string,
  ) {
    const { runtime, primaries, store, election } = context;
    this.#calls = new PromotionCalls(runtime, election, lease, service);
    this.#scope = new Scope(runtime);
    this.#members = new GroupMembers(runtime, primaries, store, service);
    const watched = {
      missingForMs: (id: string, now: Milliseconds) => primaries.missingForMs(id, now),
      instance: (id: string) => primaries.instance(id),
      isPresent: (id: string) => primaries.isPresent(id),
      primaryIdOf: (name: string) => store.primaryIdOf(name),
    };
    this.#monitor = new PrimaryMonitor(runtime, watched, store, service, (id, reason) =>
      this.#considerChange(id, reason),
    );
  }

  get isCalling(): boolean {
    return this.#calls.isCalling;
  }

  start(): void {
    this.#members.start();
    this.#monitor.start();
    this.update();
  }

  stop(): void {
    this.#scope.end();
    this.#monitor.stop();
    this.#members.stop();
    this.#change?.stop();
    this.#aftercare?.stop();
  }

  recordAlive(instance: string): void {
    this.#monitor.recordAlive(instance);
  }

  recordFailing(instance: string): void {
    if (this.#change === undefined) this.#monitor.recordFailing(instance);
  }

  /** Records, notes, acknowledgements or instances may have changed. */
  update(): void {
    const record = this.context.primaries.recordOf(this.service);
    if (record?.phase === 'changing') {
      if (this.#change?.record.change !== record.change) {
        this.#endChange();
        this.#aftercare?.stop();
        this.#aftercareKey = undefined;
        const context: ChangeContext = {
          ...this.context,
          calls: this.#calls,
          membersOf: () => this.#members.current(),
          departedOf: () => this.#members.departed(),
        };
        const mayHaveBeenCalled = this.#mayHaveBeenCalled(record.change);
        this.#change = new PrimaryChange(context, this.service, record, mayHaveBeenCalled);
        this.#change.start();
      } else {
        this.#change.step();
      }
      return;
    }
    if (record?.phase === 'serving' && this.#change?.record.change === record.change) {
      this.#handleFinished(this.#change, record);
    }
    this.#endChange();
    this.#members.update();
    if (record?.phase === 'serving') this.#startAftercare(record.instance, record.term, false);
    this.#monitor.evaluate();
  }

  /** The record that ends this leader's change is written, by whichever way that became known. */
  #handleFinished(change: PrimaryChange, record: ServingRecord): void {
    const { runtime } = this.context;
    const { tookMs } = change;
    runtime.log('info', 'primary changed', { service: this.service, ...record, tookMs });
    this.#endChange();
    this.#monitor.startSuspicionCooldown();
    if (record.instance === change.record.from) {
      this.#nextPreflightAt = runtime.now + REPROMOTION_COOLDOWN_MS;
    }
    this.#startAftercare(record.instance, record.term, true);
  }

  /** A change that another leader began before the store came back from a copy may have lost its candidate's name. */
  #mayHaveBeenCalled(change: number): boolean {
    const { runtime, store } = this.context;
    if (change === this.#startedChange || runtime.isDisabled('unnamed-calls')) return false;
    return runtime.era.mayHaveLostCalls(store.begunAt, runtime.now);
  }

  #endChange(): void {
    this.#change?.stop();
    this.#change = undefined;
  }

  #startAftercare(leaderId: string, term: number, areHeld: boolean): void {
    const key = `${leaderId} ${term}`;
    if (this.#aftercareKey === key) return;
    this.#aftercare?.stop();
    this.#aftercareKey = key;
    const members = this.#members.current();
    const mayAct = (): boolean => this.context.election.mayAct();
    this.#aftercare = new Aftercare(this.context.runtime, { leaderId, term, members, mayAct });
    this.#aftercare.start(areHeld);
  }

  #considerChange(fromId: string, reason: ChangeReason): void {
    const { runtime, primaries, election } = this.context;
    if (this.#change !== undefined || this.#isBusy || !election.mayAct()) return;
    if (runtime.now < this.#nextPreflightAt) return;
    const members = this.#members.current();
    const from = this.#findEntry(fromId, members);
    if (from === undefined) return;
    this.#isBusy = true;
    this.#nextPreflightAt = runtime.now + PREFLIGHT_PERIOD_MS;
    const options = {
      from,
      others: members.filter(({ id }) => id !== fromId),
      reason,
      syncReplicas: this.context.syncReplicasOf(this.service),
      isPresent: (id: string) => primaries.isPresent(id),
    };
    runPreflight(runtime, this.#scope, options, (result) => {
      this.#isBusy = false;
      this.#handlePreflight(from, reason, result);
    });
  }

  /** A primary that this leader has never seen is known by its record: another may have its address and its log. */
  #findEntry(id: string, members: readonly InstanceEntry[]): InstanceEntry | undefined {
    const { primaries } = this.context;
    const known = members.find((member) => member.id === id) ?? primaries.instance(id);
    const record = primaries.recordOf(this.service);
    if (known !== undefined || record?.at === undefined) return known;
    const placeholder = { zone: '', slots: 0, draining: false, role: 'replica' } as const;
    return { id, service: this.service, ...record.at, ...placeholder };
  }

  #handlePreflight(from: InstanceEntry, reason: ChangeReason, result: PreflightResult): void {
    const { runtime, primaries, store, election } = this.context;
    if (result.type === 'alive') this.#monitor.recordAlive(from.id);
    if (result.type === 'wait') {
      this.#logObstacle({ service: this.service, from: from.id, reason, said: result.responses });
      this.#resignIfUnanswered(result.anyResponded);
    } else this.#unansweredPreflights = 0;
    const isStillPrimary = store.primaryIdOf(this.service) === from.id;
    if (result.type === 'succeeded' && isStillPrimary && election.mayAct()) {
      this.#writeSuccession(from, result);
      return;
    }
    if (result.type !== 'go' || !isStillPrimary || !election.mayAct()) return;
    const known = primaries.recordOf(this.service);
    const change = (known?.change ?? 0) + 1;
    const term = Math.max(result.term, known?.term ?? 0);
    const { planned } = result;
    const at = addressOfInstance(from);
    const record = { phase: 'changing', change, from: from.id, at, term, planned } as const;
    this.#startedChange = change;
    const note = {
      ...store.noteOf(this.service),
      members: this.#members.current(),
      primary: from.id,
      candidate: undefined,
      change,
    };
    this.#isBusy = true;
    runtime.log('info', 'primary to be replaced', { service: this.service, from: from.id, reason });
    const onDone = this.#scope.guard(() => {
      this.#isBusy = false;
      this.update();
    });
    store.write({ service: this.service, record, note }, onDone);
  }

  /** The same term goes on at another instance: only the record is brought up to date. */
  #writeSuccession(from: InstanceEntry, { by, term }: PreflightOf<'succeeded'>): void {
    const { runtime, primaries, store } = this.context;
    const known = primaries.recordOf(this.service);
    if (known?.phase !== 'serving' || known.term !== term) return;
    const at = addressOfInstance(from);
    const record = { phase: 'serving', change: known.change + 1, instance: by, at, term } as const;
    const note = { ...store.noteOf(this.service), members: this.#members.current(), primary: by };
    this.#isBusy = true;
    runtime.log('info', 'primary succeeded at its address', {
      ...{ service: this.service, from: from.id, by, term },
    });
    const onDone = this.#scope.guard(() => {
      this.#isBusy = false;
      this.update();
    });
    store.write({ service: this.service, record, note }, onDone);
  }

  /** Each obstacle is told once: the looks go on several times a second. */
  #logObstacle(fields: Readonly<Record<string, unknown>>): void {
    const obstacle = JSON.stringify(fields);
    if (obstacle === this.#lastLoggedObstacle) return;
    this.#lastLoggedObstacle = obstacle;
    this.context.runtime.log('warn', 'primary not replaced: too few members answer', fields);
  }

  #resignIfUnanswered(heardAny: boolean): void {
    const { runtime, store, election } = this.context;
    this.#unansweredPreflights = heardAny ? 0 : this.#unansweredPreflights + 1;
    if (this.#unansweredPreflights < UNANSWERED_PREFLIGHTS_UNTIL_RESIGNING) return;
    if (store.liveNodes() <= 1 || !election.mayHandOn) return;
    runtime.log('warn', 'no member answers, resigning', { service: this.service });
    election.resign(runtime.timings.candidacyCooldownMs);
  }
}
