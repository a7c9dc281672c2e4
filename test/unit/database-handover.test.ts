/**
 * Guards against a commit that a handover loses: a primary that granted its vote committed on the old timeline until the
 * candidate's first heartbeat. A replica that the vote request had not reached received the commit, so a majority held
 * it, and the elected candidate rolled it back on both.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { Member } from '../../standins/database/replication/member.js';
import type { PeerMessage } from '../../standins/database/replication/messages.js';
import { Catalog } from '../../standins/database/storage/catalog.js';

const NAMES = ['a', 'b', 'c'] as const;
type Name = (typeof NAMES)[number];

/** Far above the duration of the test, so that only the handover starts an election. */
const ELECTION_TIMEOUT_MS = 60_000;

interface Transfer {
  readonly to: Name;
  readonly message: PeerMessage;
}

/** Members whose messages are delivered one by one; those that `isHeld` returns true for wait. */
class SteppedGroup {
  readonly members = new Map<Name, Member>();
  readonly terminated: Name[] = [];
  isHeld: (transfer: Transfer) => boolean = () => false;
  private transfers: Transfer[] = [];

  constructor() {
    for (const [index, name] of NAMES.entries()) this.members.set(name, this.create(name, index));
  }

  member(name: Name): Member {
    const found = this.members.get(name);
    if (found === undefined) throw new RangeError(`no member ${name}`);
    return found;
  }

  /** Delivers messages, and those that they cause, until all that remain are held. */
  deliver(): void {
    for (;;) {
      const index = this.transfers.findIndex((transfer) => !this.isHeld(transfer));
      const [next] = index < 0 ? [] : this.transfers.splice(index, 1);
      if (next === undefined) return;
      this.member(next.to).receive(next.message);
    }
  }

  stop(): void {
    for (const member of this.members.values()) member.stop();
  }

  private create(name: Name, index: number): Member {
    const send = (to: string, message: PeerMessage): void => {
      this.transfers.push({ to: to as Name, message });
    };
    return new Member({
      name,
      hasInitialPrimary: true,
      electionTimeoutMs: ELECTION_TIMEOUT_MS,
      heartbeatMs: ELECTION_TIMEOUT_MS,
      random: () => index / NAMES.length,
      catalog: new Catalog(),
      send,
      broadcast: (message) => {
        for (const other of NAMES) if (other !== name) send(other, message);
      },
      groupSize: () => NAMES.length,
      replayLagMs: () => 0,
      isReceiveStalled: () => false,
      terminateSessions: () => this.terminated.push(name),
    });
  }
}

const groups: SteppedGroup[] = [];
test.after.each(() => {
  for (const group of groups.splice(0)) group.stop();
});

/** `a` is primary, `b` and `c` follow it. */
function startGroup(): SteppedGroup {
  const group = new SteppedGroup();
  groups.push(group);
  for (const name of NAMES) group.member(name).start(name === 'a');
  group.deliver();
  assert.is(group.member('c').primaryName, 'a');
  assert.is(group.member('c').log.lsn, group.member('a').log.lsn);
  group.terminated.length = 0;
  return group;
}

test('a primary that granted its vote commits nothing more on its timeline', () => {
  const group = startGroup();
  const [a, b, c] = NAMES.map((name) => group.member(name));
  assert.ok(a && b && c);
  // The candidate does not reach c, and its first heartbeat does not reach the old primary yet.
  group.isHeld = ({ to, message }) => {
    return message.from === 'b' && (to === 'c' || message.kind === 'heartbeat');
  };
  b.promote();
  group.deliver();
  assert.is(b.role, 'primary');
  assert.is(a.promisedTimeline, 2);
  if (a.role === 'primary') a.commit([], []);
  group.deliver();
  const holders = [a, c].filter(({ log }) => log.timeline === 1 && log.lsn > b.log.lsn);
  assert.equal(holders.length, 0, 'a majority holds a commit that the elected primary lacks');
  assert.equal(group.terminated, ['a']);
  group.isHeld = () => false;
  group.deliver();
  assert.equal(
    [a, b, c].map(({ role, log }) => [role, log.timeline]),
    [
      ['replica', 2],
      ['primary', 2],
      ['replica', 2],
    ],
  );
});

test('a primary stays primary when it refuses a candidate that lacks a commit', () => {
  const group = startGroup();
  const [a, b] = [group.member('a'), group.member('b')];
  group.isHeld = ({ to, message }) => to === 'b' && message.kind === 'append';
  a.commit([], []);
  b.promote();
  group.deliver();
  assert.is(a.role, 'primary');
  assert.is(b.role, 'replica');
  assert.equal(group.terminated, []);
});

test('a primary that stands for a later timeline keeps its own commits when elected', () => {
  const group = startGroup();
  const [a, b, c] = NAMES.map((name) => group.member(name));
  assert.ok(a && b && c);
  // c granted a candidacy that failed, and refuses the primary since.
  c.receive({
    kind: 'vote-request',
    from: 'b',
    timeline: 2,
    preliminary: false,
    handover: true,
    logTimeline: 1,
    logLsn: a.log.lsn,
  });
  group.isHeld = ({ message }) => message.kind === 'vote';
  const refusal = { kind: 'stale-primary', from: 'c', timeline: 2, primaryTimeline: 1 } as const;
  const startedMs = performance.now();
  a.receive(refusal);
  const { now } = performance;
  performance.now = () => startedMs + ELECTION_TIMEOUT_MS;
  try {
    a.receive(refusal);
  } finally {
    performance.now = now;
  }
  assert.is(a.promisedTimeline, 3);
  const commit = a.commit([], []);
  group.isHeld = () => false;
  group.deliver();
  assert.equal([a.role, a.log.timeline], ['primary', 3]);
  assert.ok(a.log.contains(1, commit.lsn));
});

test.run();
