/** Each step of a start is logged once, when it is reached. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { RouteConsistency } from '../../../src/direct/contract.js';
import { RequestTrace } from '../../../src/direct/request-trace.js';
import { StartLog, type StartStep } from '../../../src/direct/start-log.js';
import { createLogger } from '../../../src/observability/logger.js';

function setUp() {
  const told: string[] = [];
  const world = { now: 0, reached: [] as StartStep[] };
  const logger = createLogger({
    ...{ format: 'json', level: 'info', fields: {} },
    write: (text) => {
      const { event, step, atMs } = JSON.parse(text);
      told.push(`${event}: ${step} ${atMs}`);
    },
  });
  const now = () => world.now;
  const log = new StartLog({ logger, now, reached: () => world.reached });
  const end = (routeType: RouteConsistency, code?: 'busy') =>
    log.requestEnded({
      ...{ id: 'r', database: 'd', service: 's', routeType, code, text: '', targetLatencyMs: 1 },
      trace: new RequestTrace(world.now, now),
    });
  return { world, told, log, end };
}

test('a step is told when it is reached, and once', () => {
  const { world, told, log } = setUp();
  log.refresh();
  world.now = 12.4;
  world.reached = ['configuration'];
  log.refresh();
  world.now = 50;
  world.reached = ['configuration', 'ready'];
  log.refresh();
  log.refresh();
  assert.equal(told, ['start step: configuration 12', 'start step: ready 50']);
});

test('the first answer on each kind of route is told, refusals are not', () => {
  const { world, told, end } = setUp();
  end('primary', 'busy');
  world.now = 80;
  end('primary');
  end('primary');
  world.now = 90;
  end('read-your-writes');
  assert.equal(told, ['start step: served primary 80', 'start step: served read-your-writes 90']);
});

test.run();
