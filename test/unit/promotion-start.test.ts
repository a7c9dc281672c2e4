/** A node whose writes to the store get no response at its start learns the primaries by reading alone. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type {
  PromotionEvent,
  PromotionRequest,
  RequestAnswer,
} from '../../src/core/promotion/contract.js';
import { PromotionStateMachine } from '../../src/core/promotion/machine.js';
import { DEFAULT_PROMOTION_TIMINGS } from '../../src/core/promotion/options.js';
import { type PrimaryRecord, primaryKeyOf } from '../../src/core/promotion/records.js';
import type { InstanceEntry } from '../../src/direct/contract.js';
import { handleEvents } from '../support/promotion-feed.js';

const SERVICE = 'orders';
const REVISION = 10;
const PRIMARY: InstanceEntry = {
  ...{ id: 'i-1', service: SERVICE, host: '10.0.0.1', port: 1, zone: 'a', slots: 3 },
  ...{ draining: false, role: 'primary' },
};
const SERVING: PrimaryRecord = {
  ...{ phase: 'serving', change: 1, instance: PRIMARY.id, from: 'i-0', term: 1 },
} as PrimaryRecord;

type AnsweredRequest = Extract<PromotionRequest['type'], 'grant-lease' | 'transaction' | 'range'>;

const ANSWERS: { readonly [type in AnsweredRequest]: RequestAnswer } = {
  'grant-lease': { type: 'lease', leaseId: '1' },
  transaction: {
    type: 'transaction',
    transaction: { succeeded: true, revision: REVISION, current: [] },
  },
  range: {
    type: 'range',
    range: {
      revision: REVISION,
      entries: [
        {
          ...{ key: primaryKeyOf(SERVICE), value: JSON.stringify(SERVING) },
          ...{ createRevision: REVISION, modRevision: REVISION },
        },
      ],
    },
  },
};

/** Starts a state machine and collects its requests; those of the given types get a response immediately. */
function startWith(answered: readonly AnsweredRequest[]) {
  const machine = new PromotionStateMachine({
    ...{ nodeName: 'node', incarnation: 'i', timings: DEFAULT_PROMOTION_TIMINGS },
    random: () => 0.5,
  });
  const requested: PromotionRequest['type'][] = [];
  const respondTo = ({ type }: PromotionRequest): RequestAnswer | undefined =>
    answered.some((one) => one === type) ? ANSWERS[type as AnsweredRequest] : undefined;
  const handle = (events: readonly PromotionEvent[], now: number): void => {
    requested.push(...handleEvents(machine, events, now, respondTo).map(({ type }) => type));
  };
  const services = [{ name: SERVICE, maxConnections: 34, syncReplicas: 1 }];
  const start = [
    { type: 'instances-changed', entries: [PRIMARY] },
    { type: 'services-changed', services },
    { type: 'start' },
  ] as const;
  handle(start, 0);
  return { machine, requested, tick: (now: number) => handle([{ type: 'tick' }], now) };
}

const { unregisteredReadDelayMs } = DEFAULT_PROMOTION_TIMINGS;

for (const [name, answered] of [
  ['its lease', ['range']],
  ['its registration', ['grant-lease', 'range']],
] as const) {
  test(`a node whose store does not respond for ${name} knows the primaries, and trusts none`, () => {
    const { machine, tick } = startWith(answered);
    assert.is(machine.primaryOf(SERVICE, 0), undefined);
    tick(unregisteredReadDelayMs);
    assert.is(machine.primaryOf(SERVICE, unregisteredReadDelayMs)?.id, PRIMARY.id);
    assert.not(machine.mayTrustPrimary(SERVICE, unregisteredReadDelayMs));
  });
}

test('a node that is registered at once reads the records once', () => {
  const { machine, requested, tick } = startWith(['grant-lease', 'transaction', 'range']);
  assert.ok(machine.mayTrustPrimary(SERVICE, 0));
  tick(unregisteredReadDelayMs);
  assert.is(requested.filter((type) => type === 'range').length, 1);
});

test.run();
