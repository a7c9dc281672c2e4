/** What runs on each instance, and how long statements take there. */
import type { GroupRequest, InstanceName, TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';
import type { InstanceDescription } from './contract.js';

type Hold = GroupRequest['hold'];

interface TenantLoad {
  held: number;
  /** Moving average over the tenant's own statements here. */
  serviceTimeMs: Milliseconds;
}

interface Load {
  statements: number;
  transactions: number;
  serviceTimeMs: Milliseconds;
  readonly byTenant: Map<TenantName, TenantLoad>;
}

const INITIAL_SERVICE_TIME_MS = 2;
const SERVICE_TIME_WEIGHT = 0.1;
/** Transactions beyond the slots that may be open at once, as a share of the slots. */
const TRANSACTION_OVERCOMMIT = 0.5;
/** Slots of an instance that no single tenant may use while others are present. */
const RESERVED_SLOTS = 1;
/** A tenant whose statements take longer on average gives slots back too seldom to take most. */
const LONG_SERVICE_TIME_MS: Milliseconds = 100;

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
   * each tenant, so that a flood of one seldom makes another wait for a slot. A tenant with long
   * statements has an equal share only: others would have to do with the slot that is kept.
   */
  withinShare(instance: InstanceDescription, tenant: TenantName, tenants: number): boolean {
    const load = this.of(instance.name).byTenant.get(tenant);
    if (load === undefined) return true;
    const { slots } = instance;
    const isLong = load.serviceTimeMs > LONG_SERVICE_TIME_MS;
    const share = isLong ? Math.floor(slots / Math.max(1, tenants)) : slots - RESERVED_SLOTS;
    return load.held < Math.max(1, share);
  }

  start(name: InstanceName, hold: Hold, tenant: TenantName): void {
    const load = this.of(name);
    this.ofTenant(load, tenant).held += 1;
    if (hold === 'statement') load.statements += 1;
    else load.transactions += 1;
  }

  finish(name: InstanceName, hold: Hold, tenant: TenantName): void {
    const load = this.of(name);
    const own = this.ofTenant(load, tenant);
    own.held -= 1;
    if (own.held <= 0 && own.serviceTimeMs <= LONG_SERVICE_TIME_MS) load.byTenant.delete(tenant);
    if (hold === 'statement') load.statements -= 1;
    else load.transactions -= 1;
  }

  /** Called before `finish`. */
  recordServiceTime(name: InstanceName, tenant: TenantName, elapsedMs: Milliseconds): void {
    const load = this.of(name);
    const own = this.ofTenant(load, tenant);
    own.serviceTimeMs += (elapsedMs - own.serviceTimeMs) * SERVICE_TIME_WEIGHT;
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

  private ofTenant(load: Load, tenant: TenantName): TenantLoad {
    const known = load.byTenant.get(tenant);
    if (known !== undefined) return known;
    const created: TenantLoad = { held: 0, serviceTimeMs: INITIAL_SERVICE_TIME_MS };
    load.byTenant.set(tenant, created);
    return created;
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
