/** Requests running on each instance, and how long statements take there. */
import type { GroupRequest, InstanceName, TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';
import type { InstanceDescription } from './contract.js';

type Hold = GroupRequest['hold'];

interface TenantLoad {
  /** Slots in use. */
  slotsInUse: number;
  /** Open transactions, idle ones included. */
  transactions: number;
  /** Moving average over the tenant's statements on this instance. */
  serviceTimeMs: Milliseconds;
}

interface Load {
  statements: number;
  transactions: number;
  /** Open transactions that wait for their next statement. */
  idleTransactions: number;
  serviceTimeMs: Milliseconds;
  readonly byTenant: Map<TenantName, TenantLoad>;
}

const INITIAL_SERVICE_TIME_MS = 2;
const SERVICE_TIME_SMOOTHING = 0.1;
/**
 * Maximum open transactions per slot, and so the maximum number of statements per slot that queue
 * in the instance if all idle transactions send their next statement at once.
 */
const MAX_TRANSACTIONS_PER_SLOT = 3;
/** Fraction of an instance's slots that no single tenant may use while others are active. */
const RESERVED_FRACTION = 1 / 3;
/**
 * A tenant whose average statement takes longer is limited to an equal share: it frees slots too
 * rarely to use most of them.
 */
const LONG_SERVICE_TIME_MS: Milliseconds = 100;

/** Load by instance. */
export class InstanceLoads {
  private readonly loads = new Map<InstanceName, Load>();

  /**
   * True if one more request may be sent to the instance. A transaction uses a slot only while one
   * of its statements runs. Its next statement is sent without waiting for a slot, because other
   * requests may be waiting for locks that the transaction holds. The number of open transactions
   * is therefore limited separately.
   */
  hasSlot(instance: InstanceDescription, hold: Hold): boolean {
    const { statements, transactions, idleTransactions } = this.of(instance.name);
    if (statements + transactions - idleTransactions >= instance.slots) return false;
    return hold === 'statement' || transactions < instance.slots * MAX_TRANSACTIONS_PER_SLOT;
  }

  /** Records that a transaction waits for its next statement, or that the statement was sent. */
  setTransactionIdle(name: InstanceName, tenant: TenantName, idle: boolean): void {
    const load = this.of(name);
    const change = idle ? 1 : -1;
    load.idleTransactions += change;
    this.tenantLoadOf(load, tenant).slotsInUse -= change;
  }

  /**
   * True if the tenant may use one more slot while other tenants are active. No tenant may use the
   * last third of the slots, so that a flood of requests from one rarely makes another wait for a
   * slot. A tenant with long statements gets only an equal share, because it frees slots too rarely.
   */
  isWithinShare(
    instance: InstanceDescription,
    tenant: TenantName,
    hold: Hold,
    activeTenantCount: number,
  ): boolean {
    const load = this.of(instance.name).byTenant.get(tenant);
    if (load === undefined) return true;
    const { slots } = instance;
    // Idle transactions use no slot, but the number of open transactions is limited, too.
    const transactionLimit = slots * (MAX_TRANSACTIONS_PER_SLOT - 1);
    if (hold === 'transaction' && load.transactions >= transactionLimit) return false;
    const isLong = load.serviceTimeMs > LONG_SERVICE_TIME_MS;
    const slotLimit = isLong
      ? Math.floor(slots / activeTenantCount)
      : slots - Math.ceil(slots * RESERVED_FRACTION);
    return load.slotsInUse < Math.max(1, slotLimit);
  }

  recordStart(name: InstanceName, hold: Hold, tenant: TenantName): void {
    const load = this.of(name);
    const own = this.tenantLoadOf(load, tenant);
    own.slotsInUse += 1;
    if (hold === 'statement') {
      load.statements += 1;
      return;
    }
    load.transactions += 1;
    own.transactions += 1;
  }

  recordFinish(name: InstanceName, hold: Hold, tenant: TenantName): void {
    const load = this.of(name);
    const own = this.tenantLoadOf(load, tenant);
    own.slotsInUse -= 1;
    if (hold === 'transaction') own.transactions -= 1;
    const unused = own.slotsInUse <= 0 && own.transactions === 0;
    // Keep an average above the initial value: the tenant's next statements are likely to be slow,
    // too.
    if (unused && own.serviceTimeMs <= INITIAL_SERVICE_TIME_MS) load.byTenant.delete(tenant);
    if (hold === 'statement') load.statements -= 1;
    else load.transactions -= 1;
  }

  /** Must be called before `recordFinish`. */
  recordServiceTime(name: InstanceName, tenant: TenantName, elapsedMs: Milliseconds): void {
    const load = this.of(name);
    const own = this.tenantLoadOf(load, tenant);
    own.serviceTimeMs += (elapsedMs - own.serviceTimeMs) * SERVICE_TIME_SMOOTHING;
    load.serviceTimeMs += (elapsedMs - load.serviceTimeMs) * SERVICE_TIME_SMOOTHING;
  }

  runningCount(name: InstanceName): number {
    const load = this.of(name);
    return load.statements + load.transactions - load.idleTransactions;
  }

  /** Moving average of the time from sending a statement to its end. */
  serviceTimeMs(name: InstanceName): Milliseconds {
    return this.of(name).serviceTimeMs;
  }

  totalCount(): number {
    let total = 0;
    for (const load of this.loads.values()) total += load.statements + load.transactions;
    return total;
  }

  private tenantLoadOf(load: Load, tenant: TenantName): TenantLoad {
    const known = load.byTenant.get(tenant);
    if (known !== undefined) return known;
    const created: TenantLoad = {
      slotsInUse: 0,
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
