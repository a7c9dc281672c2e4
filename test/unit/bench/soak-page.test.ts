/** Plots and page of a soak, from the responses to clients. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { renderSoakPage, selectRoundsToPlot } from '../../../bench/soak/page.js';
import type { RoundResult } from '../../../bench/soak/round.js';
import { createPlots, type PlottedStatement } from '../../../bench/soak/series.js';

const START = 50_000;
const FAULTS_FROM = START + 1000;
const FAULT = { atMs: 500, forMs: 2000, fault: { kind: 'primary-dark' } } as const;

function statement(at: number, tookMs: number, error?: string): PlottedStatement {
  const answer = { answeredAt: START + at + tookMs, ...(error === undefined ? {} : { error }) };
  return { id: `s${at}`, kind: 'read', routeType: 'primary', sentAt: START + at, ...answer };
}

const STATEMENTS = [statement(0, 10), statement(100, 20), statement(600, 30, 'BUSY')];
const RUNS = [{ startedAt: START + 1 }, { startedAt: START + 101 }, { startedAt: START + 102 }];

const PLOTS = createPlots({
  ...{ faults: [FAULT], faultsFrom: FAULTS_FROM, endedAt: START + 4200 },
  ...{ statements: STATEMENTS, runs: RUNS },
});

function round(seed: number, failed: number, findings: RoundResult['findings'] = []): RoundResult {
  return {
    ...{
      findings,
      late: [],
      statements: 100,
      failed: { BUSY: failed },
      tookMs: 9000,
      plots: PLOTS,
    },
    ...{ schedule: { seed, hasOwners: false, faults: [FAULT] }, logs: new Map() },
  };
}

test('a round is plotted from its first statement on, with its faults at their times', () => {
  assert.is(PLOTS.seconds, 5);
  assert.equal(PLOTS.faults, [{ name: 'primary-dark', from: 1.5, to: 3.5 }]);
  assert.equal(PLOTS.service, [
    { second: 0, kind: 'primary', served: 1 },
    { second: 0.5, kind: 'primary', served: 0 },
  ]);
  assert.equal(
    PLOTS.latency.map(({ percentile, latencyMs }) => [percentile, latencyMs]),
    [
      ['p50', 10],
      ['p99', 20],
    ],
  );
});

test('the load plot shows what clients sent and what instances ran', () => {
  assert.equal(PLOTS.load, [
    { second: 0, measure: 'sent by clients', value: 4 },
    { second: 0.5, measure: 'sent by clients', value: 2 },
    { second: 0, measure: 'run', value: 6 },
  ]);
  assert.is(PLOTS.amplification, 1);
});

test('all rounds with findings come first, then the rounds that served least', () => {
  const finding = { type: 'no-recovery', detail: 'none' } as const;
  const quiet = Array.from({ length: 8 }, (_, index) => round(index, index));
  const shown = selectRoundsToPlot([...quiet, round(99, 1, [finding])]);
  assert.equal(
    shown.map(({ schedule }) => schedule.seed),
    [99, 7, 6, 5, 4, 3],
  );
});

test('the page names each round and draws its plots', async () => {
  const html = await renderSoakPage([round(7, 3), round(8, 5)], { cores: 8, load: [1, 2, 3] });
  assert.match(html, '<td>primary-dark</td>');
  assert.match(html, 'seed 7');
  assert.is(html.split('<svg').length - 1, 6);
});

test.run();
