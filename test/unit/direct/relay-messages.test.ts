/** Messages of a lease's stream: each survives encoding and decoding, and malformed ones are rejected. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Position } from '../../../src/core/position.js';
import type {
  StatementAnswer,
  StatementErrorCode,
} from '../../../src/core/statements/statement.js';
import { encodePosition, parsePosition } from '../../../src/direct/position-form.js';
import type {
  LeaseCommand,
  LeaseEvent,
  StreamRequest,
} from '../../../src/direct/relay/contract.js';
import {
  encodeLeaseEvent,
  parseLeaseCommand,
  parseLeaseEvent,
  parsePositionRequest,
  parseStreamRequest,
} from '../../../src/direct/relay/messages.js';
import { decodeValue, encodeValue } from '../../../src/peer/codec.js';

const SETTINGS = { seed: 20261202, numRuns: 300 };
const MAX_BYTES = 1_000_000;

/** Records with the ordinary prototype, like object literals. */
function plain<Model>(model: { [Key in keyof Model]: fc.Arbitrary<Model[Key]> }) {
  return fc.record<Model>(model, { noNullPrototype: true });
}

function encodeAndDecode(value: unknown): unknown {
  return decodeValue(encodeValue(value, MAX_BYTES));
}

const position: fc.Arbitrary<Position> = plain({
  timeline: fc.nat(),
  lsn: fc.bigInt({ min: 0n, max: 2n ** 64n - 1n }),
});
const pairs = fc.array(fc.tuple(fc.string(), fc.string()), { maxLength: 4 });
const names = fc.array(fc.string(), { maxLength: 4 });
const bound = fc.oneof(fc.nat(), fc.constant(Number.POSITIVE_INFINITY));
const ownerRequest = {
  ...{ service: fc.string(), instanceId: fc.string(), tenant: fc.string(), priority: fc.nat(9) },
  policy: plain({
    queueWeight: fc.oneof(fc.integer({ min: 1 }), fc.constant(Number.POSITIVE_INFINITY)),
    ...{ maxWaiting: bound, inFlightShare: bound, inFlightFloor: bound },
  }),
  ...{ values: pairs, waitMs: fc.double({ min: 0, max: 1e6, noNaN: true }) },
};
const prepared = plain({
  access: fc.constantFrom('read' as const, 'write' as const),
  ...{ shape: fc.string(), sharedName: fc.string() },
});
const requests: fc.Arbitrary<StreamRequest> = fc.oneof(
  plain({ type: fc.constant('lease' as const), ...ownerRequest }),
  plain({
    ...{ type: fc.constant('lease' as const), ...ownerRequest, aimMs: fc.integer() },
    isTransaction: fc.constant(true as const),
  }),
  plain({
    ...{ type: fc.constant('read' as const), ...ownerRequest, message: fc.string() },
    prepared: fc.option(prepared, { nil: undefined }),
  }),
);
const commands: fc.Arbitrary<LeaseCommand> = fc.oneof(
  plain({ type: fc.constant('run' as const), messages: names }),
  plain({ type: fc.constant('return' as const), values: pairs, preparedNames: names }),
);
const code = fc.constantFrom<StatementErrorCode>('busy', 'in-doubt', 'unprepared', 'too-large');
const answer: fc.Arbitrary<StatementAnswer> = plain({
  payload: fc.string(),
  error: fc.option(plain({ code, text: fc.string() }), { nil: undefined }),
  state: fc.constantFrom('idle' as const, 'open' as const, 'failed' as const),
  position: fc.option(position, { nil: undefined }),
});
const plainReason = fc.constantFrom(
  'stopping' as const,
  'unusable' as const,
  'queue-full' as const,
);
const events: fc.Arbitrary<LeaseEvent> = fc.oneof(
  fc.constantFrom<LeaseEvent>({ type: 'queued' }, { type: 'lost' }),
  plain({ type: fc.constant('granted' as const), values: pairs, preparedNames: names }),
  plain({ type: fc.constant('answers' as const), answers: fc.array(answer, { maxLength: 3 }) }),
  plain({ type: fc.constant('refused' as const), reason: plainReason }),
  plain({
    ...{ type: fc.constant('refused' as const), reason: fc.constant('unreachable' as const) },
    answer: fc.option(code, { nil: undefined }),
  }),
);

test('every message is decoded as it was sent', () => {
  fc.assert(
    fc.property(requests, commands, events, position, (request, command, event, at) => {
      assert.equal(parseStreamRequest(encodeAndDecode(request)), request);
      assert.equal(parseLeaseCommand(encodeAndDecode(command)), command);
      assert.equal(parseLeaseEvent(encodeAndDecode(encodeLeaseEvent(event))), event);
      assert.equal(parsePosition(encodeAndDecode(encodePosition(at))), at);
    }),
    SETTINGS,
  );
});

test('a request with an impossible priority or weight is rejected', () => {
  fc.assert(
    fc.property(requests, (request) => {
      const { policy } = request;
      const weightless = { ...request, policy: { ...policy, queueWeight: 0 } };
      assert.is(parseStreamRequest(encodeAndDecode(weightless)), undefined);
      assert.is(parseStreamRequest(encodeAndDecode({ ...request, priority: -1 })), undefined);
    }),
    SETTINGS,
  );
});

/** Optional fields. */
const OPTIONAL: ReadonlySet<string> = new Set([
  ...['prepared', 'error', 'position', 'answer', 'aimMs', 'isTransaction'],
]);
const WRONG = [null, 7.5, true, 'x'.repeat(3), [1], [['a']], { a: 1 }];

function* broken(message: object): Generator<unknown> {
  for (const [name, value] of Object.entries(message)) {
    const { [name]: _left, ...rest } = message as Record<string, unknown>;
    if (!OPTIONAL.has(name)) yield rest;
    for (const wrong of WRONG) {
      if (typeof wrong !== typeof value || Array.isArray(wrong) !== Array.isArray(value)) {
        yield { ...rest, [name]: wrong };
      }
    }
  }
}

test('a message that lacks a field, or has a field of another type, is rejected', () => {
  const request: StreamRequest = {
    ...{ type: 'read', service: 's', instanceId: 'i', tenant: 't', priority: 1, waitMs: 5 },
    policy: { queueWeight: 1, maxWaiting: 2, inFlightShare: 1, inFlightFloor: 1 },
    ...{ values: [['a', 'b']], message: 'm' },
    prepared: { access: 'read', shape: 'q', sharedName: 'p' },
  };
  const error = { code: 'busy', text: '' };
  const one = { payload: '', error, state: 'idle', position: { timeline: 1, lsn: '2' } };
  const event = { type: 'answers', answers: [one] };
  assert.ok(parseStreamRequest(request));
  assert.ok(parseLeaseEvent(event));
  for (const wrong of broken(request)) assert.is(parseStreamRequest(wrong), undefined);
  for (const wrong of broken(event)) assert.is(parseLeaseEvent(wrong), undefined);
  for (const wrong of broken(one)) {
    assert.is(parseLeaseEvent({ ...event, answers: [wrong] }), undefined, JSON.stringify(wrong));
  }
  for (const wrong of broken(request.policy)) {
    assert.is(parseStreamRequest({ ...request, policy: wrong }), undefined);
  }
  for (const wrong of [{}, null, 'read', [], { type: 'toString' }, { type: 'lend' }]) {
    assert.is(parseStreamRequest(wrong), undefined);
    assert.is(parseLeaseCommand(wrong), undefined);
    assert.is(parseLeaseEvent(wrong), undefined);
    assert.is(parsePositionRequest(wrong), undefined);
    assert.is(parsePosition(wrong), undefined);
  }
  assert.is(parsePosition({ timeline: 1, lsn: '-2' }), undefined);
  assert.is(parseLeaseCommand({ type: 'run', messages: Array(257).fill('') }), undefined);
});

test.run();
