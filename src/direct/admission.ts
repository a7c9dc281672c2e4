/**
 * Decides whether a caller may run statements: a tenant must hold the caller's key, and this node's configuration must
 * be proven recent enough to rule out that the key was revoked. A tenant's quota is checked elsewhere and counted here.
 */
import { KeyRing } from '../core/tenancy/key-ring.js';
import { RevocationBound } from '../core/tenancy/revocation.js';
import type { Milliseconds } from '../core/units.js';
import type { PublishedConfiguration, RouteDescription, TenantDescription } from './contract.js';
import type { Refusal } from './statement-request.js';

/** This node may reach the store again soon, and another node may reach it now. */
const UNCONFIRMED_KEY_RETRY_MS: Milliseconds = 500;

/** Counts since the process started. */
export interface AdmissionCounters {
  /** Refused because no tenant holds the key. */
  keysUnknown: number;
  /** Refused because the configuration may be older than the operator's bound allows. */
  keysUnproven: number;
  /** Refused because the tenant has used up its quota. */
  quotaRefusals: number;
  /** Refused because no node that grants the tenant's permits could be reached. */
  quotaUnknown: number;
  /** Requests to other nodes for quota permits. */
  quotaAsked: number;
}

/** The tenant that the caller belongs to, or the reason for a refusal. */
export type AdmissionDecision =
  /** `account` is the tenant's name; undefined where callers need no key. */
  | { readonly type: 'admitted'; readonly account: string | undefined }
  | { readonly type: 'refused'; readonly refusal: Refusal };

export interface AdmissionOptions {
  /** Time after which a revocation binds every node; undefined if it binds only nodes that reach the store. */
  readonly revocationMs: Milliseconds | undefined;
  /** Last time at which the store provably had no newer configuration than this node; undefined if that is unknown. */
  readonly configurationProvenAt: () => Milliseconds | undefined;
  readonly counters: AdmissionCounters;
  readonly now: () => Milliseconds;
}

const NO_ACCOUNT: AdmissionDecision = { type: 'admitted', account: undefined };
const UNKNOWN_KEY: Refusal = { code: 'unknown-key', text: 'no tenant holds this key' };

export class Admission {
  readonly #revocationBound: RevocationBound | undefined;
  /** Undefined where callers send no keys. */
  #keys: KeyRing | undefined;
  #tenants: ReadonlyMap<string, TenantDescription> = new Map();

  constructor(private readonly options: AdmissionOptions) {
    const { revocationMs } = options;
    this.#revocationBound =
      revocationMs === undefined ? undefined : new RevocationBound(revocationMs);
  }

  /** True if callers are identified by keys. */
  get requiresKeys(): boolean {
    return this.#keys !== undefined;
  }

  setConfiguration({ tenants }: PublishedConfiguration): void {
    this.#keys = tenants && new KeyRing(tenants);
    this.#tenants = new Map(tenants?.map((tenant) => [tenant.name, tenant]));
  }

  /** The tenant of this name in the current configuration, if there is one. */
  tenant(name: string): TenantDescription | undefined {
    return this.#tenants.get(name);
  }

  /** Decides with the current configuration whether a caller with this key may use the route. */
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
