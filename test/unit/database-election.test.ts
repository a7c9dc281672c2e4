/** Election and wire framing of the database stand-in, without sockets or clocks. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CommitLog } from '../../standins/database/replication/commit-log.js';
import { Election } from '../../standins/database/replication/election.js';
import {
  encodeFrame,
  FrameReader,
  type Heartbeat,
  type PeerMessage,
} from '../../standins/database/replication/messages.js';
import { FrontendReader } from '../../standins/database/wire/frontend.js';

const ELECTION_TIMEOUT_MS = 100;

interface Voter {
  readonly election: Election;
  position: { timeline: number; lsn: number };
  primary: boolean;
  electedTimeline: number;
}

/** Three voters whose messages arrive at once, except for those in `down`. */
function createVoters(lsns: readonly number[], down: ReadonlySet<string>): Map<string, Voter> {
  const voters = new Map<string, Voter>();
  const queue: (() => void)[] = [];
  let delivering = false;
  const deliver = (to: string, message: PeerMessage): void => {
    if (down.has(to) || down.has(message.from)) return;
    queue.push(() => receive(voters.get(to), message));
    if (delivering) return;
    delivering = true;
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) next();
    delivering = false;
  };
  const names = ['a', 'b', 'c'];
  names.forEach((name, index) => {
    const election = new Election({
      name,
      electionTimeoutMs: ELECTION_TIMEOUT_MS,
      random: () => index / names.length,
      send: deliver,
      broadcast: (message) => {
        for (const other of names) if (other !== name) deliver(other, message);
      },
      groupSize: () => names.length,
      position: () => voter.position,
      isPrimary: () => voter.primary,
      onElected: (timeline) => {
        voter.primary = true;
        voter.electedTimeline = timeline;
      },
    });
    const position = { timeline: 1, lsn: lsns[index] ?? 0 };
    const voter: Voter = { election, position, primary: false, electedTimeline: 0 };
    voters.set(name, voter);
  });
  return voters;
}

function receive(voter: Voter | undefined, message: PeerMessage): void {
  if (message.kind === 'vote-request') voter?.election.onVoteRequest(message, nowMs);
  if (message.kind === 'vote') voter?.election.onVote(message);
}

let nowMs = 0;

function tickUntilElected(voters: ReadonlyMap<string, Voter>, names: readonly string[]): string[] {
  for (const name of names) {
    const voter = voters.get(name);
    voter?.election.recordHeartbeat('a', 1, 0);
  }
  for (nowMs = 0; nowMs < 20 * ELECTION_TIMEOUT_MS; nowMs += 10) {
    for (const name of names) voters.get(name)?.election.tick(nowMs);
    const elected = names.filter((name) => voters.get(name)?.primary);
    if (elected.length > 0) return elected;
  }
  return [];
}

test('a majority elects the instance with the longest log', () => {
  const voters = createVoters([30, 10, 20], new Set(['a']));
  assert.equal(tickUntilElected(voters, ['b', 'c']), ['c']);
  assert.ok((voters.get('c')?.electedTimeline ?? 0) >= 2);
  assert.is(voters.get('b')?.election.promisedTimeline, voters.get('c')?.electedTimeline);
});

test('a candidate that missed earlier rounds requests votes for a later timeline', () => {
  const voters = createVoters([10, 20, 10], new Set(['a']));
  const behind = voters.get('c');
  if (behind !== undefined) behind.election.promisedTimeline = 6;
  assert.equal(tickUntilElected(voters, ['b', 'c']), ['b']);
  assert.is(voters.get('b')?.electedTimeline, 7);
});

test('without a majority nobody is elected', () => {
  const voters = createVoters([10, 10, 10], new Set(['a', 'b']));
  assert.equal(tickUntilElected(voters, ['c']), []);
  assert.is(voters.get('c')?.election.promisedTimeline, 1);
});

test('voters that receive heartbeats of a primary refuse a candidate', () => {
  const voters = createVoters([10, 10, 10], new Set());
  nowMs = 1_000;
  for (const name of ['a', 'b']) voters.get(name)?.election.recordHeartbeat('a', 1, nowMs);
  voters.get('c')?.election.recordHeartbeat('a', 1, 0);
  voters.get('c')?.election.tick(nowMs);
  assert.is(voters.get('c')?.primary, false);
});

/** Voter `a` is primary of timeline 1; all voters received its heartbeat at the given time. */
function createVotersWithPrimary(
  lsns: readonly number[],
  atMs: number,
): Record<'a' | 'b' | 'c', Voter> {
  const [a, b, c] = createVoters(lsns, new Set()).values();
  assert.ok(a && b && c);
  nowMs = atMs;
  a.primary = true;
  a.election.recordFollower(nowMs);
  for (const { election } of [b, c]) election.recordHeartbeat('a', 1, nowMs);
  return { a, b, c };
}

test('a primary that one replica refuses starts a new election although the other replica follows it', () => {
  const { a, b, c } = createVotersWithPrimary([20, 20, 10], 1_000);
  // It lost a round: it has promised timeline 2 to itself, and lacks records that the others have.
  c.election.promisedTimeline = 2;
  a.election.recordRefusal(2, nowMs);
  assert.is(a.electedTimeline, 0, 'the candidate that got the vote may be elected in a moment');
  nowMs += ELECTION_TIMEOUT_MS / 2;
  a.election.recordFollower(nowMs);
  b.election.recordHeartbeat('a', 1, nowMs);
  a.election.recordRefusal(2, nowMs);
  assert.is(a.electedTimeline, 3);
  assert.is(b.election.promisedTimeline, 3);
  assert.is(c.election.promisedTimeline, 3);
});

test('a refused primary keeps its votes while replicas still follow its timeline', () => {
  const { a, b, c } = createVotersWithPrimary([20, 20, 20], 1_000);
  a.election.recordRefusal(2, nowMs);
  nowMs += ELECTION_TIMEOUT_MS / 2;
  // No replica votes at once; the vote of one comes later.
  for (const { election } of [b, c]) election.promisedTimeline = 9;
  a.election.recordRefusal(2, nowMs);
  assert.is(a.electedTimeline, 0);
  a.election.recordFollower(nowMs);
  nowMs += ELECTION_TIMEOUT_MS / 2;
  a.election.recordRefusal(2, nowMs);
  a.election.onVote({
    kind: 'vote',
    from: 'b',
    timeline: 3,
    preliminary: false,
    granted: true,
    promisedTimeline: 3,
  });
  assert.is(a.electedTimeline, 3);
});

test('a handover waits for the commits in flight and refuses no primary until then', () => {
  const { a, b, c } = createVotersWithPrimary([20, 20, 10], 1_000);
  c.election.startHandover(nowMs);
  assert.equal(
    [a, b, c].map(({ election }) => election.promisedTimeline),
    [0, 1, 1],
  );
  c.position = { timeline: 1, lsn: 20 };
  c.election.recordHeartbeat('a', 1, nowMs);
  nowMs += ELECTION_TIMEOUT_MS;
  c.election.tick(nowMs);
  assert.is(c.electedTimeline, 2);
  assert.equal(
    [a, b, c].map(({ election }) => election.promisedTimeline),
    [2, 2, 2],
  );
});

test('a handover ends once a heartbeat of another primary arrives', () => {
  const { b, c } = createVotersWithPrimary([20, 20, 10], 1_000);
  c.election.startHandover(nowMs);
  c.election.recordHeartbeat('b', 2, nowMs);
  c.position = { timeline: 2, lsn: 20 };
  nowMs += ELECTION_TIMEOUT_MS / 2;
  b.election.recordFollower(nowMs);
  c.election.recordHeartbeat('b', 2, nowMs);
  c.election.tick(nowMs);
  assert.is(c.electedTimeline, 0);
});

test('a log contains exactly its own prefixes', () => {
  const log = new CommitLog();
  log.startTimeline(1);
  const first = log.write([], 0);
  log.startTimeline(2);
  const second = log.write([], 0);
  assert.is(log.contains(1, first.lsn), true);
  assert.is(log.contains(1, second.lsn), false);
  assert.is(log.contains(2, second.lsn), true);
  assert.is(log.contains(2, second.lsn + 1), false);
  assert.is(log.contains(3, first.lsn), false);
  assert.equal(log.commitsAfter(first.lsn), [second]);
  assert.is(log.commitsAfter(first.lsn + 1), undefined);
});

test('frames are parsed however the bytes are split', () => {
  const messages: Heartbeat[] = [1, 2, 3].map((lsn) => {
    return { kind: 'heartbeat', from: 'a', timeline: 1, lsn };
  });
  const bytes = Buffer.concat(messages.map(encodeFrame));
  for (const size of [1, 3, 7, bytes.length]) {
    const reader = new FrameReader();
    const read: PeerMessage[] = [];
    for (let offset = 0; offset < bytes.length; offset += size) {
      read.push(...reader.push(bytes.subarray(offset, offset + size)));
    }
    assert.equal(read, messages);
  }
});

test('frontend messages are parsed however the bytes are split', () => {
  const bytes = Buffer.from('Q\0\0\0\x06a\0S\0\0\0\x04', 'latin1');
  for (const size of [1, 2, 5, bytes.length]) {
    const reader = new FrontendReader();
    const read: string[] = [];
    for (let offset = 0; offset < bytes.length; offset += size) {
      reader.push(bytes.subarray(offset, offset + size));
      for (let next = reader.next(); next !== undefined; next = reader.next()) {
        read.push(`${next.type}:${next.body.toString('latin1')}`);
      }
    }
    assert.equal(read, ['Q:a\0', 'S:']);
  }
});

test.run();
