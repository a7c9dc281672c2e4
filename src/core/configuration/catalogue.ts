/**
 * All declarations, and the checks that span several of them: every tenant's template exists and
 * accepts the tenant's parameters, no two tenants share a user, no template in use is missing.
 */
import {
  type DeclarationKey,
  keyOf,
  type LocatedDeclaration,
  type TemplateDeclaration,
  type TenantDeclaration,
} from './declaration.js';
import type { DocumentProblem } from './document.js';
import type { ConfigurationRevision, ConfigurationSnapshot, TenantPolicy } from './model.js';
import { checkDefaults } from './parameters.js';
import { findReferences, resolveTenant } from './resolve.js';
import type { RouteTemplateDeclaration } from './route-template-schema.js';
import { checkRouteTemplate, isRouteTemplate } from './route-templates.js';

/** A declaration and the revision at which it was published; 0 if it was not published. */
export interface CatalogueEntry extends LocatedDeclaration {
  readonly revision: ConfigurationRevision;
}

/** Declarations by key, without removed ones. */
export type Catalogue = ReadonlyMap<DeclarationKey, CatalogueEntry>;

/** Result of resolving a catalogue: the valid policies, and all problems found. */
export interface ResolvedCatalogue {
  readonly policies: readonly TenantPolicy[];
  readonly problems: readonly DocumentProblem[];
}

/**
 * Caches the policy of each tenant until the tenant or its template changes, so that a change to
 * one tenant does not resolve all the others again.
 */
export class ResolutionCache {
  readonly #resolved = new WeakMap<CatalogueEntry, CachedResolution>();

  resolve(
    template: CatalogueEntry & { readonly declaration: TemplateDeclaration },
    entry: CatalogueEntry,
    tenant: TenantDeclaration,
  ): Resolution {
    const cached = this.#resolved.get(entry);
    if (cached?.template === template) return cached.resolution;
    const revision = Math.max(entry.revision, template.revision);
    const resolution = resolveTenant(template.declaration, tenant, revision, entry.locate);
    this.#resolved.set(entry, { template, resolution });
    return resolution;
  }
}

type Resolution = ReturnType<typeof resolveTenant>;

interface CachedResolution {
  readonly template: CatalogueEntry;
  readonly resolution: Resolution;
}

/** Resolves every tenant and checks every template, sorted by key to be deterministic. */
export function resolveCatalogue(
  catalogue: Catalogue,
  cache: ResolutionCache = new ResolutionCache(),
): ResolvedCatalogue {
  const problems: DocumentProblem[] = [];
  const policies: TenantPolicy[] = [];
  const users = new Map<string, string>();
  for (const key of [...catalogue.keys()].sort()) {
    const entry = catalogue.get(key);
    if (entry === undefined) continue;
    if (entry.declaration.kind === 'Template') {
      problems.push(...checkTemplate(entry.declaration, entry.locate));
      continue;
    }
    const policy = resolveTenantEntry(catalogue, cache, entry, entry.declaration, problems);
    if (policy === undefined) continue;
    const other = users.get(policy.user);
    if (other !== undefined) {
      problems.push({
        location: entry.locate(['user']),
        field: 'user',
        expected: `a user that no other tenant has (${other} has it)`,
      });
      continue;
    }
    users.set(policy.user, policy.tenant);
    policies.push(policy);
  }
  return { policies, problems };
}

/** Builds the snapshot of a revision. Leaves out tenants that can't be resolved. */
export function buildSnapshot(
  catalogue: Catalogue,
  revision: ConfigurationRevision,
  cache: ResolutionCache = new ResolutionCache(),
): ConfigurationSnapshot {
  const { policies } = resolveCatalogue(catalogue, cache);
  return {
    revision,
    tenantsByUser: new Map(policies.map((policy) => [policy.user, policy])),
    tenantsByName: new Map(policies.map((policy) => [policy.tenant, policy])),
  };
}

/** Builds a catalogue of declarations that have not been published. */
export function buildCatalogue(declarations: readonly LocatedDeclaration[]): Catalogue {
  return new Map(
    declarations.map((located) => [keyOf(located.declaration), { ...located, revision: 0 }]),
  );
}

function checkTemplate(
  template: TemplateDeclaration | RouteTemplateDeclaration,
  locate: LocatedDeclaration['locate'],
): DocumentProblem[] {
  const references = findReferences(template.policy, ['policy']);
  const unknown = references
    .filter(({ parameter }) => !Object.hasOwn(template.parameters, parameter))
    .map(({ parameter, path }) => ({
      location: locate(path),
      field: path.join('.'),
      expected: `a parameter that the template declares, not ${parameter}`,
    }));
  const used = new Set(references.map(({ parameter }) => parameter));
  const unused = Object.keys(template.parameters)
    .filter((name) => !used.has(name))
    .map((name) => ({
      location: locate(['parameters', name]),
      field: `parameters.${name}`,
      expected: 'a parameter that the policy refers to',
    }));
  const gatewayProblems = isRouteTemplate(template)
    ? checkRouteTemplate(template, locate)
    : checkDefaults(template.parameters, locate);
  return [...unknown, ...unused, ...gatewayProblems];
}

/** Resolves one tenant; if that fails, adds to `problems` and returns undefined. */
export function resolveTenantEntry(
  catalogue: Catalogue,
  cache: ResolutionCache,
  entry: CatalogueEntry,
  tenant: TenantDeclaration,
  problems: DocumentProblem[],
): TenantPolicy | undefined {
  const template = catalogue.get(`template/${tenant.template}`);
  if (template === undefined || !isProxyTemplate(template)) {
    problems.push({
      location: entry.locate(['template']),
      field: 'template',
      expected: `a template that is declared for the proxy; there is none named ${tenant.template}`,
    });
    return undefined;
  }
  const resolved = cache.resolve(template, entry, tenant);
  if (resolved.isOk()) return resolved.value;
  problems.push(...resolved.error.problems);
  return undefined;
}

function isProxyTemplate(
  entry: CatalogueEntry,
): entry is CatalogueEntry & { readonly declaration: TemplateDeclaration } {
  return entry.declaration.kind === 'Template' && !isRouteTemplate(entry.declaration);
}
