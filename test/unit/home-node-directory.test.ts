/**
 * Records of session positions on home nodes, over a transport whose failures the test controls.
 */
import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { MeadowstackError } from '../../src/core/errors.js';
import { type HomeNode, HomeNodeDirectory } from '../../src/node/gateway/home-node-directory.js';
import type { PeerAddress, PeerTransport, WireValue } from '../../src/peer/contract.js';
import { PeerUnreachableError } from '../../src/peer/errors.js';

const ENTRY = { group: 'group', position: { timeline: 1, lsn: 7n } };
const REMAINING_MS = 1_500;

function node(index: number, port: number): HomeNode {
  return { nodeId: `proxy-${index}`, address: { host: '127.0.0.1', port } };
}

interface Fixture {
  readonly directory: HomeNodeDirectory;
  /** Ports called so far. */
  readonly called: number[];
  nodes: readonly HomeNode[];
  readonly clock: { nowMs: number };
}

/** A directory on `proxy-1`; a call to a port succeeds if `answers` returns true for it. */
function createFixture(answers: (port: number, fixture: Fixture) => boolean): Fixture {
  const clock = { nowMs: 0 };
  const call = (peer: PeerAddress): ResultAsync<WireValue, MeadowstackError> => {
    fixture.called.push(peer.port);
    if (answers(peer.port, fixture)) return okAsync({ recorded: true });
    return errAsync(new PeerUnreachableError(`port ${peer.port}`, 'as told'));
  };
  const transport = { call } as unknown as PeerTransport;
  const directory = new HomeNodeDirectory({
    nodeId: 'proxy-1',
    transport,
    rank: (_key, nodeIds) => nodeIds,
    nodes: () => fixture.nodes,
    now: () => clock.nowMs,
  });
  const nodes = [node(1, 1), node(2, 2), node(3, 3)];
  const fixture: Fixture = { directory, called: [], nodes, clock };
  return fixture;
}

function record({ directory }: Fixture): Promise<boolean> {
  return directory.record('tenant', 'session', ENTRY, REMAINING_MS);
}

test('a record that a home node missed is sent to it again', async () => {
  const fixture = createFixture((port, { called }) => {
    return port === 2 && called.filter((one) => one === 2).length > 1;
  });
  assert.is(await record(fixture), true);
});

test('a record is sent to the new address of a home node that was restarted elsewhere', async () => {
  const fixture = createFixture((port) => {
    fixture.nodes = [node(1, 1), node(2, 22), node(3, 3)];
    return port === 22;
  });
  assert.is(await record(fixture), true);
});

test('without a second home node the record fails at its deadline', async () => {
  const fixture = createFixture(() => {
    fixture.clock.nowMs += 400;
    return false;
  });
  assert.is(await record(fixture), false);
  assert.ok(fixture.called.length > 2, 'each was called more than once');
});

test('once enough home nodes have recorded, nothing more is sent to the others', async () => {
  const fixture = createFixture((port) => port === 2);
  assert.is(await record(fixture), true);
  // The second record needs a retry: by its end, a retry of the first would have been sent too.
  const later = createFixture((port, { called }) => port === 2 && called.length > 4);
  assert.is(await record(later), true);
  assert.equal(fixture.called, [2, 3]);
});

test.run();
