/** Checks templates of the direct gateway, and compiles them to the data built into it. */
import { err, ok, type Result } from 'neverthrow';
import {
  type FieldSource,
  type ParameterBounds,
  ROUTE_TYPES,
  type RouteParameter,
  type RoutePolicyFields,
  type RouteTemplate,
  type RouteTemplates,
  type RouteType,
} from '../tenancy/route-template.js';
import type { LocatedDeclaration } from './declaration.js';
import type { DocumentProblem } from './document.js';
import { InvalidDeclarationError } from './errors.js';
import { isParameterReference } from './policy-schema.js';
import {
  ROUTE_POLICY_FIELDS,
  type RouteParameterDeclaration,
  type RouteTemplateDeclaration,
} from './route-template-schema.js';

/** Upper bound of a published field whose parameter declares none. */
const MAX_VALUE = Number.MAX_SAFE_INTEGER;
const MAX_DURATION_MS = 24 * 3_600_000;

/** True for a template of the direct gateway. */
export function isRouteTemplate(
  declaration: LocatedDeclaration['declaration'],
): declaration is RouteTemplateDeclaration {
  return declaration.kind === 'Template' && declaration.gateway === 'direct';
}

/** Checks that each field accepts every value within the bounds of its parameter. */
export function checkRouteTemplate(
  template: RouteTemplateDeclaration,
  locate: LocatedDeclaration['locate'],
): DocumentProblem[] {
  return policyFieldsOf(template).flatMap((field) => {
    const source = template.policy[field];
    if (!isParameterReference(source)) return [];
    const parameter = template.parameters[source.parameter as RouteParameter];
    // The check of all templates reports undeclared parameters.
    if (parameter === undefined) return [];
    const { minimum, maximum } = boundsOf(parameter);
    const schema = ROUTE_POLICY_FIELDS[field];
    const boundsFit = [minimum, maximum].every((value) => schema.safeParse(value).success);
    if (boundsFit && (parameter.type !== 'number' || schema.safeParse(minimum + 0.5).success))
      return [];
    return [
      {
        location: locate(['policy', field]),
        field: `policy.${field}`,
        expected: `a parameter whose type and bounds fit this field, unlike ${source.parameter}`,
      },
    ];
  });
}

/** Compiles the templates, one for each type of route. They must have been checked before. */
export function compileRouteTemplates(
  declarations: readonly LocatedDeclaration[],
): Result<RouteTemplates, InvalidDeclarationError> {
  const compiled = new Map<RouteType, RouteTemplate>();
  const problems: DocumentProblem[] = [];
  for (const { declaration, locate } of declarations) {
    if (!isRouteTemplate(declaration)) continue;
    if (compiled.has(declaration.routeType)) {
      const expected = `one template for routes of type ${declaration.routeType}`;
      problems.push({ location: locate(['routeType']), field: 'routeType', expected });
    }
    compiled.set(declaration.routeType, compileTemplate(declaration));
  }
  for (const type of ROUTE_TYPES) {
    if (compiled.has(type)) continue;
    const location = { source: 'templates', line: undefined, column: undefined };
    problems.push({ location, field: 'routeType', expected: `a template for ${type}` });
  }
  if (problems.length > 0) return err(new InvalidDeclarationError(problems));
  return ok(Object.fromEntries(compiled) as unknown as RouteTemplates);
}

function compileTemplate(declaration: RouteTemplateDeclaration): RouteTemplate {
  const parameters = Object.entries(declaration.parameters).map(([name, parameter]) => {
    return [name, boundsOf(parameter)] as const;
  });
  const policy = policyFieldsOf(declaration).map((field) => {
    return [field, declaration.policy[field] as FieldSource] as const;
  });
  return {
    name: declaration.name,
    parameters: Object.fromEntries(parameters),
    policy: Object.fromEntries(policy) as RouteTemplate['policy'],
  };
}

function policyFieldsOf(template: RouteTemplateDeclaration): (keyof RoutePolicyFields)[] {
  return Object.keys(template.policy) as (keyof RoutePolicyFields)[];
}

function boundsOf(parameter: RouteParameterDeclaration): Required<ParameterBounds> {
  const maxValue = parameter.type === 'duration' ? MAX_DURATION_MS : MAX_VALUE;
  return { minimum: parameter.minimum ?? 0, maximum: parameter.maximum ?? maxValue };
}
