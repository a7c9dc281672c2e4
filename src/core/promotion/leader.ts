/** The duty of promotions while this node holds it: one part for each service, and the fleet. */
import type { ServiceDescription } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';
import { DutyStore } from './duty-store.js';
import type { Election } from './election.js';
import { EraPublisher } from './era-publisher.js';
import { FleetPublisher } from './fleet-publisher.js';
import type { NodeLease } from './lease.js';
import { PeerPublisher } from './peer-publisher.js';
import type { Primaries } from './primaries.js';
import { LEADER_WATCH_PREFIX } from './records.js';
import type { PromotionRuntime } from './runtime.js';
import { Scope } from './scope.js';
import { ServiceLeader } from './service-leader.js';
import { StoreView } from './store-view.js';

/** The fleet is published at most this often. */
const PUBLISH_EVERY_MS = 1000;
/**
 * The first fleet of all is counted once its nodes have registered: each record that names a part of them costs a poll of
 * every node.
 */
const FIRST_PUBLICATION_MS = 250;
/** A fleet with owners or quotas is looked at so often, also if nothing changes. */
const LOOK_AGAIN_MS = 1000;

export class Leader {
  readonly #duty: StoreView;
  readonly #store: DutyStore;
  readonly #peers: PeerPublisher;
  readonly #era: EraPublisher;
  readonly #fleet: FleetPublisher;
  #scope: Scope;
  #services = new Map<string, ServiceDescription>();
  #duties = new Map<string, ServiceLeader>();
  #isLeading = false;
  #publishing = false;
  #looking = false;
  #publishedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly election: Election,
    private readonly lease: NodeLease,
    private readonly primaries: Primaries,
    records: StoreView,
  ) {
    this.#scope = new Scope(runtime);
    this.#duty = new StoreView(runtime, LEADER_WATCH_PREFIX);
    this.#duty.onChange = () => this.update();
    this.#store = new DutyStore(runtime, election, primaries, records, this.#duty);
    this.#peers = new PeerPublisher(runtime, election, records, this.#duty);
    this.#era = new EraPublisher(runtime, election);
    this.#fleet = new FleetPublisher(runtime, this.#store, () => this.#services.values());
  }

  /** View of the keys that only the leader follows. */
  get duty(): StoreView {
    return this.#duty;
  }

  get isCalling(): boolean {
    return [...this.#duties.values()].some(({ isCallInProgress }) => isCallInProgress);
  }

  noteServices(services: readonly ServiceDescription[]): void {
    this.#services = new Map(services.map((service) => [service.name, service]));
    this.update();
  }

  noteAlive(service: string, instance: string): void {
    this.#duties.get(service)?.recordAlive(instance);
  }

  noteFailing(service: string, instance: string): void {
    this.#duties.get(service)?.recordFailing(instance);
  }

  /** This node has taken or lost the lead. */
  noteElection(): void {
    if (this.#isLeading) this.stop();
    if (this.election.token === undefined) return;
    this.#isLeading = true;
    this.#store.begin();
    this.#publishing = false;
    this.#looking = false;
    this.#scope = new Scope(this.runtime);
    this.#duty.start();
  }

  /** Records, the duty's keys, instances or services have changed. */
  update(): void {
    if (!this.#isLeading || !this.#duty.isReady) return;
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
    this.#duty.stop();
  }

  #createDuty(service: string): ServiceLeader {
    const context = {
      runtime: this.runtime,
      election: this.election,
      primaries: this.primaries,
      store: this.#store,
      syncReplicasOf: (name: string) => this.#services.get(name)?.syncReplicas ?? 1,
    };
    return new ServiceLeader(context, this.lease, service);
  }

  /** That a fleet counts as small again is a matter of time. */
  #lookAgain(): void {
    if (!this.#fleet.changesWithTime || this.#looking) return;
    this.#looking = true;
    this.#scope.after(LOOK_AGAIN_MS, () => {
      this.#looking = false;
      this.#publishFleet();
    });
  }

  #firstPublicationAt(): Milliseconds {
    const isFirst = this.runtime.options.isFirstStart && this.#store.publishedFleet() === undefined;
    return isFirst ? this.#store.begunAt + FIRST_PUBLICATION_MS : Number.NEGATIVE_INFINITY;
  }

  #publishFleet(): void {
    if (this.#publishing) return;
    if (!this.#fleet.isOutdated()) {
      this.#lookAgain();
      return;
    }
    this.#publishing = true;
    const mayPublishAt = Math.max(this.#publishedAt + PUBLISH_EVERY_MS, this.#firstPublicationAt());
    const waitMs = Math.max(0, mayPublishAt - this.runtime.now);
    this.#scope.after(waitMs, () => {
      this.#publishedAt = this.runtime.now;
      const onDone = this.#scope.guard(() => {
        this.#publishing = false;
        this.#scope.after(PUBLISH_EVERY_MS, () => this.#publishFleet());
      });
      if (this.election.mayAct()) this.#fleet.publish(() => onDone(undefined));
      else onDone(undefined);
    });
  }
}
