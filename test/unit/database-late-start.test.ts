/**
 * Guards against two primaries of one timeline. The initial primary of a group of stand-ins starts after the others have
 * elected one of themselves. If that election uses the timeline that the initial primary takes without a vote, both
 * are primary of it, refuse each other's heartbeats and never step down, since neither sees a later timeline. The third
 * instance follows them in turn endlessly, so `npm run dev` waited for the replicas without output for 20 s. States when
 * processes were paused at random:
 * `a primary tl 1 lsn 0/1015D24 | b primary tl 1 lsn 0/1000000 | c replica tl 1 lsn 0/1000000`.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { Member } from '../../standins/database/replication/member.js';
import type { PeerMessage } from '../../standins/database/replication/messages.js';
import { Catalog } from '../../standins/database/storage/catalog.js';
import { until } from '../support/until.js';

const ELECTION_TIMEOUT_MS = 40;
const HEARTBEAT_MS = 10;
const NAMES = ['a', 'b', 'c'] as const;

const started: Member[] = [];
test.after.each(() => {
  for (const member of started.splice(0)) member.stop();
});

function startGroup(): ReadonlyMap<string, Member> {
  const members = new Map<string, Member>();
  const deliver = (to: string, message: PeerMessage): void =>
    void setImmediate(() => members.get(to)?.receive(message));
  for (const [index, name] of NAMES.entries()) {
    const others = NAMES.filter((other) => other !== name);
    const member = new Member({
      name,
      hasInitialPrimary: true,
      electionTimeoutMs: ELECTION_TIMEOUT_MS,
      heartbeatMs: HEARTBEAT_MS,
      // Each member waits for a different time.
      random: () => index / NAMES.length,
      catalog: new Catalog(),
      send: deliver,
      broadcast: (message) => {
        for (const other of others) deliver(other, message);
      },
      groupSize: () => NAMES.length,
      replayLagMs: () => 0,
      isReceiveStalled: () => false,
      terminateSessions: () => {},
    });
    members.set(name, member);
    started.push(member);
  }
  return members;
}

function primaries(members: ReadonlyMap<string, Member>): readonly string[] {
  return [...members].filter(([, { role }]) => role === 'primary').map(([name]) => name);
}

function follows(members: ReadonlyMap<string, Member>, primary: string): boolean {
  return [...members.values()].every(({ primaryName }) => primaryName === primary);
}

for (const receivesHeartbeats of [true, false]) {
  test(`a late initial primary leaves one primary (${receivesHeartbeats ? 'it has received' : 'it has not received'} heartbeats of the other)`, async () => {
    const members = startGroup();
    const late = members.get('a');
    if (late === undefined) throw new Error('no initial primary');
    const receive = late.receive.bind(late);
    if (!receivesHeartbeats) late.receive = () => {};
    for (const name of ['b', 'c']) members.get(name)?.start(false);
    await until('another primary is elected', () => primaries(members).length > 0);
    const [elected = ''] = primaries(members);
    if (receivesHeartbeats)
      await until('its heartbeat arrives', () => late.primaryName === elected);
    late.start(true);
    late.receive = receive;
    await until('all follow one primary', () => {
      const [primary = '', second] = primaries(members);
      return second === undefined && follows(members, primary);
    });
    assert.is(primaries(members).length, 1);
  });
}

test.run();
