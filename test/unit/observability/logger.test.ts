import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createLogger, errorFields } from '../../../src/observability/logger.js';
import { createMetrics, syncCounter } from '../../../src/observability/metrics.js';
import { createRequestIds } from '../../../src/observability/request-id.js';

const now = (): Date => new Date(0);

test('JSON lines contain bound fields, and lines below the level are dropped', () => {
  const lines: string[] = [];
  const write = (line: string): number => lines.push(line);
  const logger = createLogger({
    format: 'json',
    level: 'info',
    fields: { node: 'n1' },
    write,
    now,
  });
  const child = logger.child({ group: 'orders' });
  child.info('primary changed', { to: 'orders-2', from: undefined, lsn: 7n });
  child.debug('not shown', () => {
    throw new Error('the fields must not be computed');
  });
  assert.equal(
    lines.map((line) => JSON.parse(line)),
    [
      {
        node: 'n1',
        group: 'orders',
        to: 'orders-2',
        lsn: '7',
        time: '1970-01-01T00:00:00.000Z',
        level: 'info',
        event: 'primary changed',
      },
    ],
  );
});

test('a text record stays on one line, whatever is logged', () => {
  const lines: string[] = [];
  const write = (line: string): number => lines.push(line);
  const logger = createLogger({ format: 'text', level: 'warn', write, now });
  logger.warn('link\nlost', { reason: 'a "b"\nc', peer: 'n2' });
  assert.equal(lines, [
    '1970-01-01T00:00:00.000Z WARN  link\\nlost reason="a \\"b\\"\\nc" peer=n2',
  ]);
});

test('an error is described by its name and message', () => {
  assert.equal(errorFields(new TypeError('no')), {
    error: 'TypeError',
    code: undefined,
    reason: 'no',
  });
});

test('request ids differ between requests and between incarnations of a node', () => {
  const first = createRequestIds('n1', 1_000);
  const second = createRequestIds('n1', 2_000);
  assert.is(new Set([first(), first(), second(), second()]).size, 4);
});

test('a counter follows a total that is kept elsewhere', async () => {
  const metrics = createMetrics('n1', false);
  const sync = syncCounter(metrics.peerBytes, { direction: 'sent' });
  for (const total of [5, 5, 12]) sync(total);
  const text = await metrics.registry.metrics();
  assert.match(text, 'meadowstack_peer_bytes_total{direction="sent",node="n1"} 12');
});

test.run();
