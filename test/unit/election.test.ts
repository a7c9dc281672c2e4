/** Votes for the allocator of a tenant's limit, and the time for which they confirm that no other was elected. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { Candidacy, type Vote, Voter } from '../../src/core/limits/election.js';
import { DEFAULT_TENANT_LEASE_OPTIONS } from '../../src/core/limits/lease-options.js';
import { TenantAllocator } from '../../src/core/limits/tenant-allocator.js';
import { VoterSets } from '../../src/core/limits/voter-sets.js';
import { loadHash64 } from '../../src/core/ownership/hash.js';

const VOTE_MS = 1000;
const RETENTION_MS = 50_000;
const AUTHORITY_MS = 900;
const LIST_LAG_MS = 5000;
const SETS = [['a', 'b', 'c']];

function voterStartedAt(startedAt: number): Voter {
  return new Voter({ incarnationId: 'v#1', startedAt, voteMs: VOTE_MS, retentionMs: RETENTION_MS });
}

function voteFor(sequence: string, quietMs: number, voterSets = SETS): Vote {
  return { granted: true, sequence, quietMs, voterSets };
}

test('a voter votes for one candidate until its vote has expired', () => {
  const voter = voterStartedAt(0);
  const first = voter.vote('t', 'one', SETS, 10_000);
  assert.ok(first.granted);
  assert.not(voter.vote('t', 'two', SETS, 10_000 + VOTE_MS - 1).granted);
  assert.ok(voter.vote('other tenant', 'two', SETS, 10_000).granted);
  const second = voter.vote('t', 'two', SETS, 10_000 + VOTE_MS);
  assert.is(second.quietMs, VOTE_MS, 'since the vote for the other was given');
  assert.is.not(second.sequence, first.sequence);
});

test('a restarted voter confirms no longer time than it has been running', () => {
  const vote = voterStartedAt(9000).vote('t', 'one', SETS, 10_000);
  assert.is(vote.quietMs, 1000);
});

test('a majority elects, with the time that a majority confirms', () => {
  const candidacy = new Candidacy(AUTHORITY_MS);
  candidacy.startRound(SETS, 0, 100);
  assert.is(candidacy.receiveVote('a', 100, voteFor('a1', 50), 110).type, 'pending');
  const elected = candidacy.receiveVote('b', 100, voteFor('b1', 7000), 110);
  assert.equal(elected, { type: 'elected', sentAt: 100, quietMs: 50, isRenewal: false });
  const late = candidacy.receiveVote('c', 99, voteFor('c1', 7000), 110);
  assert.is(late.type, 'pending', 'a vote of an earlier round');
});

test('a majority is also needed of the voters that another voter knows', () => {
  const candidacy = new Candidacy(AUTHORITY_MS);
  candidacy.startRound([['a']], 0, 100);
  const known = [['a'], ['x', 'y', 'z']];
  assert.is(candidacy.receiveVote('a', 100, voteFor('a1', 50, known), 110).type, 'pending');
  assert.equal(candidacy.startRound([['a']], 0, 200), ['a', 'x', 'y', 'z']);
});

test('a tenure is not renewed if earlier voters may have elected others', () => {
  const candidacy = new Candidacy(AUTHORITY_MS);
  candidacy.startRound([['a']], 0, 100);
  candidacy.receiveVote('a', 100, voteFor('a1', 50, [['a']]), 110);
  candidacy.startRound([['a']], 0, 200);
  const next = candidacy.receiveVote('a', 200, voteFor('a1', 150, [['a']]), 210);
  assert.ok(next.type === 'elected' && next.isRenewal);
  const completeSince = 200 + AUTHORITY_MS + 1;
  candidacy.startRound([['a']], completeSince, 9000);
  const later = candidacy.receiveVote('a', 9000, voteFor('a1', 8000, [['a']]), 9010);
  assert.ok(later.type === 'elected' && !later.isRenewal);
});

test('after a change of the machine list the voters of both lists count, and later only the new ones', async () => {
  const sets = new VoterSets(await loadHash64(), {
    maxMachineListLagMs: LIST_LAG_MS,
    retentionMs: RETENTION_MS,
  });
  const nodes = ['a', 'b', 'c', 'd'].map((nodeId) => ({ nodeId, zone: nodeId }));
  sets.setNodes(nodes, 1000);
  const before = sets.votersOf('t', 1000);
  assert.is(before.voterSets[0]?.length, 3);
  assert.is(before.completeSince, 1000, 'what was before the first list is unknown');
  const [gone = ''] = before.voterSets[0] ?? [];
  const rest = nodes.filter(({ nodeId }) => nodeId !== gone);
  sets.setNodes(rest, 20_000);
  assert.is(sets.votersOf('t', 20_000 + LIST_LAG_MS - 1).voterSets.length, 2);
  const after = sets.votersOf('t', 20_000 + LIST_LAG_MS);
  assert.equal(after.voterSets, [rest.map(({ nodeId }) => nodeId)]);
  assert.is(after.completeSince, 20_000 + LIST_LAG_MS);
});

test('the time that voters confirm counts no further back than the elections that they cover', () => {
  const now = 1_000_000;
  const reasonWith = (completeSince: number): string | undefined => {
    const lease = { ...DEFAULT_TENANT_LEASE_OPTIONS, maxReportingNodes: 0 };
    const allocator = new TenantAllocator('t', 'n#1', 10, lease, now);
    allocator.tick({ voterSets: [['a']], completeSince, knownNodes: [] }, now);
    allocator.receiveVote('a', now, voteFor('a1', now, [['a']]), now);
    const counts = { wanted: 1, needed: 1, holding: 0, inUse: 0 };
    const answer = allocator.answer({ holder: 'h', number: 1, term: undefined, ...counts }, now);
    return answer.type === 'refused' ? answer.reason : undefined;
  };
  assert.is(reasonWith(now - 100), 'waiting', 'another may still grant');
  assert.is(
    reasonWith(0),
    'term-unknown',
    'it may grant to every holder that requests with its term',
  );
});

test.run();
