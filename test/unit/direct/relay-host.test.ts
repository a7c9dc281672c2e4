/** The time between the publication of an owner roster and the node's links to the owners being ready. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lineWire } from '../../../platform/line-wire.js';
import { RelayHost } from '../../../src/direct/relay/relay-host.js';
import { until } from '../../support/until.js';

const COUNTERS = {
  ...{ leasesAsked: 0, leasesRefused: 0, leasesLost: 0, leasesGiven: 0 },
  ...{ readsAsked: 0, readsRun: 0, positionsTold: 0 },
};

test('owners are reported as pending from the publication of the roster until the links to them are ready', async () => {
  const host = new RelayHost({
    ...{ nodeName: 'n-1', listen: undefined, wire: lineWire, find: () => undefined },
    ...{ counters: { ...COUNTERS }, now: () => 0 },
  });
  const pendingStates: boolean[] = [];
  host.onChange = () => pendingStates.push(host.isPending);
  assert.not(host.isPending);
  const nodes = [{ nodeId: 'n-2', zone: 'a', host: '127.0.0.1', port: 1 }];
  host.update({ ownersPerInstance: 2, nodes });
  assert.equal([host.isPending, pendingStates], [true, [true]]);
  await until('the relay', () => host.roster !== undefined);
  assert.equal([host.isPending, pendingStates], [false, [true, false]]);
  host.close();
});

test('a node that connects to instances itself prepares its links, and borrows once owners are in use', async () => {
  const host = new RelayHost({
    ...{ nodeName: 'n-1', listen: undefined, wire: lineWire, find: () => undefined },
    ...{ counters: { ...COUNTERS }, now: () => 0 },
  });
  const nodes = [{ nodeId: 'n-2', zone: 'a', host: '127.0.0.1', port: 1 }];
  const roster = { ownersPerInstance: 2, nodes };
  let changes = 0;
  host.onChange = () => {
    changes += 1;
  };
  host.update(roster, false);
  assert.not(host.isPending);
  await until('the relay', () => changes > 0);
  assert.is(host.roster, undefined);
  host.update(roster, true);
  assert.equal([host.isPending, host.roster], [false, roster]);
  host.update(roster, false);
  assert.is(host.roster, undefined);
  host.close();
});

test('a fleet without owners has none pending', () => {
  const host = new RelayHost({
    ...{ nodeName: 'n-1', listen: undefined, wire: lineWire, find: () => undefined },
    ...{ counters: { ...COUNTERS }, now: () => 0 },
  });
  host.update(undefined);
  assert.not(host.isPending);
});

test.run();
