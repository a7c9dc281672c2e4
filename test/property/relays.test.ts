import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  type ConfigurationMember,
  PUSH_FAN_OUT,
  RELAYS_PER_ZONE,
  selectPushTargets,
  selectRelayCandidates,
} from '../../src/core/configuration/relays.js';

const SETTINGS = { seed: 20_261_202, numRuns: 60 };

function membersOf(count: number): ConfigurationMember[] {
  return Array.from({ length: count }, (_, index) => ({
    nodeId: `n${index}`,
    host: '127.0.0.1',
    port: index + 1,
    zone: index % 3 === 0 ? 'x' : 'y',
  }));
}

test('a push reaches every node of the zone exactly once, with a bounded fan-out', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 300 }), fc.nat(), (count, pick) => {
      const members = membersOf(count);
      const inZone = members.filter(({ zone }) => zone === 'x');
      const root = inZone[pick % inZone.length]?.nodeId ?? '';
      const reached = [root];
      for (const nodeId of reached) {
        const targets = selectPushTargets(root, nodeId, 'x', members);
        assert.ok(targets.length <= PUSH_FAN_OUT);
        reached.push(...targets.map((target) => target.nodeId));
      }
      assert.is(new Set(reached).size, reached.length, 'none twice');
      assert.is(reached.length, inZone.length);
    }),
    SETTINGS,
  );
});

test('relay candidates do not depend on the order of members, and a lost member changes no other', () => {
  fc.assert(
    fc.property(fc.integer({ min: 6, max: 200 }), fc.nat(), (count, pick) => {
      const members = membersOf(count);
      const candidates = selectRelayCandidates('y', members);
      assert.equal(selectRelayCandidates('y', [...members].reverse()), candidates);
      assert.is(candidates.length, Math.min(RELAYS_PER_ZONE, candidates.length));
      const gone = members[pick % count];
      const rest = members.filter((member) => member !== gone);
      const kept = candidates.filter((candidate) => candidate !== gone);
      assert.equal(selectRelayCandidates('y', rest).slice(0, kept.length), kept);
    }),
    SETTINGS,
  );
});

test.run();
