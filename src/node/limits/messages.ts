/** The calls by which nodes share tenants' limits, checked where they are received. */
import { z } from 'zod';
import { MeadowstackError } from '../../core/errors.js';
import type { Vote } from '../../core/limits/election.js';
import type { ShareRequest, ShareResponse } from '../../core/ownership/budget-lease.js';

/** Asks a voter for its vote. */
export const VOTE_METHOD = 'limits.vote';
/** Asks an allocator for a share. */
export const SHARE_METHOD = 'limits.share';
/** Asks a holder what it holds. */
export const REPORT_METHOD = 'limits.report';

/** Longest list in one call: tenants of one pair of nodes. */
const MAX_ENTRIES = 10_000;
const MAX_VOTER_SETS = 32;
const MAX_VOTERS = 16;

const name = z.string().min(1).max(200);
const count = z.int().min(0);

const shareRequest: z.ZodType<ShareRequest> = z.object({
  holder: name,
  number: count,
  wanted: count,
  needed: count,
  holding: count,
  inUse: count,
  term: z.union([name, z.undefined()]),
});

const shareAnswer: z.ZodType<ShareResponse> = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('granted'),
    number: count,
    connections: count,
    mayGrowSoon: z.boolean(),
  }),
  z.object({
    type: z.literal('refused'),
    number: count,
    reason: z.enum(['no-authority', 'term-unknown', 'waiting', 'stale']),
    term: z.union([name, z.undefined()]),
  }),
]);

const vote: z.ZodType<Vote> = z.object({
  granted: z.boolean(),
  sequence: name,
  quietMs: z.number().min(0),
  voterSets: z.array(z.array(name).max(MAX_VOTERS)).max(MAX_VOTER_SETS),
});

/** Asks a voter for its votes in several tenants' elections. */
export const voteRequestSchema = z.object({
  elections: z.array(z.object({ tenant: name, candidate: name })).max(MAX_ENTRIES),
});
/** In the order of the request. */
export const voteAnswerSchema = z.object({ votes: z.array(vote).max(MAX_ENTRIES) });

/** Asks an allocator for shares of several tenants' limits. */
export const shareRequestsSchema = z.object({
  requests: z.array(z.object({ tenant: name, request: shareRequest })).max(MAX_ENTRIES),
});
/** In the order of the request. */
export const shareAnswersSchema = z.object({ answers: z.array(shareAnswer).max(MAX_ENTRIES) });

/** A new allocator asks what a node holds. */
export const reportRequestSchema = z.object({ tenant: name, term: name });
/** What a holder tells of its share. */
export const reportAnswerSchema = z.object({ report: shareRequest });

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
