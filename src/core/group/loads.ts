/** What runs on each instance, and how long statements take there. */
import type { GroupRequest, InstanceName, TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';
import type { InstanceDescription } from './contract.js';

type Hold = GroupRequest['hold'];

interface TenantLoad {
  /** Slots in use. */
  held: number;
  /** Open transactions, idle ones included. */
  transactions: number;
  /** Moving average over the tenant's own statements here. */
  serviceTimeMs: Milliseconds;
}

interface Load {
  statements: number;
  transactions: number;
  /** Those of them that wait for their next statement. */
  idleTransactions: number;
  serviceTimeMs: Milliseconds;
  readonly byTenant: Map<TenantName, TenantLoad>;
}

const INITIAL_SERVICE_TIME_MS = 2;
const SERVICE_TIME_WEIGHT = 0.1;
/** Open transactions for each slot: as many as wake at once at worst queue in the instance. */
const TRANSACTIONS_PER_SLOT = 3;
/** Part of an instance's slots that no single tenant may use while others are present. */
const RESERVED_SHARE = 1 / 3;
/** A tenant whose statements take longer on average gives slots back too seldom to have most. */
const LONG_SERVICE_TIME_MS: Milliseconds = 100;

/** Load by instance. */
export class InstanceLoads {
  private readonly loads = new Map<InstanceName, Load>();

  /**
   * True if the instance may be given one more request. A transaction uses a slot while one of its
   * statements runs. Between two statements it uses none; the next one is sent without asking, as
   * others may wait for what the transaction has locked, so the number of transactions is bounded.
   */
  hasSlot(instance: InstanceDescription, hold: Hold): boolean {
    const { statements, transactions, idleTransactions } = this.of(instance.name);
    if (statements + transactions - idleTransactions >= instance.slots) return false;
    return hold === 'statement' || transactions < instance.slots * TRANSACTIONS_PER_SLOT;
  }

  /** A transaction waits for its next statement, or has been sent it. */
  setIdle(name: InstanceName, tenant: TenantName, idle: boolean): void {
    const load = this.of(name);
    const change = idle ? 1 : -1;
    load.idleTransactions += change;
    this.ofTenant(load, tenant).held -= change;
  }

  /**
   * True if the tenant may use one more slot where others want some, too: a third of
   * the slots is kept from each tenant, so that a flood of one seldom makes another wait for a slot.
   * A tenant with long statements has an equal share only: it gives slots back too seldom.
   */
  withinShare(
    instance: InstanceDescription,
    tenant: TenantName,
    hold: Hold,
    tenants: number,
  ): boolean {
    const load = this.of(instance.name).byTenant.get(tenant);
    if (load === undefined) return true;
    const { slots } = instance;
    // Idle transactions use no slot, but the places for transactions are few, too.
    const transactionShare = slots * (TRANSACTIONS_PER_SLOT - 1);
    if (hold === 'transaction' && load.transactions >= transactionShare) return false;
    const isLong = load.serviceTimeMs > LONG_SERVICE_TIME_MS;
    const share = isLong ? Math.floor(slots / tenants) : slots - Math.ceil(slots * RESERVED_SHARE);
    return load.held < Math.max(1, share);
  }

  start(name: InstanceName, hold: Hold, tenant: TenantName): void {
    const load = this.of(name);
    const own = this.ofTenant(load, tenant);
    own.held += 1;
    if (hold === 'statement') {
      load.statements += 1;
      return;
    }
    load.transactions += 1;
    own.transactions += 1;
  }

  finish(name: InstanceName, hold: Hold, tenant: TenantName): void {
    const load = this.of(name);
    const own = this.ofTenant(load, tenant);
    own.held -= 1;
    if (hold === 'transaction') own.transactions -= 1;
    const unused = own.held <= 0 && own.transactions === 0;
    // What is known of longer statements stays: a tenant that comes back is likely to go on so.
    if (unused && own.serviceTimeMs <= INITIAL_SERVICE_TIME_MS) load.byTenant.delete(tenant);
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
    return load.statements + load.transactions - load.idleTransactions;
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
    const created: TenantLoad = {
      held: 0,
      transactions: 0,
      serviceTimeMs: INITIAL_SERVICE_TIME_MS,
    };
    load.byTenant.set(tenant, created);
    return created;
  }

  private of(name: InstanceName): Load {
    const known = this.loads.get(name);
    if (known !== undefined) return known;
    const load: Load = {
      statements: 0,
      transactions: 0,
      idleTransactions: 0,
      serviceTimeMs: INITIAL_SERVICE_TIME_MS,
      byTenant: new Map(),
    };
    this.loads.set(name, load);
    return load;
  }
}
