import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  ABSENCE_THRESHOLD_MS,
  PrimaryAbsence,
  REPLICA_QUERY_PERIOD_MS,
} from '../../src/core/statements/primary-absence.js';

test('replicas are asked once a primary has been away for a while, and then now and then', () => {
  const absence = new PrimaryAbsence();
  assert.not(absence.shouldQueryReplicas(0, true));
  assert.not(absence.shouldQueryReplicas(ABSENCE_THRESHOLD_MS - 1, true));
  assert.ok(absence.shouldQueryReplicas(ABSENCE_THRESHOLD_MS, true));
  assert.not(absence.shouldQueryReplicas(ABSENCE_THRESHOLD_MS + 1, true));
  assert.ok(absence.shouldQueryReplicas(ABSENCE_THRESHOLD_MS + REPLICA_QUERY_PERIOD_MS, true));
});

test('a primary that is back begins the time anew', () => {
  const absence = new PrimaryAbsence();
  absence.shouldQueryReplicas(0, true);
  absence.shouldQueryReplicas(ABSENCE_THRESHOLD_MS / 2, false);
  assert.not(absence.shouldQueryReplicas(ABSENCE_THRESHOLD_MS, true));
  assert.ok(absence.shouldQueryReplicas(2 * ABSENCE_THRESHOLD_MS, true));
});

test.run();
