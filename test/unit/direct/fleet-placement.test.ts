/** Read placement at one node: when it is active, and what it logs and counts. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FleetDigests } from '../../../src/core/fleet/fleet-digests.js';
import type { InstanceEntry } from '../../../src/direct/contract.js';
import { FleetPlacement } from '../../../src/direct/fleet-placement.js';
import type { InstanceRuntime, ServiceRuntime } from '../../../src/direct/service-runtime.js';
import type { Logger } from '../../../src/observability/logger.js';
import { seededRandom } from '../../support/random.js';

const REFRESH_PERIOD_MS = 100;

function world() {
  const state = { now: 10_000, isFleetViewAvailable: true };
  const lines: { readonly event: string; readonly instance: unknown }[] = [];
  const counters = { ejections: 0, ejectionsEnded: 0 };
  const logger = {
    info: (event: string, { instance }: { instance?: unknown }) => lines.push({ event, instance }),
  } as unknown as Logger;
  const placement = new FleetPlacement({
    digests: new FleetDigests(),
    isFleetViewAvailable: () => state.isFleetViewAvailable,
    nodeCount: () => 1,
    now: () => state.now,
    random: seededRandom(1),
    ...{ counters, logger },
  });
  const instances = ['i-0', 'i-1', 'i-2'].map(
    (id) =>
      ({
        ...{ id, sameZone: true, primary: id === 'i-0', slots: 4 },
        ...{ outstanding: 0, answerMs: 10, avoidUntil: 0 },
      }) as InstanceRuntime,
  );
  const service = {
    ...{ name: 'ledger', readable: () => instances, members: () => instances },
  } as unknown as ServiceRuntime;
  /** Refreshes the placement in each round, after reads at each instance; instance i-2 takes `slowMs`. */
  const runRounds = (rounds: number, slowMs: number): void => {
    for (let count = 0; count < rounds; count += 1) {
      for (const { id } of instances) {
        const answerMs = id === 'i-2' ? slowMs : 10;
        const entry = { id, service: 'ledger' } as InstanceEntry;
        for (let read = 0; read < 4; read += 1) {
          placement.observe(entry, { type: 'answered', answerMs });
        }
      }
      state.now += REFRESH_PERIOD_MS;
      placement.refresh([service]);
    }
  };
  return { state, placement, instances, service, lines, counters, runRounds };
}

test('a slow instance is ejected, probed after a pause and used again, and each step is logged', () => {
  const { placement, instances, lines, counters, runRounds } = world();
  runRounds(10, 80);
  assert.is(placement.ejectedCount, 1);
  assert.is(placement.rank('ledger', instances, true)?.at(-1)?.candidate.id, 'i-2');
  runRounds(60, 10);
  assert.is(placement.ejectedCount, 0);
  assert.equal(counters, { ejections: 1, ejectionsEnded: 1 });
  const events = ['instance ejected', 'instance in probation', 'instance back in use'];
  assert.equal(
    lines,
    events.map((event) => ({ event, instance: 'i-2' })),
  );
});

test('without the view of the fleet no instance is ranked, and ejections are dropped', () => {
  const { state, placement, instances, service, runRounds } = world();
  runRounds(10, 80);
  state.isFleetViewAvailable = false;
  placement.refresh([service]);
  assert.is(placement.rank('ledger', instances, true), undefined);
  assert.is(placement.ejectedCount, 0);
});

test.run();
