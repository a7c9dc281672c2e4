/**
 * Schemas of a policy. Both are built by the same functions: one for templates, where each field
 * may be a reference `{ parameter: name }`, and one for tenants, after the references were replaced
 * by values.
 */
import { z } from 'zod';
import { durationSchema } from './duration.js';

const MAX_CONNECTIONS = 1_000_000;
const MAX_QUEUED = 1_000_000;
const MAX_WEIGHT = 1000;
const MAX_REQUESTS_PER_SECOND = 10_000_000;
const MAX_DATABASES = 64;
const MAX_REQUEST_KINDS = 64;
const DEFAULT_DEADLINE_MS = 30_000;
/**
 * Short enough that abandoned transactions release scarce connections while callers wait for one.
 */
export const DEFAULT_IDLE_TRANSACTION_TIMEOUT_MS = 30_000;
const MIN_IDLE_TRANSACTION_TIMEOUT_MS = 10;
const MAX_IDLE_TRANSACTION_TIMEOUT_MS = 3_600_000;

/** Kind of the requests that name no kind. */
export const DEFAULT_REQUEST_KIND = 'default';

/** Names of declarations, groups, parameters and request kinds. */
export const nameSchema = z.string().regex(/^[A-Za-z][A-Za-z0-9_-]{0,62}$/, {
  error: 'expected a name: a letter, then letters, digits, dash, underscore, at most 63 characters',
});

/** Names in PostgreSQL: any text of at most 63 bytes. */
export const postgresNameSchema = z
  .string()
  .min(1)
  .refine((text) => Buffer.byteLength(text) <= 63 && !text.includes('\0'), {
    error: 'expected a PostgreSQL name of at most 63 bytes',
  });

/** A reference to a parameter in a template's policy. */
export interface ParameterReference {
  readonly parameter: string;
}

/** True for `{ parameter: name }` without further fields. */
export function isParameterReference(value: unknown): value is ParameterReference {
  if (typeof value !== 'object' || value === null) return false;
  return 'parameter' in value && typeof value.parameter === 'string' && countKeys(value) === 1;
}

/** Schema of one request kind; all fields have defaults. */
export const requestKindSchema = buildRequestKindSchema((schema) => schema);
/** Schema of a policy's request kinds, by name. */
export const requestKindsSchema = z
  .record(nameSchema, requestKindSchema)
  .refine(hasAllowedKindCount, {
    error: `expected at most ${MAX_REQUEST_KINDS} request kinds`,
  });

/** Schema of a database name and the group that serves it. */
export const databaseSchema = buildDatabaseSchema((schema) => schema);
/** Schema of a policy's databases. */
export const databasesSchema = z.array(databaseSchema).min(1).max(MAX_DATABASES);

/** Schema of a tenant's policy, with the parameters substituted. */
export const resolvedPolicySchema = buildPolicySchema((schema) => schema);

/** Schema of a template's policy, with references to parameters in any place. */
export const templatePolicySchema = buildPolicySchema(orReference);

/** A policy with the parameters substituted. */
export type ResolvedPolicy = z.output<typeof resolvedPolicySchema>;
/** A published request kind. */
export type RequestKindDeclaration = z.output<typeof requestKindSchema>;
/** A published database. */
export type DatabaseDeclaration = z.output<typeof databaseSchema>;

type SchemaWrapper = <Schema extends z.ZodType>(schema: Schema) => Schema;

function buildPolicySchema(wrap: SchemaWrapper) {
  const count = (maximum: number) => wrap(z.int().min(0).max(maximum));
  return z.strictObject({
    databaseRole: wrap(postgresNameSchema),
    databases: wrap(
      z
        .array(wrap(buildDatabaseSchema(wrap)))
        .min(1)
        .max(MAX_DATABASES),
    ),
    maxConnections: count(MAX_CONNECTIONS),
    maxInFlight: count(MAX_CONNECTIONS),
    maxQueued: count(MAX_QUEUED),
    maxBackendConnections: count(MAX_CONNECTIONS),
    idleTransactionTimeoutMs: wrap(
      durationSchema.pipe(
        z.number().min(MIN_IDLE_TRANSACTION_TIMEOUT_MS).max(MAX_IDLE_TRANSACTION_TIMEOUT_MS),
      ),
    ).prefault(DEFAULT_IDLE_TRANSACTION_TIMEOUT_MS),
    queueWeight: wrap(z.number().positive().max(MAX_WEIGHT)),
    requestsPerSecond: wrap(z.number().positive().max(MAX_REQUESTS_PER_SECOND)),
    burst: wrap(z.int().min(1).max(MAX_REQUESTS_PER_SECOND)),
    requestKinds: wrap(
      z.record(nameSchema, wrap(buildRequestKindSchema(wrap))).refine(hasAllowedKindCount, {
        error: `expected at most ${MAX_REQUEST_KINDS} request kinds`,
      }),
    ),
  });
}

function buildDatabaseSchema(wrap: SchemaWrapper) {
  return z.strictObject({
    database: wrap(postgresNameSchema),
    group: wrap(nameSchema),
    /** Absent: the same as `database`. */
    backendDatabase: wrap(postgresNameSchema).optional(),
  });
}

function buildRequestKindSchema(wrap: SchemaWrapper) {
  return z.strictObject({
    stalenessBoundMs: wrap(durationSchema).prefault(0),
    repeatable: wrap(z.boolean()).prefault(false),
    weight: wrap(z.number().positive().max(MAX_WEIGHT)).prefault(1),
    deadlineMs: wrap(durationSchema).prefault(DEFAULT_DEADLINE_MS),
  });
}

/** Accepts a reference instead of a value; keeps the messages of the value's schema. */
export function orReference<Schema extends z.ZodType>(schema: Schema): Schema {
  const valueOrReference = z.unknown().transform((value, context) => {
    if (isParameterReference(value)) return value;
    const parsed = schema.safeParse(value);
    if (parsed.success) return parsed.data;
    for (const issue of parsed.error.issues) {
      context.issues.push({ ...issue, input: value } as z.core.$ZodRawIssue);
    }
    return z.NEVER;
  });
  // The cast is safe: references are replaced by values of this schema before the policy is read.
  return valueOrReference as unknown as Schema;
}

function hasAllowedKindCount(kinds: object): boolean {
  return countKeys(kinds) <= MAX_REQUEST_KINDS;
}

function countKeys(value: object): number {
  return Object.keys(value).length;
}
