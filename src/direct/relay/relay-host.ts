/** Starts the relay when the fleet gets owners, and tells who owns an instance. */
import { areSameOwners, type OwnerRoster } from '../../core/ownership/owner-roster.js';
import type { Milliseconds } from '../../core/units.js';
import type { InstanceEntry } from '../contract.js';
import type { InstanceOwnership } from './contract.js';
import type { Relay, RelayOptions } from './relay.js';

export class RelayHost {
  /** Called when the roster in force is another. */
  onChange: () => void = () => {};
  #wanted: OwnerRoster | undefined;
  #isInForce = true;
  #roster: OwnerRoster | undefined;
  #relay: Relay | undefined;
  #starting = false;
  #stopping = false;

  constructor(private readonly options: RelayOptions) {}

  /** The roster in force; undefined while every node connects to every instance. */
  get roster(): OwnerRoster | undefined {
    return this.#roster;
  }

  /** Owners are named, and this node can't ask them yet. */
  get isPending(): boolean {
    return this.#wanted !== undefined && this.#isInForce && this.#relay === undefined;
  }

  /**
   * Takes the roster that is published now.
   * @param isInForce false if this node connects by itself, and lends to those that come back
   */
  update(roster: OwnerRoster | undefined, isInForce = true): void {
    if (areSameOwners(roster, this.#wanted) && isInForce === this.#isInForce) return;
    this.#wanted = roster;
    this.#isInForce = isInForce;
    if (roster === undefined || this.#relay !== undefined) this.#apply();
    else if (!this.#starting) void this.#start();
    if (this.isPending) this.onChange();
  }

  /** Who owns an instance; undefined if this node is to connect by itself. */
  ownershipOf(instance: InstanceEntry): InstanceOwnership | undefined {
    if (this.#roster === undefined || this.#relay === undefined) return undefined;
    return this.#relay.ownershipOf(instance, this.#roster);
  }

  /** Leases of other nodes, in use or waited for. */
  get lentCount(): number {
    return this.#relay?.lentCount ?? 0;
  }

  stopGranting(): void {
    this.#stopping = true;
    this.#relay?.stopGranting();
  }

  async drained(deadline: Milliseconds): Promise<void> {
    await this.#relay?.drained(deadline);
  }

  close(): void {
    void this.#relay?.close();
  }

  async #start(): Promise<void> {
    this.#starting = true;
    const { Relay } = await import('./relay.js');
    const relay = new Relay(this.options);
    await relay.start();
    if (this.#stopping) relay.stopGranting();
    this.#relay = relay;
    this.#apply();
  }

  #apply(): void {
    this.#roster = this.#isInForce ? this.#wanted : undefined;
    this.onChange();
  }
}
