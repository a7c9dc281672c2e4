/** The duty of promotions while this node holds it: one part for each service, and the fleet. */
import type { ServiceDescription } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';
import type { Election } from './election.js';
import { EraPublisher } from './era-publisher.js';
import { FleetPublisher } from './fleet-publisher.js';
import { LeaderStore } from './leader-store.js';
import type { NodeLease } from './lease.js';
import { PeerPublisher } from './peer-publisher.js';
import type { Primaries } from './primaries.js';
import { LEADER_WATCH_PREFIX } from './records.js';
import type { PromotionRuntime } from './runtime.js';
import { Scope } from './scope.js';
import { ServiceDuty } from './service-duty.js';
import { StoreView } from './store-view.js';

/** The fleet is published at most this often. */
const MIN_PUBLISH_PERIOD_MS = 1000;
/**
 * The first fleet of all is counted once its nodes have registered: each record that names a part of them costs a poll of
 * every node.
 */
const INITIAL_PUBLICATION_DELAY_MS = 250;
/** A fleet with owners or quotas is looked at so often, also if nothing changes. */
const RECHECK_PERIOD_MS = 1000;

export class Leader {
  readonly #leaderView: StoreView;
  readonly #store: LeaderStore;
  readonly #peers: PeerPublisher;
  readonly #era: EraPublisher;
  readonly #fleet: FleetPublisher;
  #scope: Scope;
  #services = new Map<string, ServiceDescription>();
  #duties = new Map<string, ServiceDuty>();
  #isLeading = false;
  #isPublishing = false;
  #isRecheckScheduled = false;
  #publishedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly election: Election,
    private readonly lease: NodeLease,
    private readonly primaries: Primaries,
    records: StoreView,
  ) {
    this.#scope = new Scope(runtime);
    this.#leaderView = new StoreView(runtime, LEADER_WATCH_PREFIX);
    this.#leaderView.onChange = () => this.update();
    this.#store = new LeaderStore(runtime, election, primaries, records, this.#leaderView);
    this.#peers = new PeerPublisher(runtime, election, records, this.#leaderView);
    this.#era = new EraPublisher(runtime, election);
    this.#fleet = new FleetPublisher(runtime, this.#store, () => this.#services.values());
  }

  /** View of the keys that only the leader follows. */
  get leaderView(): StoreView {
    return this.#leaderView;
  }

  get isCallInProgress(): boolean {
    return [...this.#duties.values()].some(({ isCalling }) => isCalling);
  }

  setServices(services: readonly ServiceDescription[]): void {
    this.#services = new Map(services.map((service) => [service.name, service]));
    this.update();
  }

  recordAlive(service: string, instance: string): void {
    this.#duties.get(service)?.noteAlive(instance);
  }

  recordFailing(service: string, instance: string): void {
    this.#duties.get(service)?.noteFailing(instance);
  }

  /** This node has taken or lost the lead. */
  handleElectionChange(): void {
    if (this.#isLeading) this.stop();
    if (this.election.fencingToken === undefined) return;
    this.#isLeading = true;
    this.#store.startLeading();
    this.#isPublishing = false;
    this.#isRecheckScheduled = false;
    this.#scope = new Scope(this.runtime);
    this.#leaderView.start();
  }

  /** Records, the duty's keys, instances or services have changed. */
  update(): void {
    if (!this.#isLeading || !this.#leaderView.isReady) return;
    for (const service of this.#services.keys()) {
      const known = this.#duties.get(service);
      if (known !== undefined) {
        known.update();
        continue;
      }
      const duty = this.#createDuty(service);
      this.#duties.set(service, duty);
      duty.start();
    }
    for (const [service, duty] of this.#duties) {
      if (this.#services.has(service)) continue;
      duty.stop();
      this.#duties.delete(service);
    }
    this.#publishFleet();
    this.#peers.update(this.#scope);
    this.#era.update(this.#scope);
  }

  stop(): void {
    this.#isLeading = false;
    this.#scope.end();
    for (const duty of this.#duties.values()) duty.stop();
    this.#duties.clear();
    this.#leaderView.stop();
  }

  #createDuty(service: string): ServiceDuty {
    const context = {
      runtime: this.runtime,
      election: this.election,
      primaries: this.primaries,
      store: this.#store,
      syncReplicasOf: (name: string) => this.#services.get(name)?.syncReplicas ?? 1,
    };
    return new ServiceDuty(context, this.lease, service);
  }

  /** That a fleet counts as small again is a matter of time. */
  #scheduleRecheck(): void {
    if (!this.#fleet.changesWithTime || this.#isRecheckScheduled) return;
    this.#isRecheckScheduled = true;
    this.#scope.after(RECHECK_PERIOD_MS, () => {
      this.#isRecheckScheduled = false;
      this.#publishFleet();
    });
  }

  #earliestPublicationAt(): Milliseconds {
    const isFirst = this.runtime.options.isFirstStart && this.#store.publishedFleet() === undefined;
    return isFirst
      ? this.#store.leadingSince + INITIAL_PUBLICATION_DELAY_MS
      : Number.NEGATIVE_INFINITY;
  }

  #publishFleet(): void {
    if (this.#isPublishing) return;
    if (!this.#fleet.isOutdated()) {
      this.#scheduleRecheck();
      return;
    }
    this.#isPublishing = true;
    const mayPublishAt = Math.max(
      this.#publishedAt + MIN_PUBLISH_PERIOD_MS,
      this.#earliestPublicationAt(),
    );
    const waitMs = Math.max(0, mayPublishAt - this.runtime.now);
    this.#scope.after(waitMs, () => {
      this.#publishedAt = this.runtime.now;
      const onDone = this.#scope.guard(() => {
        this.#isPublishing = false;
        this.#scope.after(MIN_PUBLISH_PERIOD_MS, () => this.#publishFleet());
      });
      if (this.election.mayAct()) this.#fleet.publish(() => onDone(undefined));
      else onDone(undefined);
    });
  }
}
