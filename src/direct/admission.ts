/**
 * Whether a caller may have anything run now: its key is held by a tenant, this node can show that it still was lately,
 * and the tenant is within its quota.
 */
import { KeyRing } from '../core/tenancy/key-ring.js';
import { RevocationBound } from '../core/tenancy/revocation.js';
import type { Milliseconds } from '../core/units.js';
import type { PublishedConfiguration, RouteDescription, TenantDescription } from './contract.js';
import type { Refusal } from './statement-request.js';

/** A node out of touch may be in touch again soon; another node may be in touch now. */
const UNCONFIRMED_KEY_RETRY_MS: Milliseconds = 500;

/** Counted since the start. */
export interface AdmissionCounters {
  /** Refused since no tenant holds the key. */
  keysUnknown: number;
  /** Refused since the configuration may be older than the operator's bound allows. */
  keysUnproven: number;
  /** Refused since the tenant has used up its quota. */
  quotaRefusals: number;
  /** Refused since no node could be asked for the tenant's quota. */
  quotaUnknown: number;
  /** Questions to other nodes for quotas. */
  quotaAsked: number;
}

/** Who asks, or why nothing is run for it. */
export type AdmissionDecision =
  /** The tenant's name; undefined where callers need no key. */
  | { readonly type: 'admitted'; readonly account: string | undefined }
  | { readonly type: 'refused'; readonly refusal: Refusal };

export interface AdmissionOptions {
  /** Absent where only nodes in touch with the store are bound by what the operator takes away. */
  readonly revocationMs: Milliseconds | undefined;
  /** When the store surely had no newer configuration than this node; undefined if it never was asked. */
  readonly configurationProvenAt: () => Milliseconds | undefined;
  readonly counters: AdmissionCounters;
  readonly now: () => Milliseconds;
}

const NO_ACCOUNT: AdmissionDecision = { type: 'admitted', account: undefined };
const UNKNOWN_KEY: Refusal = { code: 'unknown-key', text: 'no tenant holds this key' };

export class Admission {
  readonly #revocationBound: RevocationBound | undefined;
  /** Undefined where callers give no keys. */
  #keys: KeyRing | undefined;
  #tenants: ReadonlyMap<string, TenantDescription> = new Map();

  constructor(private readonly options: AdmissionOptions) {
    const { revocationMs } = options;
    this.#revocationBound =
      revocationMs === undefined ? undefined : new RevocationBound(revocationMs);
  }

  /** True where callers are known by keys. */
  get requiresKeys(): boolean {
    return this.#keys !== undefined;
  }

  setConfiguration({ tenants }: PublishedConfiguration): void {
    this.#keys = tenants && new KeyRing(tenants);
    this.#tenants = new Map(tenants?.map((tenant) => [tenant.name, tenant]));
  }

  /** A tenant as it is declared now; undefined if there is none of this name. */
  tenant(name: string): TenantDescription | undefined {
    return this.#tenants.get(name);
  }

  /** Who a key gives on a route now. */
  admit(route: Pick<RouteDescription, 'isPublic'>, keyDigest: string): AdmissionDecision {
    const { counters } = this.options;
    if (this.#keys === undefined || route.isPublic === true) return NO_ACCOUNT;
    const unconfirmed = this.#refusalIfUnconfirmed();
    if (unconfirmed !== undefined) {
      counters.keysUnproven += 1;
      return { type: 'refused', refusal: unconfirmed };
    }
    const account = this.#keys.tenantOf(keyDigest);
    if (account !== undefined) return { type: 'admitted', account };
    counters.keysUnknown += 1;
    return { type: 'refused', refusal: UNKNOWN_KEY };
  }

  #refusalIfUnconfirmed(): Refusal | undefined {
    const { now, configurationProvenAt } = this.options;
    if (this.#revocationBound === undefined) return undefined;
    const provenAt = configurationProvenAt();
    if (provenAt !== undefined) this.#revocationBound.recordProof(provenAt);
    if (this.#revocationBound.mayRun(now())) return undefined;
    const text = `keys can't be confirmed by the store; retry after ${UNCONFIRMED_KEY_RETRY_MS} ms`;
    return { code: 'busy', text };
  }
}
