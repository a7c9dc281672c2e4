/** Caller connections of each tenant on this node, held to this node's share of the tenant's limit. */
import { err, ok, type Result } from 'neverthrow';
import type { TenantPolicy } from '../core/configuration/model.js';
import { NotRunError, type RequestError } from '../core/errors.js';
import type { TenantName } from '../core/request.js';

/** How soon a refused caller may ask again, in ms. */
const RETRY_AFTER_MS = 500;

export class CallerAdmission {
  readonly #open = new Map<TenantName, number>();

  /** `shareOf`: connections of the tenant that this node may hold now. */
  constructor(readonly shareOf: (policy: TenantPolicy) => number) {}

  /** Takes a place; the result gives it back. */
  admit(policy: TenantPolicy): Result<() => void, RequestError> {
    const open = this.#open.get(policy.tenant) ?? 0;
    if (open >= this.shareOf(policy)) {
      return err(
        new NotRunError(
          'connection-limit',
          `tenant ${policy.tenant} has no connection left`,
          RETRY_AFTER_MS,
        ),
      );
    }
    this.#open.set(policy.tenant, open + 1);
    return ok(() => this.#release(policy.tenant));
  }

  openOf(tenant: TenantName): number {
    return this.#open.get(tenant) ?? 0;
  }

  #release(tenant: TenantName): void {
    const left = (this.#open.get(tenant) ?? 1) - 1;
    if (left > 0) this.#open.set(tenant, left);
    else this.#open.delete(tenant);
  }
}
