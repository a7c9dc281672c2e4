/** What runs on each instance, and how long statements take there. */
import type { GroupRequest, InstanceName, TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';
import type { InstanceDescription } from './contract.js';

type Hold = GroupRequest['hold'];

interface Load {
  statements: number;
  transactions: number;
  serviceTimeMs: Milliseconds;
  readonly byTenant: Map<TenantName, number>;
}

const INITIAL_SERVICE_TIME_MS = 2;
const SERVICE_TIME_WEIGHT = 0.1;
/** Transactions beyond the slots that may be open at once, as a share of the slots. */
const TRANSACTION_OVERCOMMIT = 0.5;
/** Slots of an instance that no single tenant may use while others are present. */
const RESERVED_SLOTS = 1;

/** Load by instance. */
export class InstanceLoads {
  private readonly loads = new Map<InstanceName, Load>();

  /**
   * True if the instance may be given one more request. A transaction counts as using a slot, but
   * as it is often idle between its statements, open transactions extend the bound a little, and
   * the last place is kept for statements.
   */
  hasSlot(instance: InstanceDescription, hold: Hold): boolean {
    const { statements, transactions } = this.of(instance.name);
    const overcommit = Math.ceil(instance.slots * TRANSACTION_OVERCOMMIT);
    const limit = instance.slots + Math.min(transactions, overcommit);
    if (statements + transactions >= limit) return false;
    return hold === 'statement' || transactions < Math.max(1, instance.slots + overcommit - 1);
  }

  /**
   * True if the tenant may use one more slot where others want some, too: one slot is kept from
   * each tenant, so that a flood of one seldom makes another wait for a slot.
   */
  withinShare(instance: InstanceDescription, tenant: TenantName): boolean {
    const held = this.of(instance.name).byTenant.get(tenant) ?? 0;
    return held < Math.max(1, instance.slots - RESERVED_SLOTS);
  }

  start(name: InstanceName, hold: Hold, tenant: TenantName): void {
    const load = this.of(name);
    load.byTenant.set(tenant, (load.byTenant.get(tenant) ?? 0) + 1);
    if (hold === 'statement') load.statements += 1;
    else load.transactions += 1;
  }

  finish(name: InstanceName, hold: Hold, tenant: TenantName): void {
    const load = this.of(name);
    const held = (load.byTenant.get(tenant) ?? 0) - 1;
    if (held > 0) load.byTenant.set(tenant, held);
    else load.byTenant.delete(tenant);
    if (hold === 'statement') load.statements -= 1;
    else load.transactions -= 1;
  }

  recordServiceTime(name: InstanceName, elapsedMs: Milliseconds): void {
    const load = this.of(name);
    load.serviceTimeMs += (elapsedMs - load.serviceTimeMs) * SERVICE_TIME_WEIGHT;
  }

  running(name: InstanceName): number {
    const load = this.of(name);
    return load.statements + load.transactions;
  }

  /** Moving average of the time from sending a statement to its end. */
  serviceTimeMs(name: InstanceName): Milliseconds {
    return this.of(name).serviceTimeMs;
  }

  total(): number {
    let total = 0;
    for (const load of this.loads.values()) total += load.statements + load.transactions;
    return total;
  }

  private of(name: InstanceName): Load {
    const known = this.loads.get(name);
    if (known !== undefined) return known;
    const load: Load = {
      statements: 0,
      transactions: 0,
      serviceTimeMs: INITIAL_SERVICE_TIME_MS,
      byTenant: new Map(),
    };
    this.loads.set(name, load);
    return load;
  }
}
