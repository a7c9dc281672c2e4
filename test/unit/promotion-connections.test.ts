/** A node that may not connect to an instance takes part in a primary change without calling the instance. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PromotionRequest, RequestAnswer } from '../../src/core/promotion/contract.js';
import { PromotionStateMachine } from '../../src/core/promotion/machine.js';
import { DEFAULT_PROMOTION_TIMINGS } from '../../src/core/promotion/options.js';
import {
  LEADER_KEY,
  type LeaderRecord,
  type PrimaryRecord,
  primaryKeyOf,
} from '../../src/core/promotion/records.js';
import type { InstanceEntry } from '../../src/direct/contract.js';
import { handleEvents } from '../support/promotion-feed.js';

const SERVICE = 'orders';
const REVISION = 10;
const OLD: InstanceEntry = {
  ...{ id: 'i-1', service: SERVICE, host: '10.0.0.1', port: 1, zone: 'a', slots: 3 },
  ...{ draining: false, role: 'primary' },
};
const LEADER: LeaderRecord = { node: 'other', incarnation: 'x', leaseId: '9' };
const CHANGE: PrimaryRecord = {
  ...{ phase: 'changing', change: 1, from: OLD.id, term: 1, planned: false },
};

function entry(key: string, value: LeaderRecord | PrimaryRecord) {
  return { key, value: JSON.stringify(value), createRevision: REVISION, modRevision: REVISION };
}

/** A store in which another node is leader and has started to replace the primary. */
function answerTo(request: PromotionRequest): RequestAnswer | undefined {
  switch (request.type) {
    case 'grant-lease':
      return { type: 'lease', leaseId: '1' };
    case 'transaction':
      return {
        type: 'transaction',
        transaction: { succeeded: true, revision: REVISION, current: [] },
      };
    case 'range': {
      const entries = [entry(LEADER_KEY, LEADER), entry(primaryKeyOf(SERVICE), CHANGE)];
      return { type: 'range', range: { entries, revision: REVISION } };
    }
    default:
      return undefined;
  }
}

/** Requests of a node until it has acknowledged the primary change. */
function requestsOf(mayConnect: boolean): PromotionRequest[] {
  const machine = new PromotionStateMachine({
    ...{ nodeName: 'node', incarnation: 'i', timings: DEFAULT_PROMOTION_TIMINGS },
    ...{ random: () => 0.5, mayConnect: () => mayConnect },
  });
  const services = [{ name: SERVICE, maxConnections: 34, syncReplicas: 1 }];
  const events = [
    { type: 'instances-changed', entries: [OLD] },
    { type: 'services-changed', services },
    { type: 'start' },
  ] as const;
  return handleEvents(machine, events, 0, answerTo);
}

test('a node that connects to the old primary demotes it before it acknowledges the change', () => {
  const controls = requestsOf(true).filter(({ type }) => type === 'control');
  assert.equal(
    controls.map((request) => request.type === 'control' && request.action),
    ['demote'],
  );
});

test('a node without connections acknowledges the change at once', () => {
  const requests = requestsOf(false);
  assert.not(requests.some(({ type }) => type === 'control'));
  // The registration and the acknowledgement.
  assert.is(requests.filter(({ type }) => type === 'transaction').length, 2);
});

test.run();
