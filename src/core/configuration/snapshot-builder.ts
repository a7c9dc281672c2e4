/**
 * Keeps the snapshot in force in step with a catalogue. A change to tenants resolves just those and
 * copies the maps; a change to a template, or anything unusual, resolves the whole catalogue, so
 * that the outcome is always that of `snapshotOf`.
 */
import {
  type Catalogue,
  type CatalogueEntry,
  ResolutionCache,
  resolveEntry,
  snapshotOf,
} from './catalogue.js';
import type { DeclarationKey } from './declaration.js';
import type { ConfigurationRevision, ConfigurationSnapshot, TenantPolicy } from './model.js';

const TENANT_PREFIX = 'tenant/';

/** Builds the snapshot that follows from a replica. */
export class SnapshotBuilder {
  readonly #catalogue: Catalogue;
  readonly #resolutions = new ResolutionCache();
  readonly #changed = new Set<DeclarationKey>();
  #snapshot: ConfigurationSnapshot | undefined;
  /** True if no declared tenant was left out of the last snapshot. */
  #isComplete = false;

  /** @param catalogue what the owner of this changes in place */
  constructor(catalogue: Catalogue) {
    this.#catalogue = catalogue;
  }

  /** The catalogue's entry of this key was put, replaced or deleted. */
  markChanged(key: DeclarationKey): void {
    this.#changed.add(key);
  }

  /** What is in force, by the catalogue as it is now. */
  build(revision: ConfigurationRevision): ConfigurationSnapshot {
    const snapshot = this.#updated(revision) ?? this.#resolveAll(revision);
    this.#snapshot = snapshot;
    this.#changed.clear();
    return snapshot;
  }

  /** Undefined if the last snapshot can't be brought up to date tenant by tenant. */
  #updated(revision: ConfigurationRevision): ConfigurationSnapshot | undefined {
    const previous = this.#snapshot;
    // A tenant that was left out could come in by a change to another: its user is free now.
    if (previous === undefined || !this.#isComplete) return undefined;
    const tenantsByUser = new Map(previous.tenantsByUser);
    const tenantsByName = new Map(previous.tenantsByName);
    for (const key of this.#changed) {
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
      const isUsual = policy?.tenant === name && !tenantsByUser.has(policy.user);
      if (!isUsual) return undefined;
      tenantsByName.set(name, policy);
      tenantsByUser.set(policy.user, policy);
    }
    return { revision, tenantsByUser, tenantsByName };
  }

  #resolveAll(revision: ConfigurationRevision): ConfigurationSnapshot {
    const snapshot = snapshotOf(this.#catalogue, revision, this.#resolutions);
    const tenants = [...this.#catalogue.keys()].filter((key) => key.startsWith(TENANT_PREFIX));
    const { tenantsByName, tenantsByUser } = snapshot;
    this.#isComplete =
      tenantsByName.size === tenants.length && tenantsByUser.size === tenants.length;
    return snapshot;
  }

  #resolve(entry: CatalogueEntry): TenantPolicy | undefined {
    if (entry.declaration.kind !== 'Tenant') return undefined;
    return resolveEntry(this.#catalogue, this.#resolutions, entry, entry.declaration, []);
  }
}
