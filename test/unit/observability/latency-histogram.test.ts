/** Latency histograms in Prometheus' text format. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { LatencyHistogram } from '../../../src/observability/latency-histogram.js';

test('buckets count values up to their bound, and the last one all values', () => {
  const histogram = new LatencyHistogram({
    ...{ name: 'wait', help: 'a wait', labelNames: ['way'] },
  });
  assert.is(histogram.expose('p_'), '');
  for (const latencyMs of [0, 1, 1.5, 70, 9000]) histogram.observe(latencyMs, 'own');
  histogram.observe(3, 'owner');
  const lines = histogram.expose('p_').split('\n');
  assert.equal(lines.slice(0, 2), [
    '# HELP p_wait_seconds a wait',
    '# TYPE p_wait_seconds histogram',
  ]);
  for (const line of [
    'p_wait_seconds_bucket{way="own",le="0.001"} 2',
    'p_wait_seconds_bucket{way="own",le="0.002"} 3',
    'p_wait_seconds_bucket{way="own",le="0.05"} 3',
    'p_wait_seconds_bucket{way="own",le="0.1"} 4',
    'p_wait_seconds_bucket{way="own",le="5"} 4',
    'p_wait_seconds_bucket{way="own",le="+Inf"} 5',
    'p_wait_seconds_sum{way="own"} 9.0725',
    'p_wait_seconds_count{way="own"} 5',
    'p_wait_seconds_bucket{way="owner",le="0.005"} 1',
  ]) {
    assert.ok(lines.includes(line), line);
  }
});

test('a histogram without labels has braces only for its bounds', () => {
  const histogram = new LatencyHistogram({ name: 'n', help: 'h', labelNames: [] });
  histogram.observe(2);
  const text = histogram.expose('');
  assert.ok(text.includes('\nn_seconds_bucket{le="0.002"} 1\n'));
  assert.ok(text.endsWith('\nn_seconds_sum 0.002\nn_seconds_count 1\n'));
});

test.run();
