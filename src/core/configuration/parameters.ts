/**
 * Typed parameters of templates: a type, a default and bounds. A tenant's value is checked against
 * them when the tenant is resolved, and a default when the template is published.
 */
import { z } from 'zod';
import type { DocumentProblem, FieldPath, SourceLocation } from './document.js';
import { toDocumentProblems } from './document.js';
import { durationSchema } from './duration.js';
import { databasesSchema, nameSchema, requestKindsSchema } from './policy-schema.js';

const MAX_PATTERN_LENGTH = 200;
const MAX_LIST_ITEMS = 1000;
const MAX_STRING_LENGTH = 4096;

const description = z.string().max(1000).optional();
const pattern = z
  .string()
  .max(MAX_PATTERN_LENGTH)
  .refine(isRegularExpression, { error: 'expected a regular expression' });
const stringBounds = {
  enum: z.array(z.string()).min(1).optional(),
  pattern: pattern.optional(),
};
const numberBounds = {
  default: z.number().optional(),
  minimum: z.number().optional(),
  maximum: z.number().optional(),
  enum: z.array(z.number()).min(1).optional(),
  description,
};

/** The declaration of one parameter. */
export const parameterSchema = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('integer'), ...numberBounds }),
  z.strictObject({ type: z.literal('number'), ...numberBounds }),
  z.strictObject({ type: z.literal('boolean'), default: z.boolean().optional(), description }),
  z.strictObject({
    type: z.literal('string'),
    default: z.string().optional(),
    ...stringBounds,
    description,
  }),
  z.strictObject({
    type: z.literal('duration'),
    default: durationSchema.optional(),
    minimum: durationSchema.optional(),
    maximum: durationSchema.optional(),
    description,
  }),
  z.strictObject({
    type: z.literal('list'),
    default: z.array(z.string()).optional(),
    minItems: z.int().min(0).optional(),
    maxItems: z.int().min(0).max(MAX_LIST_ITEMS).optional(),
    ...stringBounds,
    description,
  }),
  z.strictObject({
    type: z.literal('databases'),
    default: databasesSchema.optional(),
    /** Database groups that a tenant may name; absent: any. */
    groups: z.array(nameSchema).min(1).optional(),
    maxItems: z.int().min(1).optional(),
    description,
  }),
  z.strictObject({
    type: z.literal('requestKinds'),
    default: requestKindsSchema.optional(),
    maximumStalenessMs: durationSchema.optional(),
    maximumDeadlineMs: durationSchema.optional(),
    maximumWeight: z.number().positive().optional(),
    description,
  }),
]);

/** A parameter of a template. */
export type ParameterDeclaration = z.output<typeof parameterSchema>;

/** Cache of built schemas: hundreds of tenants are checked against the same parameters. */
const valueSchemas = new WeakMap<ParameterDeclaration, z.ZodType>();

/** Schema of a parameter's values: checks type and bounds. */
export function valueSchemaOf(parameter: ParameterDeclaration): z.ZodType {
  const schema = valueSchemas.get(parameter) ?? buildValueSchema(parameter);
  valueSchemas.set(parameter, schema);
  return schema;
}

function buildValueSchema(parameter: ParameterDeclaration): z.ZodType {
  switch (parameter.type) {
    case 'integer':
      return addNumberBounds(z.int(), parameter);
    case 'number':
      return addNumberBounds(z.number(), parameter);
    case 'boolean':
      return z.boolean();
    case 'string':
      return buildStringSchema(parameter);
    case 'duration':
      return durationSchema.pipe(addNumberBounds(z.number(), parameter));
    case 'list':
      return z
        .array(buildStringSchema(parameter))
        .min(parameter.minItems ?? 0)
        .max(parameter.maxItems ?? MAX_LIST_ITEMS);
    case 'databases':
      return buildDatabasesSchema(parameter);
    case 'requestKinds':
      return buildRequestKindsSchema(parameter);
  }
}

/** Checks the defaults against the parameters' own bounds. */
export function checkDefaults(
  parameters: Readonly<Record<string, ParameterDeclaration>>,
  locate: (path: FieldPath) => SourceLocation,
): DocumentProblem[] {
  return Object.entries(parameters).flatMap(([name, parameter]) => {
    if (parameter.default === undefined) return [];
    const parsed = valueSchemaOf(parameter).safeParse(parameter.default);
    if (parsed.success) return [];
    const issues = parsed.error.issues.map((issue) => ({
      ...issue,
      path: ['parameters', name, 'default', ...issue.path],
    }));
    return toDocumentProblems(issues, locate);
  });
}

interface NumberBounds {
  readonly minimum?: number | undefined;
  readonly maximum?: number | undefined;
  readonly enum?: readonly number[] | undefined;
}

function addNumberBounds(schema: z.ZodNumber, bounds: NumberBounds): z.ZodType<number, number> {
  const withMinimum = bounds.minimum === undefined ? schema : schema.min(bounds.minimum);
  const bounded = bounds.maximum === undefined ? withMinimum : withMinimum.max(bounds.maximum);
  const choices = bounds.enum;
  if (choices === undefined) return bounded;
  return bounded.refine((value) => choices.includes(value), {
    error: `expected one of ${choices.join(', ')}`,
  });
}

interface StringBounds {
  readonly enum?: readonly string[] | undefined;
  readonly pattern?: string | undefined;
}

function buildStringSchema(bounds: StringBounds): z.ZodType<string, string> {
  const unrestricted = z.string().max(MAX_STRING_LENGTH);
  const expression = bounds.pattern === undefined ? undefined : new RegExp(bounds.pattern, 'u');
  const matching =
    expression === undefined
      ? unrestricted
      : unrestricted.regex(expression, { error: `expected text that matches ${bounds.pattern}` });
  const choices = bounds.enum;
  if (choices === undefined) return matching;
  return matching.refine((value) => choices.includes(value), {
    error: `expected one of ${choices.join(', ')}`,
  });
}

function buildDatabasesSchema(bounds: {
  readonly groups?: readonly string[] | undefined;
  readonly maxItems?: number | undefined;
}): z.ZodType {
  return databasesSchema.superRefine((databases, context) => {
    if (bounds.maxItems !== undefined && databases.length > bounds.maxItems) {
      context.addIssue({
        code: 'custom',
        message: `expected at most ${bounds.maxItems} databases`,
      });
    }
    databases.forEach((database, index) => {
      if (bounds.groups === undefined || bounds.groups.includes(database.group)) return;
      const message = `expected one of the groups ${bounds.groups.join(', ')}`;
      context.addIssue({ code: 'custom', message, path: [index, 'group'] });
    });
  });
}

function buildRequestKindsSchema(bounds: {
  readonly maximumStalenessMs?: number | undefined;
  readonly maximumDeadlineMs?: number | undefined;
  readonly maximumWeight?: number | undefined;
}): z.ZodType {
  return requestKindsSchema.superRefine((kinds, context) => {
    for (const [kind, policy] of Object.entries(kinds)) {
      const checks = [
        ['stalenessBoundMs', policy.stalenessBoundMs, bounds.maximumStalenessMs],
        ['deadlineMs', policy.deadlineMs, bounds.maximumDeadlineMs],
        ['weight', policy.weight, bounds.maximumWeight],
      ] as const;
      for (const [field, value, maximum] of checks) {
        if (maximum === undefined || value <= maximum) continue;
        context.addIssue({
          code: 'custom',
          message: `expected number to be <=${maximum}`,
          path: [kind, field],
        });
      }
    }
  });
}

function isRegularExpression(text: string): boolean {
  try {
    new RegExp(text, 'u');
    return true;
  } catch {
    return false;
  }
}
