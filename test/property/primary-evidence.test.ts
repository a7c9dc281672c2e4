/** The members' positions prove a primary only if no later primary has committed anything. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  type KnownPrimary,
  PrimaryEvidence,
  provesPrimary,
  showsLaterTerm,
} from '../../src/core/statements/primary-evidence.js';
import { StallDetector } from '../../src/core/statements/stall.js';

const SEED = 20261202;
const RUNS = 500;
const THRESHOLD_MS = 400;

function primary(instanceId: string, term: number): KnownPrimary {
  return { instanceId, term };
}

const position = fc.record({
  timeline: fc.integer({ min: 1, max: 4 }),
  lsn: fc.bigInt({ min: 0n, max: 50n }),
});

test('nothing is proven if a member is unresponsive or has a later log', () => {
  const members = fc.array(fc.option(position, { nil: undefined }), { minLength: 1, maxLength: 4 });
  fc.assert(
    fc.property(position, members, (own, others) => {
      const answers = [
        { instanceId: 'primary', position: own },
        ...others.map((other, index) => ({ instanceId: `other-${index}`, position: other })),
      ];
      const isReplaced = others.some(
        (other) => other !== undefined && other.timeline > own.timeline,
      );
      const isSilent = others.some((other) => other === undefined);
      const known = primary('primary', own.timeline);
      assert.is(provesPrimary(known, answers), !isReplaced && !isSilent);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test('a primary without a response is not proven', () => {
  const known = primary('primary', 1);
  assert.not(provesPrimary(known, [{ instanceId: 'other', position: undefined }]));
  assert.not(provesPrimary(known, []));
});

test('a replaced primary that follows its successor is not proven, though no log is later', () => {
  const answers = ['replaced', 'successor', 'other'].map((instanceId) => ({
    instanceId,
    position: { timeline: 2, lsn: 94n },
  }));
  assert.not(provesPrimary(primary('replaced', 1), answers));
  assert.ok(provesPrimary(primary('successor', 2), answers));
});

test('a response with a later term is evidence of a later primary, also if others are missing', () => {
  const silent = { instanceId: 'other', position: undefined };
  const later = { instanceId: 'successor', position: { timeline: 2, lsn: 1n } };
  assert.ok(showsLaterTerm(primary('replaced', 1), [silent, later]));
  assert.not(showsLaterTerm(primary('replaced', 1), [silent]));
  assert.not(showsLaterTerm(primary('successor', 2), [silent, later]));
});

test('a query round covers reads that began before it was sent, at that primary only', () => {
  const evidence = new PrimaryEvidence();
  const answers = [
    { instanceId: 'a', position: { timeline: 2, lsn: 9n } },
    { instanceId: 'b', position: { timeline: 2, lsn: 8n } },
  ];
  assert.ok(evidence.recordRound(primary('a', 2), 100, answers));
  assert.ok(evidence.covers('a', 100));
  assert.not(evidence.covers('a', 101));
  assert.not(evidence.covers('b', 50));
  assert.ok(evidence.recordRound(primary('b', 2), 120, answers));
  assert.not(evidence.covers('a', 100));
});

test('an instance is stalled only while requests are pending and none was answered for the threshold', () => {
  const detector = new StallDetector(THRESHOLD_MS, 2);
  assert.not(detector.isStalled(10_000));
  detector.recordRequest(1000);
  detector.recordRequest(1100);
  assert.not(detector.isStalled(1399));
  assert.ok(detector.isStalled(1400));
  detector.recordAnswer(1450);
  assert.not(detector.isStalled(1500));
  assert.not(detector.isStalled(1850), 'a single response may be lost');
  detector.recordRequest(1860);
  assert.ok(detector.isStalled(1860));
  detector.recordAbandoned();
  detector.recordAbandoned();
  assert.not(detector.isStalled(5000));
});

test.run();
