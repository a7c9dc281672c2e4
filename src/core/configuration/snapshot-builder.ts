/**
 * Keeps a snapshot up to date with a catalogue. After a change of tenants it resolves only those
 * and copies the maps. After a change of a template, or if a tenant is invalid or its user name is
 * taken, it resolves the whole catalogue, so that the result always equals that of `buildSnapshot`.
 */
import {
  buildSnapshot,
  type Catalogue,
  type CatalogueEntry,
  ResolutionCache,
  resolveTenantEntry,
} from './catalogue.js';
import type { DeclarationKey } from './declaration.js';
import type { ConfigurationRevision, ConfigurationSnapshot, TenantPolicy } from './model.js';

const TENANT_PREFIX = 'tenant/';

/** Builds the snapshots of a replica's catalogue. */
export class SnapshotBuilder {
  readonly #catalogue: Catalogue;
  readonly #resolutions = new ResolutionCache();
  readonly #changedKeys = new Set<DeclarationKey>();
  #snapshot: ConfigurationSnapshot | undefined;
  /** True if the last snapshot contains every declared tenant. */
  #isComplete = false;

  /** @param catalogue changed in place by the caller, who reports each change to `markChanged` */
  constructor(catalogue: Catalogue) {
    this.#catalogue = catalogue;
  }

  /** Records that the catalogue's entry of this key was added, replaced or deleted. */
  markChanged(key: DeclarationKey): void {
    this.#changedKeys.add(key);
  }

  /** Builds the snapshot of the catalogue's present contents. */
  build(revision: ConfigurationRevision): ConfigurationSnapshot {
    const snapshot = this.#updateTenants(revision) ?? this.#resolveAll(revision);
    this.#snapshot = snapshot;
    this.#changedKeys.clear();
    return snapshot;
  }

  /** Updates the changed tenants alone; undefined if the whole catalogue must be resolved. */
  #updateTenants(revision: ConfigurationRevision): ConfigurationSnapshot | undefined {
    const previous = this.#snapshot;
    // A change of one tenant can make another valid that was left out: its user name is now free.
    if (previous === undefined || !this.#isComplete) return undefined;
    const tenantsByUser = new Map(previous.tenantsByUser);
    const tenantsByName = new Map(previous.tenantsByName);
    for (const key of this.#changedKeys) {
      if (!key.startsWith(TENANT_PREFIX)) return undefined;
      const name = key.slice(TENANT_PREFIX.length);
      const before = tenantsByName.get(name);
      if (before !== undefined) tenantsByUser.delete(before.user);
      const entry = this.#catalogue.get(key);
      if (entry === undefined) {
        tenantsByName.delete(name);
        continue;
      }
      const policy = this.#resolve(entry);
      const isIndependent = policy?.tenant === name && !tenantsByUser.has(policy.user);
      if (!isIndependent) return undefined;
      tenantsByName.set(name, policy);
      tenantsByUser.set(policy.user, policy);
    }
    return { revision, tenantsByUser, tenantsByName };
  }

  #resolveAll(revision: ConfigurationRevision): ConfigurationSnapshot {
    const snapshot = buildSnapshot(this.#catalogue, revision, this.#resolutions);
    const tenants = [...this.#catalogue.keys()].filter((key) => key.startsWith(TENANT_PREFIX));
    const { tenantsByName, tenantsByUser } = snapshot;
    this.#isComplete =
      tenantsByName.size === tenants.length && tenantsByUser.size === tenants.length;
    return snapshot;
  }

  #resolve(entry: CatalogueEntry): TenantPolicy | undefined {
    if (entry.declaration.kind !== 'Tenant') return undefined;
    return resolveTenantEntry(this.#catalogue, this.#resolutions, entry, entry.declaration, []);
  }
}
