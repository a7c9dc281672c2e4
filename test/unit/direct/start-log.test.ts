/** Each step of a start is logged once, when it is reached. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { RouteConsistency } from '../../../src/direct/contract.js';
import { RequestTrace } from '../../../src/direct/request-trace.js';
import { StartLog, type StartStep } from '../../../src/direct/start-log.js';
import { createLogger } from '../../../src/observability/logger.js';

function setUp() {
  const logged: string[] = [];
  const world = { now: 0, reached: [] as StartStep[] };
  const logger = createLogger({
    ...{ format: 'json', level: 'info', fields: {} },
    write: (text) => {
      const { event, step, atMs } = JSON.parse(text);
      logged.push(`${event}: ${step} ${atMs}`);
    },
  });
  const now = () => world.now;
  const log = new StartLog({ logger, now, reached: () => world.reached });
  const end = (routeType: RouteConsistency, code?: 'busy') =>
    log.requestEnded({
      ...{ id: 'r', database: 'd', service: 's', routeType, code, text: '', targetLatencyMs: 1 },
      trace: new RequestTrace(world.now, now),
    });
  return { world, logged, log, end };
}

test('a step is logged once, when it is reached', () => {
  const { world, logged, log } = setUp();
  log.refresh();
  world.now = 12.4;
  world.reached = ['configuration'];
  log.refresh();
  world.now = 50;
  world.reached = ['configuration', 'ready'];
  log.refresh();
  log.refresh();
  assert.equal(logged, ['start step: configuration 12', 'start step: ready 50']);
});

test('the first response on each type of route is logged, and refusals are not', () => {
  const { world, logged, end } = setUp();
  end('primary', 'busy');
  world.now = 80;
  end('primary');
  end('primary');
  world.now = 90;
  end('read-your-writes');
  assert.equal(logged, ['start step: served primary 80', 'start step: served read-your-writes 90']);
});

test.run();
