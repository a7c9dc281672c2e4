/** Calls by which nodes divide tenants' limits among them, with the schemas that validate them. */
import { z } from 'zod';
import { MeadowstackError } from '../../core/errors.js';
import type { Vote } from '../../core/limits/election.js';
import type { ShareRequest, ShareResponse } from '../../core/ownership/budget-lease.js';

/** Requests a voter's votes. */
export const VOTE_METHOD = 'limits.vote';
/** Requests shares from an allocator. */
export const SHARE_METHOD = 'limits.share';
/** Requests a report of the share that a node holds. */
export const REPORT_METHOD = 'limits.report';

/** Maximum length of a list in one call; its entries are tenants that concern the two nodes. */
const MAX_ENTRIES = 10_000;
const MAX_VOTER_SETS = 32;
const MAX_VOTERS = 16;

const nameSchema = z.string().min(1).max(200);
const countSchema = z.int().min(0);

const shareRequestSchema: z.ZodType<ShareRequest> = z.object({
  holder: nameSchema,
  number: countSchema,
  wanted: countSchema,
  needed: countSchema,
  holding: countSchema,
  inUse: countSchema,
  term: z.union([nameSchema, z.undefined()]),
});

const shareResponseSchema: z.ZodType<ShareResponse> = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('granted'),
    number: countSchema,
    connections: countSchema,
    mayGrowSoon: z.boolean(),
  }),
  z.object({
    type: z.literal('refused'),
    number: countSchema,
    reason: z.enum(['no-authority', 'term-unknown', 'waiting', 'stale']),
    term: z.union([nameSchema, z.undefined()]),
  }),
]);

const voteSchema: z.ZodType<Vote> = z.object({
  granted: z.boolean(),
  sequence: nameSchema,
  quietMs: z.number().min(0),
  voterSets: z.array(z.array(nameSchema).max(MAX_VOTERS)).max(MAX_VOTER_SETS),
});

/** Requests a voter's votes in several tenants' elections. */
export const voteRequestSchema = z.object({
  elections: z.array(z.object({ tenant: nameSchema, candidate: nameSchema })).max(MAX_ENTRIES),
});
/** The votes, in the order of the request. */
export const voteResponseSchema = z.object({ votes: z.array(voteSchema).max(MAX_ENTRIES) });

/** Requests shares of several tenants' limits from an allocator. */
export const shareRequestsSchema = z.object({
  requests: z.array(z.object({ tenant: nameSchema, request: shareRequestSchema })).max(MAX_ENTRIES),
});
/** The responses, in the order of the request. */
export const shareResponsesSchema = z.object({
  answers: z.array(shareResponseSchema).max(MAX_ENTRIES),
});

/** Sent by a new allocator to learn what a node holds; `term` is the allocator's. */
export const reportRequestSchema = z.object({ tenant: nameSchema, term: nameSchema });
/** A holder's report of its share. */
export const reportResponseSchema = z.object({ report: shareRequestSchema });

/** A call about limits was malformed. */
export class LimitsCallError extends MeadowstackError {
  readonly code = 'MS-LIMITS-CALL';
}

/** @throws LimitsCallError */
export function parseCall<Value>(schema: z.ZodType<Value>, body: unknown): Value {
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  throw new LimitsCallError(z.prettifyError(parsed.error));
}
