/** The leader's work while this node is leader: the primary of each service, and the records about the fleet. */
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
import { ServiceLeader } from './service-leader.js';
import { StoreView } from './store-view.js';

/** Minimum interval between two publications of the fleet record. */
const MIN_PUBLISH_PERIOD_MS = 1000;
/**
 * Delay of the first fleet record of a new system. Most nodes have registered by then, so that it need not be rewritten
 * soon: each version of the record costs a poll by every node.
 */
const INITIAL_PUBLICATION_DELAY_MS = 250;
/** Period at which a fleet with owners or quotas is checked even if nothing changes. */
const RECHECK_PERIOD_MS = 1000;

export class Leader {
  readonly #leaderView: StoreView;
  readonly #store: LeaderStore;
  readonly #peers: PeerPublisher;
  readonly #era: EraPublisher;
  readonly #fleet: FleetPublisher;
  #scope: Scope;
  #services = new Map<string, ServiceDescription>();
  #serviceLeaders = new Map<string, ServiceLeader>();
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

  /** View of the keys that only the leader watches. */
  get leaderView(): StoreView {
    return this.#leaderView;
  }

  get isCallInProgress(): boolean {
    return [...this.#serviceLeaders.values()].some(({ isCallInProgress }) => isCallInProgress);
  }

  setServices(services: readonly ServiceDescription[]): void {
    this.#services = new Map(services.map((service) => [service.name, service]));
    this.update();
  }

  recordAlive(service: string, instance: string): void {
    this.#serviceLeaders.get(service)?.recordAlive(instance);
  }

  recordFailing(service: string, instance: string): void {
    this.#serviceLeaders.get(service)?.recordFailing(instance);
  }

  /** Starts or stops the work when this node becomes leader or stops being leader. */
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

  /** Handles changes of records, of the leader's keys, of instances or of services. */
  update(): void {
    if (!this.#isLeading || !this.#leaderView.isReady) return;
    for (const service of this.#services.keys()) {
      const known = this.#serviceLeaders.get(service);
      if (known !== undefined) {
        known.update();
        continue;
      }
      const serviceLeader = this.#createServiceLeader(service);
      this.#serviceLeaders.set(service, serviceLeader);
      serviceLeader.start();
    }
    for (const [service, serviceLeader] of this.#serviceLeaders) {
      if (this.#services.has(service)) continue;
      serviceLeader.stop();
      this.#serviceLeaders.delete(service);
    }
    this.#publishFleet();
    this.#peers.update(this.#scope);
    this.#era.update(this.#scope);
  }

  stop(): void {
    this.#isLeading = false;
    this.#scope.end();
    for (const serviceLeader of this.#serviceLeaders.values()) serviceLeader.stop();
    this.#serviceLeaders.clear();
    this.#leaderView.stop();
  }

  #createServiceLeader(service: string): ServiceLeader {
    const context = {
      runtime: this.runtime,
      election: this.election,
      primaries: this.primaries,
      store: this.#store,
      syncReplicasOf: (name: string) => this.#services.get(name)?.syncReplicas ?? 1,
    };
    return new ServiceLeader(context, this.lease, service);
  }

  /** Whether a fleet counts as small again depends on time, so it is checked again without any event. */
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
