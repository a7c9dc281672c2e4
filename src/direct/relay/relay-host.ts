/** Starts the relay once the cluster has owners, and reports which nodes own an instance. */
import { areSameOwners, type OwnerRoster } from '../../core/ownership/owner-roster.js';
import type { Milliseconds } from '../../core/units.js';
import type { InstanceEntry } from '../contract.js';
import type { InstanceOwnership } from './contract.js';
import type { Relay, RelayOptions } from './relay.js';

export class RelayHost {
  /** Called when the active roster has changed. */
  onChange: () => void = () => {};
  #publishedRoster: OwnerRoster | undefined;
  #isActive = true;
  #roster: OwnerRoster | undefined;
  #relay: Relay | undefined;
  #isStarting = false;
  #isStopping = false;

  constructor(private readonly options: RelayOptions) {}

  /** The active roster; undefined while every node connects to every instance. */
  get roster(): OwnerRoster | undefined {
    return this.#roster;
  }

  /** True while owners are named but this node's links to them are not ready. */
  get isPending(): boolean {
    return this.#publishedRoster !== undefined && this.#isActive && this.#relay === undefined;
  }

  /**
   * Sets the roster that is published now.
   * @param isActive false if this node connects to instances itself and lends only to returning nodes
   */
  update(roster: OwnerRoster | undefined, isActive = true): void {
    if (areSameOwners(roster, this.#publishedRoster) && isActive === this.#isActive) return;
    this.#publishedRoster = roster;
    this.#isActive = isActive;
    if (roster === undefined || this.#relay !== undefined) this.#apply();
    else if (!this.#isStarting) void this.#start();
    if (this.isPending) this.onChange();
  }

  /** Ownership of an instance; undefined if this node connects to it itself. */
  ownershipOf(instance: InstanceEntry): InstanceOwnership | undefined {
    if (this.#roster === undefined || this.#relay === undefined) return undefined;
    return this.#relay.ownershipOf(instance, this.#roster);
  }

  /** Leases and reads of other nodes, active or waiting. */
  get lentCount(): number {
    return this.#relay?.lentCount ?? 0;
  }

  stopGranting(): void {
    this.#isStopping = true;
    this.#relay?.stopGranting();
  }

  async drained(deadline: Milliseconds): Promise<void> {
    await this.#relay?.drained(deadline);
  }

  close(): void {
    void this.#relay?.close();
  }

  async #start(): Promise<void> {
    this.#isStarting = true;
    const { Relay } = await import('./relay.js');
    const relay = new Relay(this.options);
    await relay.start();
    if (this.#isStopping) relay.stopGranting();
    this.#relay = relay;
    this.#apply();
  }

  #apply(): void {
    this.#roster = this.#isActive ? this.#publishedRoster : undefined;
    this.onChange();
  }
}
