/** The parts of the tenants' quotas that this node keeps for the fleet. */
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

const UPDATE_MS: Milliseconds = 200;

export interface QuotaKeeperOptions {
  readonly nodeName: string;
  readonly keepers: () => QuotaKeepers | undefined;
  /** True while no other node can have been made the keeper of this one's parts. */
  readonly mayKeep: () => boolean;
  /** Operations beyond its limit that a tenant may run in a window. */
  readonly slack: number;
  /** The quota of a tenant now; undefined if there is no such tenant. */
  readonly quotaOf: (tenant: string) => { readonly quota: TenantQuota | undefined } | undefined;
  readonly now: () => Milliseconds;
}

export class QuotaKeeper {
  /** By part; undefined for those that others keep. */
  readonly #ledgers = new Map<number, QuotaLedger>();

  constructor(private readonly options: QuotaKeeperOptions) {}

  /** From now on a part is taken up as soon as it is this node's: what it may give out grows from then. */
  start(): void {
    setInterval(() => this.update(), UPDATE_MS).unref();
  }

  /** Takes up the parts that are this node's now, and lets the others go. */
  update(): void {
    const { keepers, nodeName, slack, now } = this.options;
    const present = keepers();
    for (let part = 0; part < QUOTA_PARTS; part += 1) {
      if (!isKeeperOfPart(present, part, nodeName)) this.#ledgers.delete(part);
      else if (!this.#ledgers.has(part)) {
        this.#ledgers.set(part, new QuotaLedger(1 / PARTS_PER_TENANT, now(), spareOf(slack)));
      }
    }
  }

  /** Undefined if this node does not keep the part, or knows no such tenant. */
  grant(request: PartRequest): PermitGrant | undefined {
    const { mayKeep, quotaOf, now } = this.options;
    if (!mayKeep()) return undefined;
    this.update();
    const ledger = this.#ledgers.get(request.part);
    const tenant = quotaOf(request.tenant);
    return tenant && ledger?.grant(request, tenant.quota, now());
  }
}

/** One operation for each part, where that is no more than a quarter of what is allowed beyond the limit. */
function spareOf(slack: number): number {
  return Math.min(1, slack / 4 / PARTS_PER_TENANT);
}
