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

const PREFLIGHT_EVERY_MS = 300;
/** After a change that had to take the old primary once more. */
const REST_AFTER_RETURN_MS = 1000;
/** A leader that hears nobody, though the primary seems to be dead, resigns after so many looks. */
const DEAF_LOOKS_UNTIL_RESIGNING = 3;

type PreflightOf<Type extends PreflightResult['type']> = Extract<PreflightResult, { type: Type }>;

export class ServiceLeader {
  readonly #scope: Scope;
  readonly #monitor: PrimaryMonitor;
  readonly #members: GroupMembers;
  readonly #calls: PromotionCalls;
  #change: PrimaryChange | undefined;
  #aftercare: Aftercare | undefined;
  #aftercareOf: string | undefined;
  #looking = false;
  #nextLookAt: Milliseconds = 0;
  #deafLooks = 0;
  /** The change that this leader wrote last, or tried to. */
  #begunChange: number | undefined;
  /** What stood in the way of a change, as it was logged last. */
  #obstacle = '';

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
      this.#consider(id, reason),
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
        this.#aftercareOf = undefined;
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
      this.#noteFinished(this.#change, record);
    }
    this.#endChange();
    this.#members.update();
    if (record?.phase === 'serving') this.#careFor(record.instance, record.term, false);
    this.#monitor.evaluate();
  }

  /** The record that ends this leader's change is written, by whichever way that became known. */
  #noteFinished(change: PrimaryChange, record: ServingRecord): void {
    const { runtime } = this.context;
    const { tookMs } = change;
    runtime.log('info', 'primary changed', { service: this.service, ...record, tookMs });
    this.#endChange();
    this.#monitor.startSuspicionCooldown();
    if (record.instance === change.record.from) {
      this.#nextLookAt = runtime.now + REST_AFTER_RETURN_MS;
    }
    this.#careFor(record.instance, record.term, true);
  }

  /** A change that another leader began before the store came back from a copy may have lost its candidate's name. */
  #mayHaveBeenCalled(change: number): boolean {
    const { runtime, store } = this.context;
    if (change === this.#begunChange || runtime.isDisabled('unnamed-calls')) return false;
    return runtime.era.mayHaveLostCalls(store.begunAt, runtime.now);
  }

  #endChange(): void {
    this.#change?.stop();
    this.#change = undefined;
  }

  #careFor(leaderId: string, term: number, areHeld: boolean): void {
    const key = `${leaderId} ${term}`;
    if (this.#aftercareOf === key) return;
    this.#aftercare?.stop();
    this.#aftercareOf = key;
    const members = this.#members.current();
    const mayAct = (): boolean => this.context.election.mayAct();
    this.#aftercare = new Aftercare(this.context.runtime, { leaderId, term, members, mayAct });
    this.#aftercare.start(areHeld);
  }

  #consider(fromId: string, reason: ChangeReason): void {
    const { runtime, primaries, election } = this.context;
    if (this.#change !== undefined || this.#looking || !election.mayAct()) return;
    if (runtime.now < this.#nextLookAt) return;
    const members = this.#members.current();
    const from = this.#entryOf(fromId, members);
    if (from === undefined) return;
    this.#looking = true;
    this.#nextLookAt = runtime.now + PREFLIGHT_EVERY_MS;
    const options = {
      from,
      others: members.filter(({ id }) => id !== fromId),
      reason,
      syncReplicas: this.context.syncReplicasOf(this.service),
      isPresent: (id: string) => primaries.isPresent(id),
    };
    runPreflight(runtime, this.#scope, options, (result) => {
      this.#looking = false;
      this.#noteLook(from, reason, result);
    });
  }

  /** A primary that this leader has never seen is known by its record: another may have its address and its log. */
  #entryOf(id: string, members: readonly InstanceEntry[]): InstanceEntry | undefined {
    const { primaries } = this.context;
    const known = members.find((member) => member.id === id) ?? primaries.instance(id);
    const record = primaries.recordOf(this.service);
    if (known !== undefined || record?.at === undefined) return known;
    const unseen = { zone: '', slots: 0, draining: false, role: 'replica' } as const;
    return { id, service: this.service, ...record.at, ...unseen };
  }

  #noteLook(from: InstanceEntry, reason: ChangeReason, result: PreflightResult): void {
    const { runtime, primaries, store, election } = this.context;
    if (result.type === 'alive') this.#monitor.recordAlive(from.id);
    if (result.type === 'wait') {
      this.#logObstacle({ service: this.service, from: from.id, reason, said: result.responses });
      this.#noteDeafness(result.anyResponded);
    } else this.#deafLooks = 0;
    const isStillPrimary = store.primaryIdOf(this.service) === from.id;
    if (result.type === 'succeeded' && isStillPrimary && election.mayAct()) {
      this.#noteSuccession(from, result);
      return;
    }
    if (result.type !== 'go' || !isStillPrimary || !election.mayAct()) return;
    const known = primaries.recordOf(this.service);
    const change = (known?.change ?? 0) + 1;
    const term = Math.max(result.term, known?.term ?? 0);
    const { planned } = result;
    const at = addressOfInstance(from);
    const record = { phase: 'changing', change, from: from.id, at, term, planned } as const;
    this.#begunChange = change;
    const note = {
      ...store.noteOf(this.service),
      members: this.#members.current(),
      primary: from.id,
      candidate: undefined,
      change,
    };
    this.#looking = true;
    runtime.log('info', 'primary to be replaced', { service: this.service, from: from.id, reason });
    const onDone = this.#scope.guard(() => {
      this.#looking = false;
      this.update();
    });
    store.write({ service: this.service, record, note }, onDone);
  }

  /** The same term goes on at another instance: only the record is brought up to date. */
  #noteSuccession(from: InstanceEntry, { by, term }: PreflightOf<'succeeded'>): void {
    const { runtime, primaries, store } = this.context;
    const known = primaries.recordOf(this.service);
    if (known?.phase !== 'serving' || known.term !== term) return;
    const at = addressOfInstance(from);
    const record = { phase: 'serving', change: known.change + 1, instance: by, at, term } as const;
    const note = { ...store.noteOf(this.service), members: this.#members.current(), primary: by };
    this.#looking = true;
    runtime.log('info', 'primary succeeded at its address', {
      ...{ service: this.service, from: from.id, by, term },
    });
    const onDone = this.#scope.guard(() => {
      this.#looking = false;
      this.update();
    });
    store.write({ service: this.service, record, note }, onDone);
  }

  /** Each obstacle is told once: the looks go on several times a second. */
  #logObstacle(fields: Readonly<Record<string, unknown>>): void {
    const obstacle = JSON.stringify(fields);
    if (obstacle === this.#obstacle) return;
    this.#obstacle = obstacle;
    this.context.runtime.log('warn', 'primary not replaced: too few members answer', fields);
  }

  #noteDeafness(heardAny: boolean): void {
    const { runtime, store, election } = this.context;
    this.#deafLooks = heardAny ? 0 : this.#deafLooks + 1;
    if (this.#deafLooks < DEAF_LOOKS_UNTIL_RESIGNING) return;
    if (store.liveNodes() <= 1 || !election.mayHandOn) return;
    runtime.log('warn', 'no member answers, resigning', { service: this.service });
    election.resign(runtime.timings.candidacyCooldownMs);
  }
}
