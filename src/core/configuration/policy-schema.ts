/**
 * The fields of a template's policy. Built twice from one description: for a template, where each
 * field may be a reference `{ parameter: name }`, and for a tenant, where all values are filled in.
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
/** Short enough that forgotten transactions give scarce connections back while callers wait. */
export const DEFAULT_IDLE_TRANSACTION_TIMEOUT_MS = 30_000;
const MIN_IDLE_TRANSACTION_TIMEOUT_MS = 10;
const MAX_IDLE_TRANSACTION_TIMEOUT_MS = 3_600_000;

/** The kind of requests without a marker. */
export const DEFAULT_REQUEST_KIND = 'default';

/** Names of declarations, groups, parameters and request kinds. */
export const nameSchema = z.string().regex(/^[A-Za-z][A-Za-z0-9_-]{0,62}$/, {
  error: 'expected a name: a letter, then letters, digits, dash, underscore, at most 63 characters',
});

/** PostgreSQL names: any text that fits its 63 bytes. */
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

/** True for `{ parameter: name }` and nothing beside it. */
export function isParameterReference(value: unknown): value is ParameterReference {
  if (typeof value !== 'object' || value === null) return false;
  return 'parameter' in value && typeof value.parameter === 'string' && keyCount(value) === 1;
}

/** How one request kind is served, as declared; `weight` and the others have defaults. */
export const requestKindSchema = requestKindShape((schema) => schema);
/** A policy's request kinds by name. */
export const requestKindsSchema = z.record(nameSchema, requestKindSchema).refine(withinKinds, {
  error: `expected at most ${MAX_REQUEST_KINDS} request kinds`,
});

/** A database name and the group behind it, as declared. */
export const databaseSchema = databaseShape((schema) => schema);
/** A policy's databases. */
export const databasesSchema = z.array(databaseSchema).min(1).max(MAX_DATABASES);

/** The policy of one tenant after its parameters were filled in. */
export const resolvedPolicySchema = policyShape((schema) => schema);

/** The policy of a template, with references in any place. */
export const templatePolicySchema = policyShape(orReference);

/** A policy with its parameters filled in. */
export type ResolvedPolicy = z.output<typeof resolvedPolicySchema>;
/** A request kind as it is published. */
export type RequestKindDeclaration = z.output<typeof requestKindSchema>;
/** A database as it is published. */
export type DatabaseDeclaration = z.output<typeof databaseSchema>;

type Wrap = <Schema extends z.ZodType>(schema: Schema) => Schema;

function policyShape(wrap: Wrap) {
  const count = (maximum: number) => wrap(z.int().min(0).max(maximum));
  return z.strictObject({
    databaseRole: wrap(postgresNameSchema),
    databases: wrap(
      z
        .array(wrap(databaseShape(wrap)))
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
      z.record(nameSchema, wrap(requestKindShape(wrap))).refine(withinKinds, {
        error: `expected at most ${MAX_REQUEST_KINDS} request kinds`,
      }),
    ),
  });
}

function databaseShape(wrap: Wrap) {
  return z.strictObject({
    database: wrap(postgresNameSchema),
    group: wrap(nameSchema),
    /** Absent: the same as `database`. */
    backendDatabase: wrap(postgresNameSchema).optional(),
  });
}

function requestKindShape(wrap: Wrap) {
  return z.strictObject({
    stalenessBoundMs: wrap(durationSchema).prefault(0),
    repeatable: wrap(z.boolean()).prefault(false),
    weight: wrap(z.number().positive().max(MAX_WEIGHT)).prefault(1),
    deadlineMs: wrap(durationSchema).prefault(DEFAULT_DEADLINE_MS),
  });
}

/** Accepts a reference in place of a value; keeps the messages of the value's own schema. */
export function orReference<Schema extends z.ZodType>(schema: Schema): Schema {
  const accepting = z.unknown().transform((value, context) => {
    if (isParameterReference(value)) return value;
    const parsed = schema.safeParse(value);
    if (parsed.success) return parsed.data;
    for (const issue of parsed.error.issues) {
      context.issues.push({ ...issue, input: value } as z.core.$ZodRawIssue);
    }
    return z.NEVER;
  });
  // The reference is replaced by a value of this schema before anything reads the policy.
  return accepting as unknown as Schema;
}

function withinKinds(kinds: object): boolean {
  return keyCount(kinds) <= MAX_REQUEST_KINDS;
}

function keyCount(value: object): number {
  return Object.keys(value).length;
}
