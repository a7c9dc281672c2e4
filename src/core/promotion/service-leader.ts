/** What the leader does for one service: monitors its primary, replaces it, and checks the replicas afterwards. */
import type { InstanceEntry } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';
import { PromotionCalls } from './calls.js';
import { PrimaryChange, type PrimaryChangeContext } from './change.js';
import { HeldReplicaCheck } from './held-replica-check.js';
import type { NodeLease } from './lease.js';
import { GroupMembers } from './members.js';
import { type ChangeReason, PrimaryMonitor } from './monitor.js';
import { type PreflightResult, runPreflight } from './preflight.js';
import { addressOfInstance, type ServingRecord } from './records.js';
import { Scope } from './scope.js';

/** Minimum time between preflight checks. */
const PREFLIGHT_PERIOD_MS = 300;
/** Time without preflight checks after a change that had to promote the old primary again. */
const REPROMOTION_COOLDOWN_MS = 1000;
/**
 * A leader that gets no response from any member, though the primary seems dead, resigns after this many preflight
 * checks.
 */
const UNANSWERED_PREFLIGHTS_UNTIL_RESIGNING = 3;
/** A sound primary's response arrives this soon after the other members', when all become reachable again. */
const UNREACHED_PRIMARY_WAIT_MS = 50;

type PreflightOf<Type extends PreflightResult['type']> = Extract<PreflightResult, { type: Type }>;

export class ServiceLeader {
  readonly #scope: Scope;
  readonly #monitor: PrimaryMonitor;
  readonly #members: GroupMembers;
  readonly #calls: PromotionCalls;
  #change: PrimaryChange | undefined;
  #heldCheck: HeldReplicaCheck | undefined;
  /** Primary and term for which the replicas were last checked. */
  #heldCheckKey: string | undefined;
  /** A preflight check or a write is in progress. */
  #isBusy = false;
  #nextPreflightAt: Milliseconds = 0;
  #unansweredPreflights = 0;
  /** The change that this leader last wrote or tried to write. */
  #startedChange: number | undefined;
  /** Obstacle to a change that was logged last. */
  #lastLoggedObstacle = '';

  constructor(
    private readonly context: Omit<PrimaryChangeContext, 'membersOf' | 'departedOf' | 'calls'>,
    lease: NodeLease,
    readonly service: string,
  ) {
    const { runtime, primaries, store, election } = context;
    this.#calls = new PromotionCalls(runtime, election, lease, service);
    for (const instance of store.handoverOf(service).unsettled ?? [])
      this.#calls.unsettledCandidates.add(instance);
    this.#scope = new Scope(runtime);
    this.#members = new GroupMembers(runtime, primaries, store, service);
    const watched = {
      missingForMs: (id: string, now: Milliseconds) => primaries.missingForMs(id, now),
      instance: (id: string) => primaries.instance(id),
      isRegistered: (id: string) => primaries.isRegistered(id),
      primaryIdOf: (name: string) => store.primaryIdOf(name),
    };
    this.#monitor = new PrimaryMonitor(runtime, watched, store, service, (id, reason) =>
      this.#considerChange(id, reason),
    );
  }

  get isCallInProgress(): boolean {
    return this.#calls.isCallInProgress;
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
    this.#heldCheck?.stop();
  }

  recordAlive(instance: string): void {
    this.#monitor.recordAlive(instance);
  }

  recordFailing(instance: string): void {
    if (this.#change === undefined) this.#monitor.recordFailing(instance);
  }

  /** Handles possible changes of records, handover records, acknowledgements or instances. */
  update(): void {
    const record = this.context.primaries.recordOf(this.service);
    if (record?.phase === 'changing') {
      if (this.#change?.record.change !== record.change) {
        this.#endChange();
        this.#heldCheck?.stop();
        this.#heldCheckKey = undefined;
        const context: PrimaryChangeContext = {
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
    this.#removeSettledCandidates();
    if (record?.phase === 'serving') this.#checkHeldReplicas(record.instance, record.term, false);
    this.#monitor.evaluate();
  }

  /** Handles the record that ends this leader's change, however this node has learned of it. */
  #handleFinished(change: PrimaryChange, record: ServingRecord): void {
    const { runtime } = this.context;
    const { tookMs } = change;
    runtime.log('info', 'primary changed', { service: this.service, ...record, tookMs });
    this.#endChange();
    this.#monitor.startSuspicionCooldown();
    if (record.instance === change.record.from) {
      this.#nextPreflightAt = runtime.now + REPROMOTION_COOLDOWN_MS;
    }
    this.#checkHeldReplicas(record.instance, record.term, true);
  }

  /**
   * Whether a promotion may have been called for a candidate that no record names: a change that another leader
   * started before a restore of the store may have lost its candidate's name.
   */
  #mayHaveBeenCalled(change: number): boolean {
    const { runtime, store } = this.context;
    if (change === this.#startedChange || runtime.isDisabled('unnamed-calls')) return false;
    return runtime.era.mayHaveUnnamedCalls(store.leadingSince, runtime.now);
  }

  /** A later leader would otherwise wait for calls that can't arrive any more. */
  #removeSettledCandidates(): void {
    const { store, election } = this.context;
    const handover = store.handoverOf(this.service);
    const unsettled = this.#calls.unsettledCandidates.current();
    if (handover.unsettled === undefined || unsettled !== undefined) return;
    if (this.#isBusy || !election.mayAct()) return;
    this.#isBusy = true;
    const onDone = this.#scope.guard(() => {
      this.#isBusy = false;
    });
    store.write({ service: this.service, handover: { ...handover, unsettled } }, onDone);
  }

  #endChange(): void {
    this.#change?.stop();
    this.#change = undefined;
  }

  #checkHeldReplicas(primaryId: string, term: number, areHeld: boolean): void {
    const key = `${primaryId} ${term}`;
    if (this.#heldCheckKey === key) return;
    this.#heldCheck?.stop();
    this.#heldCheckKey = key;
    const members = this.#members.current();
    const mayAct = (): boolean => this.context.election.mayAct();
    this.#heldCheck = new HeldReplicaCheck(this.context.runtime, {
      primaryId,
      term,
      members,
      mayAct,
    });
    this.#heldCheck.start(areHeld);
  }

  #considerChange(fromId: string, reason: ChangeReason): void {
    const { runtime, primaries, election } = this.context;
    if (this.#change !== undefined || this.#isBusy || !election.mayAct()) return;
    if (runtime.now < this.#nextPreflightAt) return;
    const members = this.#members.current();
    const oldPrimary = this.#findEntry(fromId, members);
    if (oldPrimary === undefined) return;
    this.#isBusy = true;
    this.#nextPreflightAt = runtime.now + PREFLIGHT_PERIOD_MS;
    const options = {
      oldPrimary,
      others: members.filter(({ id }) => id !== fromId),
      reason,
      syncReplicas: this.context.syncReplicasOf(this.service),
      recordedTerm: primaries.recordOf(this.service)?.term,
      isRegistered: (id: string) => primaries.isRegistered(id),
      oldPrimaryWaitMs: this.#monitor.hasResponded ? 0 : UNREACHED_PRIMARY_WAIT_MS,
    };
    runPreflight(runtime, this.#scope, options, (result) => {
      this.#isBusy = false;
      this.#handlePreflight(oldPrimary, reason, result);
    });
  }

  /**
   * Finds a primary's entry. One that this leader has never seen is identified by its record: another instance may
   * have its address and log.
   */
  #findEntry(id: string, members: readonly InstanceEntry[]): InstanceEntry | undefined {
    const { primaries } = this.context;
    const known = members.find((member) => member.id === id) ?? primaries.instance(id);
    const record = primaries.recordOf(this.service);
    if (known !== undefined || record?.at === undefined) return known;
    const placeholder = { zone: '', slots: 0, draining: false, role: 'replica' } as const;
    return { id, service: this.service, ...record.at, ...placeholder };
  }

  #handlePreflight(oldPrimary: InstanceEntry, reason: ChangeReason, result: PreflightResult): void {
    const { runtime, primaries, store, election } = this.context;
    if (result.type === 'alive') this.#monitor.recordAlive(oldPrimary.id);
    if (result.type === 'wait') {
      this.#logObstacle({
        service: this.service,
        from: oldPrimary.id,
        reason,
        said: result.responses,
      });
      this.#monitor.recordSilentMembers();
      this.#resignIfUnanswered(result.anyResponded);
    } else this.#unansweredPreflights = 0;
    const isStillPrimary = store.primaryIdOf(this.service) === oldPrimary.id;
    if (result.type === 'succeeded' && isStillPrimary && election.mayAct()) {
      this.#writeSuccession(oldPrimary, result);
      return;
    }
    if (result.type !== 'go' || !isStillPrimary || !election.mayAct()) return;
    const known = primaries.recordOf(this.service);
    const change = (known?.change ?? 0) + 1;
    const term = Math.max(result.term, known?.term ?? 0);
    const { planned } = result;
    const at = addressOfInstance(oldPrimary);
    const record = { phase: 'changing', change, from: oldPrimary.id, at, term, planned } as const;
    this.#startedChange = change;
    const handover = {
      ...store.handoverOf(this.service),
      members: this.#members.current(),
      primary: oldPrimary.id,
      candidate: undefined,
      change,
    };
    this.#isBusy = true;
    runtime.log('info', 'primary to be replaced', {
      service: this.service,
      from: oldPrimary.id,
      reason,
    });
    const onDone = this.#scope.guard(() => {
      this.#isBusy = false;
      this.update();
    });
    store.write({ service: this.service, record, handover }, onDone);
  }

  /** The same term continues at another instance: only the record is updated. */
  #writeSuccession(oldPrimary: InstanceEntry, { by, term }: PreflightOf<'succeeded'>): void {
    const { runtime, primaries, store } = this.context;
    const known = primaries.recordOf(this.service);
    if (known?.phase !== 'serving' || known.term !== term) return;
    const at = addressOfInstance(oldPrimary);
    const unsettled = this.#calls.unsettledCandidates.besides({ id: by });
    const change = known.change + 1;
    const record = { phase: 'serving', change, instance: by, at, term, unsettled } as const;
    const handover = {
      ...store.handoverOf(this.service),
      members: this.#members.current(),
      primary: by,
    };
    this.#isBusy = true;
    runtime.log('info', 'primary succeeded at its address', {
      ...{ service: this.service, from: oldPrimary.id, by, term },
    });
    const onDone = this.#scope.guard(() => {
      this.#isBusy = false;
      this.update();
    });
    store.write({ service: this.service, record, handover }, onDone);
  }

  /** Logs each obstacle once: the preflight checks repeat several times a second. */
  #logObstacle(fields: Readonly<Record<string, unknown>>): void {
    const obstacle = JSON.stringify(fields);
    if (obstacle === this.#lastLoggedObstacle) return;
    this.#lastLoggedObstacle = obstacle;
    this.context.runtime.log('warn', 'primary not replaced: too few members answer', fields);
  }

  #resignIfUnanswered(anyResponded: boolean): void {
    const { runtime, store, election } = this.context;
    this.#unansweredPreflights = anyResponded ? 0 : this.#unansweredPreflights + 1;
    if (this.#unansweredPreflights < UNANSWERED_PREFLIGHTS_UNTIL_RESIGNING) return;
    if (store.countLiveNodes() <= 1 || !election.mayHandOver) return;
    runtime.log('warn', 'no member answers, resigning', { service: this.service });
    election.resign(runtime.timings.candidacyCooldownMs);
  }
}
