/** A proof by the members' positions holds only while no later primary has committed anything. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PrimaryEvidence, provesPrimary } from '../../src/core/statements/primary-evidence.js';
import { StallDetector } from '../../src/core/statements/stall.js';

const SEED = 20261202;
const RUNS = 500;
const THRESHOLD_MS = 400;

const position = fc.record({
  timeline: fc.integer({ min: 1, max: 4 }),
  lsn: fc.bigInt({ min: 0n, max: 50n }),
});

test('a member that is silent or has a later log leaves nothing proven', () => {
  const members = fc.array(fc.option(position, { nil: undefined }), { minLength: 1, maxLength: 4 });
  fc.assert(
    fc.property(position, members, (own, others) => {
      const answers = [
        { instanceId: 'primary', position: own },
        ...others.map((other, index) => ({ instanceId: `other-${index}`, position: other })),
      ];
      const isDeposed = others.some(
        (other) => other !== undefined && other.timeline > own.timeline,
      );
      const isSilent = others.some((other) => other === undefined);
      assert.is(provesPrimary('primary', answers), !isDeposed && !isSilent);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test('a primary that is not among the answers is not proven', () => {
  assert.not(provesPrimary('primary', [{ instanceId: 'other', position: undefined }]));
  assert.not(provesPrimary('primary', []));
});

test('a round covers reads that began before it was sent, at that primary only', () => {
  const evidence = new PrimaryEvidence();
  const answers = [
    { instanceId: 'a', position: { timeline: 2, lsn: 9n } },
    { instanceId: 'b', position: { timeline: 2, lsn: 8n } },
  ];
  assert.ok(evidence.noteRound('a', 100, answers));
  assert.ok(evidence.covers('a', 100));
  assert.not(evidence.covers('a', 101));
  assert.not(evidence.covers('b', 50));
  assert.ok(evidence.noteRound('b', 120, answers));
  assert.not(evidence.covers('a', 100));
});

test('an instance is stalled only while questions are open and none was answered for long', () => {
  const detector = new StallDetector(THRESHOLD_MS);
  assert.not(detector.isStalled(10_000));
  detector.begin(1000);
  detector.begin(1100);
  assert.not(detector.isStalled(1399));
  assert.ok(detector.isStalled(1400));
  detector.answered(1450);
  assert.not(detector.isStalled(1500));
  assert.ok(detector.isStalled(1850));
  detector.givenUp();
  assert.not(detector.isStalled(5000));
});

test.run();
