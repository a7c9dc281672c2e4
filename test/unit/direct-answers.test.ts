/** The checks of responses and stops around planned work, on records that violate one promise each. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { RunRecord } from '../../standins/direct/run-log.js';
import {
  type Conditions,
  checkPlannedStops,
  checkServedRoutes,
  checkUnansweredRequests,
  type GatewaySpan,
  type PlannedStop,
} from '../support/direct-answers.js';
import type { ClientStatement } from '../support/direct-history.js';

const SENT_AT = 20_000;
const GATEWAY = 'frontend-1';
const CALM: Conditions = { disruptions: [], pauses: [] };

function unanswered(afterMs: number, wasTaken = true): ClientStatement {
  return {
    ...{ session: 1, attempt: 1, id: 's1', text: 'READ k', kind: 'read', inTransaction: false },
    ...{ values: {}, service: 'orders', routeType: 'primary', maxStalenessMs: 0, rows: [] },
    ...{ gateway: GATEWAY, sentAt: SENT_AT, lost: { at: SENT_AT + afterMs, wasTaken } },
  };
}

const RUN: RunRecord = {
  ...{ run: 1, service: 'orders', instance: 'i-1', connection: 1, id: 's1', text: 'READ k' },
  account: 'meadowstack',
  ...{ kind: 'read', transaction: 0, values: {}, startedAt: SENT_AT + 5, rows: [] },
  ...{ position: { term: 1, number: 0 }, signature: 'sign' },
};

function span(from: number, until: number, gateway: string | undefined = GATEWAY): GatewaySpan {
  return { kind: 'made up', gateway, from: SENT_AT + from, until: SENT_AT + until };
}

function rulesOf(statement: ClientStatement, runs: RunRecord[], conditions = CALM): string[] {
  return checkUnansweredRequests([statement], runs, conditions).violations.map(({ rule }) => rule);
}

test('a request that ran must be answered, however soon its connection ends', () => {
  assert.equal(rulesOf(unanswered(10), [RUN]), ['LOST']);
  assert.equal(rulesOf(unanswered(10), []), []);
});

test('a request that was read must be answered if its connection ends after a long wait', () => {
  assert.equal(rulesOf(unanswered(201), []), ['LOST']);
  assert.equal(rulesOf(unanswered(200), []), []);
  assert.equal(rulesOf(unanswered(5000, false), []), [], 'the request was never read');
  const { lost: _, ...answered } = unanswered(0);
  assert.equal(rulesOf({ ...answered, answeredAt: SENT_AT + 900 }, [RUN]), []);
});

test('an unplanned fault excuses missing responses of its own gateway, if it occurs shortly before the request or during it', () => {
  const during = (one: GatewaySpan) =>
    rulesOf(unanswered(300), [RUN], { ...CALM, disruptions: [one] });
  assert.equal(during(span(100, 200)), []);
  assert.equal(during(span(-5000, -3999)), []);
  assert.equal(during(span(-5000, -4001)), ['LOST']);
  assert.equal(during(span(301, 400)), ['LOST']);
  assert.equal(during(span(100, 200, 'frontend-2')), ['LOST']);
  assert.equal(during({ ...span(100, 200), gateway: undefined }), []);
});

test('a pause excuses the late end of a request that never ran, which is reported separately', () => {
  const paused = (one: GatewaySpan, runs: RunRecord[] = []) =>
    checkUnansweredRequests([unanswered(300)], runs, { ...CALM, pauses: [one] });
  assert.is(paused(span(-50, 100)).late.length, 1);
  assert.equal(paused(span(-50, 100)).violations, []);
  assert.is(paused(span(-50, -1)).violations.length, 1, 'ended before the request');
  assert.is(paused(span(0, 100), [RUN]).violations.length, 1, 'the request ran');
});

function stop(endedMs: number | undefined, how: number | string = 0): PlannedStop {
  const ended = endedMs === undefined ? undefined : { at: SENT_AT + endedMs, how };
  return { gateway: GATEWAY, at: SENT_AT, ended };
}

function stopRules(one: PlannedStop, conditions = CALM): string[] {
  return checkPlannedStops([one], conditions).map(({ rule }) => rule);
}

test('a stop ends the process within the grace period, with exit code 0', () => {
  assert.equal(stopRules(stop(5900)), []);
  assert.equal(stopRules(stop(6001)), ['STOP']);
  assert.equal(stopRules(stop(undefined)), ['STOP']);
  assert.equal(stopRules(stop(3000, 1)), ['STOP']);
  assert.equal(stopRules(stop(3000, 'SIGTERM')), ['STOP']);
});

test('pauses extend the allowed time of a stop by their own length; unplanned faults excuse any delay', () => {
  assert.equal(stopRules(stop(6300), { ...CALM, pauses: [span(0, 300)] }), []);
  assert.equal(stopRules(stop(6301), { ...CALM, pauses: [span(-100, 300)] }), ['STOP']);
  assert.equal(stopRules(stop(9000), { ...CALM, disruptions: [span(10, 20)] }), []);
});

test('an acknowledged configuration is in force at each gateway', () => {
  const probe = { gateway: GATEWAY, database: 'archive' };
  const rules = (isExpected: boolean, code?: string) =>
    checkServedRoutes([{ ...probe, isExpected, code }]).map(({ rule }) => rule);
  assert.equal(rules(true), []);
  assert.equal(rules(true, 'BUSY'), ['LOST'], 'it may have no configuration at all');
  assert.equal(rules(false, 'BUSY'), ['LOST']);
  assert.equal(rules(true, 'NODATABASE'), ['LOST']);
  assert.equal(rules(false, 'NODATABASE'), []);
  assert.equal(rules(false), ['LOST']);
});

test.run();
