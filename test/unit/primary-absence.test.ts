import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  ABSENCE_THRESHOLD_MS,
  PrimaryAbsence,
  REPLICA_QUERY_PERIOD_MS,
} from '../../src/core/statements/primary-absence.js';

test('replicas are queried once a primary has been absent for a while, and then periodically', () => {
  const absence = new PrimaryAbsence();
  assert.not(absence.shouldQueryReplicas(0, true));
  assert.not(absence.shouldQueryReplicas(ABSENCE_THRESHOLD_MS - 1, true));
  assert.ok(absence.shouldQueryReplicas(ABSENCE_THRESHOLD_MS, true));
  assert.not(absence.shouldQueryReplicas(ABSENCE_THRESHOLD_MS + 1, true));
  assert.ok(absence.shouldQueryReplicas(ABSENCE_THRESHOLD_MS + REPLICA_QUERY_PERIOD_MS, true));
});

test('the time starts again when a primary is back', () => {
  const absence = new PrimaryAbsence();
  absence.shouldQueryReplicas(0, true);
  absence.shouldQueryReplicas(ABSENCE_THRESHOLD_MS / 2, false);
  assert.not(absence.shouldQueryReplicas(ABSENCE_THRESHOLD_MS, true));
  assert.ok(absence.shouldQueryReplicas(2 * ABSENCE_THRESHOLD_MS, true));
});

test.run();
