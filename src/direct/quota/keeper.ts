/** The parts of the tenants' quotas for which this node is the keeper: it grants the permits of a part to all nodes. */
import {
  isKeeperOfPart,
  PARTS_PER_TENANT,
  QUOTA_PARTS,
  type QuotaKeepers,
} from '../../core/tenancy/quota-keepers.js';
import { type PermitGrant, QuotaLedger } from '../../core/tenancy/quota-ledger.js';
import type { Milliseconds } from '../../core/units.js';
import type { TenantQuota } from '../contract.js';
import type { PartRequest } from './messages.js';

const UPDATE_PERIOD_MS: Milliseconds = 200;

export interface QuotaKeeperOptions {
  readonly nodeName: string;
  readonly keepers: () => QuotaKeepers | undefined;
  /** True while no other node can have become the keeper of this node's parts. */
  readonly mayKeep: () => boolean;
  /** Operations by which a tenant may exceed its limit in one window. */
  readonly slack: number;
  /** The quota of a tenant now; undefined if there is no such tenant. */
  readonly quotaOf: (tenant: string) => { readonly quota: TenantQuota | undefined } | undefined;
  readonly now: () => Milliseconds;
}

export class QuotaKeeper {
  /** Ledgers by part; none for the parts of other keepers. */
  readonly #ledgers = new Map<number, QuotaLedger>();

  constructor(private readonly options: QuotaKeeperOptions) {}

  /** Starts the periodic update, so that a ledger starts to refill soon after its part is assigned to this node. */
  start(): void {
    setInterval(() => this.update(), UPDATE_PERIOD_MS).unref();
  }

  /** Creates ledgers for the parts newly assigned to this node, and removes those of parts that are not its own any more. */
  update(): void {
    const { keepers, nodeName, slack, now } = this.options;
    const current = keepers();
    for (let part = 0; part < QUOTA_PARTS; part += 1) {
      if (!isKeeperOfPart(current, part, nodeName)) this.#ledgers.delete(part);
      else if (!this.#ledgers.has(part)) {
        this.#ledgers.set(
          part,
          new QuotaLedger(1 / PARTS_PER_TENANT, now(), extraCapacityOf(slack)),
        );
      }
    }
  }

  /** Grants permits; undefined if this node is not the keeper of the part, or does not know the tenant. */
  grant(request: PartRequest): PermitGrant | undefined {
    const { mayKeep, quotaOf, now } = this.options;
    if (!mayKeep()) return undefined;
    this.update();
    const ledger = this.#ledgers.get(request.part);
    const tenant = quotaOf(request.tenant);
    return tenant && ledger?.grant(request, tenant.quota, now());
  }
}

/** Extra capacity of a part: one operation, but all parts of a tenant together at most a quarter of `slack`. */
function extraCapacityOf(slack: number): number {
  return Math.min(1, slack / 4 / PARTS_PER_TENANT);
}
