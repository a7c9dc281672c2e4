import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { EMPTY_HISTORY, type History } from '../../../bench/history/model.js';
import { listUnobservedPromises } from '../../../bench/run/unobserved.js';

test('a run observes a promise only if it lasted long enough for the check', () => {
  const sample = { proxy: 'a', revision: 1, at: 0 };
  const history: History = {
    ...EMPTY_HISTORY,
    leavings: [{ instance: 'db', visibleAt: 0, endedAt: undefined }],
    acceptedConfigurations: [{ revision: 1, acceptedAt: 0 }],
    configurationSamples: [sample],
    endedAt: 2_000,
  };
  assert.equal(listUnobservedPromises(history), [
    'leavingBackEndGetsNoWork',
    'plannedStopCutsNothing',
    'configurationInForce',
  ]);
  const plannedStops = [{ proxy: 'a', requestedAt: 0, exitedAt: 1, exitCode: 0 }];
  assert.equal(listUnobservedPromises({ ...history, plannedStops, endedAt: 7_000 }), []);
});

test.run();
