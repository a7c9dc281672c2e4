/** Resolves a tenant's policy: substitutes its parameters in the template's policy. */
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import type { LocatedDeclaration, TemplateDeclaration, TenantDeclaration } from './declaration.js';
import { withoutLocation } from './declaration.js';
import {
  type DocumentProblem,
  type FieldPath,
  formatFieldPath,
  toDocumentProblems,
} from './document.js';
import { InvalidDeclarationError } from './errors.js';
import type { ConfigurationRevision, RequestKindPolicy, TenantPolicy } from './model.js';
import { valueSchemaOf } from './parameters.js';
import {
  DEFAULT_REQUEST_KIND,
  isParameterReference,
  type ResolvedPolicy,
  requestKindSchema,
  resolvedPolicySchema,
} from './policy-schema.js';

type ParameterValues = ReadonlyMap<string, unknown>;

/**
 * The effective policy of a tenant.
 * @param revision at which the template or the tenant last changed, whichever is later
 * @param locate returns the locations of the tenant's fields, for problems
 */
export function resolveTenant(
  template: TemplateDeclaration,
  tenant: TenantDeclaration,
  revision: ConfigurationRevision = 0,
  locate: LocatedDeclaration['locate'] = withoutLocation(tenant).locate,
): Result<TenantPolicy, InvalidDeclarationError> {
  const problems: DocumentProblem[] = [];
  const values = checkParameters(template, tenant, locate, problems);
  const { scramVerifier } = tenant;
  if (scramVerifier === undefined) {
    problems.push(
      createProblem(locate, ['scramVerifier'], 'a SCRAM verifier, or --password-env NAME'),
    );
  }
  if (problems.length > 0 || scramVerifier === undefined) {
    return err(new InvalidDeclarationError(problems));
  }
  const parsed = resolvedPolicySchema.safeParse(substituteParameters(template.policy, values));
  if (!parsed.success) {
    const issues = parsed.error.issues.map((issue) => attributeToParameter(template, issue));
    return err(new InvalidDeclarationError(toDocumentProblems(issues, locate)));
  }
  return ok(createPolicy(tenant, scramVerifier, parsed.data, revision));
}

/** Finds all references to parameters in a policy, with their paths. */
export function findReferences(
  policy: unknown,
  path: FieldPath = [],
): readonly { readonly parameter: string; readonly path: FieldPath }[] {
  if (isParameterReference(policy)) return [{ parameter: policy.parameter, path }];
  if (typeof policy !== 'object' || policy === null) return [];
  return Object.entries(policy).flatMap(([key, value]) =>
    findReferences(value, [...path, Array.isArray(policy) ? Number(key) : key]),
  );
}

function checkParameters(
  template: TemplateDeclaration,
  tenant: TenantDeclaration,
  locate: LocatedDeclaration['locate'],
  problems: DocumentProblem[],
): ParameterValues {
  const values = new Map<string, unknown>();
  for (const name of Object.keys(tenant.parameters)) {
    if (Object.hasOwn(template.parameters, name)) continue;
    const expected = `a parameter of template ${template.name}`;
    problems.push(createProblem(locate, ['parameters', name], expected));
  }
  for (const [name, parameter] of Object.entries(template.parameters)) {
    const given = Object.hasOwn(tenant.parameters, name)
      ? tenant.parameters[name]
      : parameter.default;
    if (given === undefined) {
      problems.push(
        createProblem(locate, ['parameters', name], `a value of type ${parameter.type}`),
      );
      continue;
    }
    const parsed = valueSchemaOf(parameter).safeParse(given);
    if (parsed.success) values.set(name, parsed.data);
    else
      problems.push(
        ...toDocumentProblems(withPathPrefix(['parameters', name], parsed.error), locate),
      );
  }
  return values;
}

function substituteParameters(value: unknown, values: ParameterValues): unknown {
  if (isParameterReference(value)) return values.get(value.parameter);
  if (Array.isArray(value)) return value.map((item) => substituteParameters(item, values));
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, item]) => [key, substituteParameters(item, values)]),
  );
}

/** Attributes an invalid value to the parameter that was substituted at its path. */
function attributeToParameter(
  template: TemplateDeclaration,
  issue: z.core.$ZodIssue,
): z.core.$ZodIssue {
  const reference = findReferences(template.policy).find(({ path }) =>
    path.every((step, index) => issue.path[index] === step),
  );
  if (reference === undefined) return { ...issue, path: ['template'] };
  const message = `${issue.message} (for the template's policy.${formatFieldPath(reference.path)})`;
  const rest = issue.path.slice(reference.path.length);
  return { ...issue, message, path: ['parameters', reference.parameter, ...rest] };
}

function createPolicy(
  tenant: TenantDeclaration,
  scramVerifier: string,
  policy: ResolvedPolicy,
  revision: ConfigurationRevision,
): TenantPolicy {
  const { requestKinds, databases, ...limits } = policy;
  return {
    ...limits,
    tenant: tenant.name,
    user: tenant.user ?? tenant.name,
    scramVerifier,
    databases: databases.map((access) => ({
      ...access,
      backendDatabase: access.backendDatabase ?? access.database,
    })),
    requestKinds: createRequestKindPolicies(requestKinds),
    enabled: tenant.enabled,
    revision,
  };
}

/** Adds the kind `default` if undeclared: reads from the primary only, not repeatable. */
function createRequestKindPolicies(declared: ResolvedPolicy['requestKinds']): RequestKindPolicy[] {
  const kinds = { [DEFAULT_REQUEST_KIND]: requestKindSchema.parse({}), ...declared };
  return Object.entries(kinds).map(([kind, policy]) => ({ kind, ...policy }));
}

function withPathPrefix(prefix: readonly string[], error: z.ZodError): z.core.$ZodIssue[] {
  return error.issues.map((issue) => ({ ...issue, path: [...prefix, ...issue.path] }));
}

function createProblem(
  locate: LocatedDeclaration['locate'],
  path: FieldPath,
  expected: string,
): DocumentProblem {
  return { location: locate(path), field: formatFieldPath(path), expected };
}
