/** Which requests and beliefs are logged, and with which fields. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { BeliefLog } from '../../../src/direct/belief-log.js';
import type { PrimaryView } from '../../../src/direct/promotion/contract.js';
import { type RequestEnd, RequestLogger } from '../../../src/direct/request-log.js';
import { RequestTrace } from '../../../src/direct/request-trace.js';
import { createLogger } from '../../../src/observability/logger.js';

const TARGET_MS = 100;
/** Belongs to the sample, since it ends with zeros. */
const SAMPLED = '5c0e7a21d9000000';
const OTHER = '5c0e7a21d9000001';

function situation() {
  let time = 0;
  const lines: Record<string, unknown>[] = [];
  const write = (line: string): void => void lines.push(JSON.parse(line));
  const logger = createLogger({ format: 'json', level: 'info', write });
  const now = (): number => time;
  const log = new RequestLogger(logger, now);
  const end = (id: string, tookMs: number, code?: RequestEnd['code']): void => {
    const trace = new RequestTrace(time, now);
    trace.record({ step: 'sent', instance: 'i-1', through: 'own' });
    time += tookMs;
    const place = { database: 'd', service: 's', routeType: 'primary' } as const;
    const route = { ...place, targetLatencyMs: TARGET_MS };
    log.requestEnded({ id, ...route, code, text: '', trace });
  };
  const advance = (ms: number): void => {
    time += ms;
  };
  return { lines, logger, now, end, advance };
}

test('successful requests are logged for a sample of ids, in one line', () => {
  const { lines, end } = situation();
  end(SAMPLED, 5);
  end(OTHER, 5);
  assert.equal(
    lines.map(({ event, request, outcome }) => `${event} ${request} ${outcome}`),
    [`request ended ${SAMPLED} done`],
  );
});

test('failed and late requests are logged with each decision', () => {
  const { lines, end } = situation();
  end(OTHER, 5, 'in-doubt');
  end(OTHER, TARGET_MS + 1);
  assert.equal(
    lines.map(({ event, step, outcome }) => `${event} ${step ?? outcome}`),
    [
      ...['request decided sent', 'request ended in-doubt'],
      ...['request decided sent', 'request ended late'],
    ],
  );
});

test('a flood of failures is logged in part, and the omitted lines are counted', () => {
  const { lines, end, advance } = situation();
  for (let number = 0; number < 100; number += 1) end(OTHER, 0, 'busy');
  const loggedCount = lines.filter(({ event }) => event === 'request ended').length;
  assert.ok(loggedCount > 0 && loggedCount < 50);
  advance(1000);
  end(OTHER, 0, 'busy');
  assert.is(lines.at(-1)?.alikeLeftOut, 100 - loggedCount);
});

test('a request with very many decisions keeps the first of them and counts the omitted ones', () => {
  const trace = new RequestTrace(0, () => 0);
  for (let number = 0; number < 100; number += 1)
    trace.record({ step: 'budget-spent', attempts: 1 });
  assert.is(trace.steps.length + trace.omittedSteps, 100);
  assert.ok(trace.omittedSteps > 0);
});

test('a request that finds no instance repeatedly records this once for each reason', () => {
  const trace = new RequestTrace(0, () => 0);
  const changingStates = [true, true, true, false, false];
  for (const isChanging of changingStates) {
    trace.record({ step: 'no-instance', primary: undefined, isTrusted: false, isChanging });
  }
  assert.is(trace.steps.length, 2);
});

test('each change of a belief is logged once, with the former belief and its duration', () => {
  const { lines, logger, now, advance } = situation();
  let primary = 'i-1';
  const view = {
    ...{ watchesPrimaries: false, ownerRoster: () => undefined, isChanging: () => false },
    ...{ primaryOf: () => ({ id: primary }), mayTrustPrimary: () => true },
  } as unknown as PrimaryView;
  const beliefs = new BeliefLog({ logger, view, isStoreHealthy: () => true, now });
  const service = { name: 's', samples: { newestAt: () => now() } };
  const refresh = (): void => beliefs.refresh([service], new Set([service]));
  refresh();
  const first = lines.length;
  refresh();
  assert.is(lines.length, first);
  advance(300);
  primary = 'i-2';
  refresh();
  assert.is(lines.length, first + 1);
  const { belief, now: held, before, beforeForMs } = lines.at(-1) ?? {};
  assert.equal([belief, held, before, beforeForMs], ['primary', 'i-2', 'i-1', 300]);
});

test.run();
