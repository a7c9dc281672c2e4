/** Checks what comes over a peer link before anything is done with it. */
import { z } from 'zod';
import type { Position } from '../../core/position.js';
import type { StatementAnswer, StatementErrorCode } from '../../core/statements/statement.js';
import type { WireValue } from '../../peer/contract.js';
import type { LeaseCommand, LeaseEvent, PositionRequest, StreamRequest } from './contract.js';

const MAX_MESSAGES_PER_RUN = 256;

const valueList = z.array(z.tuple([z.string(), z.string()]));
const names = z.array(z.string());
const errorCode: z.ZodType<StatementErrorCode> = z.enum([
  ...(['busy', 'aborted', 'lagging', 'read-only', 'misrouted', 'connection-limit'] as const),
  ...(['in-doubt', 'timeout', 'failed', 'unprepared', 'no-database', 'malformed'] as const),
  'too-large',
]);
/** An LSN as text: a number of 64 bits has no safe form in a double. */
const position = z
  .object({ timeline: z.number().int(), lsn: z.string().regex(/^\d+$/) })
  .transform(({ timeline, lsn }): Position => ({ timeline, lsn: BigInt(lsn) }));

/** A tenant without a bound has infinity for it. */
const bound = z.union([z.number(), z.literal(Number.POSITIVE_INFINITY)]);
const connectionPolicy = z.object({
  ...{ queueWeight: bound, maxWaiting: bound, inFlightShare: bound, inFlightFloor: bound },
});

const ownerRequest = {
  ...{ service: z.string(), instanceId: z.string(), values: valueList, waitMs: z.number() },
  ...{ tenant: z.string(), priority: z.number().int(), policy: connectionPolicy },
};
const prepared = z.object({
  ...{ access: z.enum(['read', 'write']), shape: z.string(), sharedName: z.string() },
});
const streamRequest = z.discriminatedUnion('type', [
  z.object({ type: z.literal('lease'), ...ownerRequest }),
  z.object({
    ...{ type: z.literal('read'), ...ownerRequest },
    ...{ prepared: prepared.optional(), message: z.string() },
  }),
]);

const leaseCommand = z.discriminatedUnion('type', [
  z.object({ type: z.literal('run'), messages: z.array(z.string()).max(MAX_MESSAGES_PER_RUN) }),
  z.object({ type: z.literal('return'), values: valueList, preparedNames: names }),
]);

const answer = z.object({
  payload: z.string(),
  error: z.object({ code: errorCode, text: z.string() }).optional(),
  state: z.enum(['idle', 'open', 'failed']),
  position: position.optional(),
});

const refusal = { type: z.literal('refused') } as const;
const leaseEvent = z.union([
  z.object({ type: z.literal('answers'), answers: z.array(answer) }),
  z.object({ type: z.literal('granted'), values: valueList, preparedNames: names }),
  z.object({ type: z.literal('queued') }),
  z.object({ type: z.literal('lost') }),
  z.object({
    ...refusal,
    reason: z.enum([
      ...(['stopping', 'not-owner', 'unknown-instance', 'unusable'] as const),
      ...(['no-connection', 'queue-full'] as const),
    ]),
  }),
  z.object({ ...refusal, reason: z.literal('unreachable'), answer: errorCode.optional() }),
]);

const positionRequest = z.object({ service: z.string(), instanceId: z.string() });

/** Each gives undefined for what is not in its form. */
export function parseStreamRequest(value: WireValue): StreamRequest | undefined {
  return streamRequest.safeParse(value).data as StreamRequest | undefined;
}

export function parseLeaseCommand(value: WireValue): LeaseCommand | undefined {
  return leaseCommand.safeParse(value).data;
}

export function parseLeaseEvent(value: WireValue): LeaseEvent | undefined {
  return leaseEvent.safeParse(value).data as LeaseEvent | undefined;
}

export function parsePositionRequest(value: WireValue): PositionRequest | undefined {
  return positionRequest.safeParse(value).data;
}

export function parsePosition(value: WireValue): Position | undefined {
  return position.safeParse(value).data;
}

/** The form of a position that `parsePosition` takes. */
export function encodePosition({ timeline, lsn }: Position): WireValue {
  return { timeline, lsn: lsn.toString() };
}

/** The form of an event that `parseLeaseEvent` takes. */
export function encodeLeaseEvent(event: LeaseEvent): WireValue {
  if (event.type !== 'answers') return event;
  return { type: event.type, answers: event.answers.map(encodeAnswer) };
}

function encodeAnswer({ payload, error, state, position: at }: StatementAnswer): WireValue {
  return {
    ...{ payload, state },
    ...(error === undefined ? {} : { error }),
    ...(at === undefined ? {} : { position: encodePosition(at) }),
  };
}
