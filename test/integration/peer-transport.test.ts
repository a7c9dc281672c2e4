/** The peer transport over real sockets on loopback. */
import { createServer, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PeerStream } from '../../src/peer/contract.js';
import {
  PeerCallFailedError,
  PeerCallTimeoutError,
  PeerError,
  PeerLinkLostError,
  type PeerStreamAbortedError,
  PeerUnreachableError,
} from '../../src/peer/errors.js';
import { encodeFrame, FrameType } from '../../src/peer/frame.js';
import { Handshake } from '../../src/peer/handshake.js';
import { TcpPeerTransport } from '../../src/peer/transport.js';
import { PartitionableLink } from '../support/partitionable-link.js';
import {
  closed,
  handlersOf,
  type ListeningTransport,
  listen,
  nextMessage,
  rawConnection,
  socketClosed,
  until,
} from '../support/peer.js';

const SECRET = Buffer.from('a secret of the cluster, 32 byte');
const CALL_TIMEOUT_MS = 20_000;

/** Echoes data and messages until the opener ends the stream. */
function echo(_header: unknown, stream: PeerStream): void {
  stream.onData = (data) => {
    if (!stream.write(data)) stream.pause();
  };
  stream.onDrain = () => stream.resume();
  stream.onMessage = (message) => stream.send(message);
}

async function pair(
  server: Parameters<typeof listen>[1],
  options: Parameters<typeof listen>[2] = {},
): Promise<[ListeningTransport, ListeningTransport]> {
  return [await listen('a', {}, options), await listen('b', server, options)];
}

async function closeAll(...nodes: ListeningTransport[]): Promise<void> {
  await Promise.all(nodes.map((node) => node.transport.close()));
}

test('data and messages arrive in order in both directions, and the stream ends without error', async () => {
  const [a, b] = await pair({ onStream: echo }, { clusterSecret: SECRET });
  const stream = a.transport.openStream(b.address, { kind: 'echo' });
  const received: string[] = [];
  stream.onData = (data) => received.push(data.toString());
  stream.write(Buffer.from('one'));
  stream.send({ number: 2 });
  const message = await nextMessage(stream);
  stream.write(Buffer.from('three'));
  stream.send('last');
  await nextMessage(stream);
  assert.equal(message, { number: 2 });
  assert.equal(received, ['one', 'three']);
  const end = closed(stream);
  stream.end();
  stream.end();
  assert.is(await end, undefined);
  await closeAll(a, b);
});

test('a stream and a call opened in the same event loop turn both work', async () => {
  const [a, b] = await pair({ onStream: echo, onCall: async (_method, body) => body });
  const stream = a.transport.openStream(b.address, 'first');
  const answer = a.transport.call(b.address, 'echo', 'second', CALL_TIMEOUT_MS);
  stream.send('third');
  assert.is(await nextMessage(stream), 'third');
  assert.is((await answer)._unsafeUnwrap(), 'second');
  assert.is(b.transport.counters().framesMalformed, 0);
  await closeAll(a, b);
});

test('ten megabytes pass through a window of 256 KB unchanged', async () => {
  const [a, b] = await pair({ onStream: echo });
  const total = 10 * 1024 * 1024;
  const block = Buffer.alloc(50_000, 7);
  const stream = a.transport.openStream(b.address, 'bulk');
  let sentBytes = 0;
  let receivedBytes = 0;
  const pump = (): void => {
    let more = true;
    while (more && sentBytes < total) {
      const piece = block.subarray(0, Math.min(block.length, total - sentBytes));
      sentBytes += piece.length;
      more = stream.write(piece);
    }
  };
  stream.onDrain = pump;
  stream.onData = (data) => {
    assert.ok(data.every((byte) => byte === 7));
    receivedBytes += data.length;
  };
  pump();
  await until(() => receivedBytes === total);
  assert.is(sentBytes, total);
  await closeAll(a, b);
});

test('a stopped reader buffers no more than its window, and does not block other streams', async () => {
  const windowBytes = 64 * 1024;
  const streams: PeerStream[] = [];
  let held = 0;
  const [a, b] = await pair(
    {
      onStream: (header, stream) => {
        if (header !== 'stopped') {
          echo(header, stream);
          return;
        }
        streams.push(stream);
        stream.onData = (data) => {
          held += data.length;
        };
        stream.pause();
      },
    },
    { limits: { windowBytes } },
  );
  const stopped = a.transport.openStream(b.address, 'stopped');
  const total = 8 * windowBytes;
  let drains = 0;
  stopped.onDrain = () => {
    drains += 1;
  };
  assert.not.ok(stopped.write(Buffer.alloc(total)));
  const other = a.transport.openStream(b.address, 'other');
  other.send('through');
  assert.is(await nextMessage(other), 'through');
  const sent = a.transport.counters().bytesSent;
  assert.ok(sent < windowBytes + 4096, `sent ${sent}`);
  assert.is(held, 0);
  assert.is(drains, 0);
  streams[0]?.resume();
  await until(() => held === total && drains === 1);
  await closeAll(a, b);
});

test('a small response is not delayed by a huge one on the same link', async () => {
  const huge = 30 * 1024 * 1024;
  const options = { limits: { windowBytes: huge * 2, maxQueuedBytes: huge * 2 } };
  const [a, b] = await pair(
    {
      onStream: (header, stream) => {
        stream.write(Buffer.alloc(header === 'huge' ? huge : 10));
      },
    },
    options,
  );
  let hugeBytes = 0;
  const first = a.transport.openStream(b.address, 'huge');
  first.onData = (data) => {
    hugeBytes += data.length;
  };
  await until(() => hugeBytes > 0);
  const small = a.transport.openStream(b.address, 'small');
  await new Promise<void>((resolve) => {
    small.onData = () => resolve();
  });
  assert.ok(hugeBytes < huge, 'the small response came before the end of the huge one');
  await closeAll(a, b);
});

test('calls are answered, fail with the remote error code, or time out', async () => {
  const [a, b] = await pair({
    onCall: async (method, body, from) => {
      if (method === 'fail') throw new PeerUnreachableError('x', 'for the test');
      if (method === 'never') return new Promise(() => undefined);
      return [method, body, from.nodeId];
    },
  });
  const answer = await a.transport.call(b.address, 'ask', { x: 1 }, CALL_TIMEOUT_MS);
  assert.equal(answer._unsafeUnwrap(), ['ask', { x: 1 }, 'a']);
  const failure = (
    await a.transport.call(b.address, 'fail', null, CALL_TIMEOUT_MS)
  )._unsafeUnwrapErr();
  assert.instance(failure, PeerCallFailedError);
  assert.is((failure as PeerCallFailedError).remoteCode, 'MS-PEER-UNREACHABLE');
  const late = (await a.transport.call(b.address, 'never', null, 5))._unsafeUnwrapErr();
  assert.instance(late, PeerCallTimeoutError);
  await closeAll(a, b);
});

test('a response that arrives after the timeout is dropped and counted', async () => {
  let answerNow = (): void => undefined;
  const [a, b] = await pair({
    onCall: () =>
      new Promise((resolve) => {
        answerNow = () => resolve('late');
      }),
  });
  // The second call keeps the link in use and shows that it still works.
  const late = a.transport.call(b.address, 'slow', null, 50);
  assert.instance((await late)._unsafeUnwrapErr(), PeerCallTimeoutError);
  answerNow();
  await until(() => a.transport.counters().framesDropped === 1);
  await closeAll(a, b);
});

test('a stream to a peer that is down ends with an error that states that no bytes were written', async () => {
  const [a, b] = await pair({});
  await b.transport.close();
  const stream = a.transport.openStream(b.address, 'any');
  stream.write(Buffer.from('lost'));
  const error = await closed(stream);
  assert.instance(error, PeerUnreachableError);
  assert.is((error as PeerError).anyBytesWritten, false);
  const second = await closed(a.transport.openStream(b.address, 'at once'));
  assert.instance(second, PeerUnreachableError);
  await closeAll(a);
});

test('loss of a link ends all its streams with an error, which states whether any bytes were written', async () => {
  const accepted: PeerStream[] = [];
  const [a, b] = await pair({ onStream: (_header, stream) => accepted.push(stream) });
  const sent = a.transport.openStream(b.address, 'sent');
  await until(() => accepted.length === 1);
  const unsent = a.transport.openStream(b.address, 'unsent');
  const ends = Promise.all([closed(sent), closed(unsent)]);
  await b.transport.close();
  const errors = await ends;
  assert.instance(errors[0], PeerLinkLostError);
  assert.is((errors[0] as PeerError).anyBytesWritten, true);
  assert.instance(errors[1], PeerError);
  assert.is(a.transport.counters().linksLost, 1);
  await closeAll(a);
});

test('a stream that a stopping node has not accepted ends with PeerUnreachableError', async () => {
  let accepted = 0;
  const [a, b] = await pair({
    onStream: (header, stream) => {
      accepted += 1;
      echo(header, stream);
    },
  });
  const first = a.transport.openStream(b.address, 'accepted');
  first.send('sent');
  await nextMessage(first);
  const second = a.transport.openStream(b.address, 'on its way');
  const lost = Promise.all([closed(first), closed(second)]);
  // Written to the socket in this turn; the other node stops before it can read.
  await new Promise((resolve) => process.nextTick(resolve));
  const stopped = b.transport.close();
  const [firstError, secondError] = await lost;
  assert.instance(firstError, PeerLinkLostError);
  assert.is(firstError instanceof PeerError && firstError.anyBytesWritten, true);
  assert.instance(secondError, PeerUnreachableError);
  assert.is(accepted, 1);
  await stopped;
  await closeAll(a);
});

test('a stopping node does not wait for peers without open streams', async () => {
  const [a, b] = await pair({ onStream: echo });
  const stream = a.transport.openStream(b.address, 'over');
  stream.send('sent');
  await nextMessage(stream);
  const end = closed(stream);
  stream.end();
  await end;
  await b.transport.close();
  assert.is(a.transport.counters().linksLost, 0, 'closed by the dialling side');
  const next = await closed(a.transport.openStream(b.address, 'too late'));
  assert.instance(next, PeerUnreachableError);
  await closeAll(a);
});

test('an aborted stream ends on both sides with its reason', async () => {
  let remoteEnd: Promise<unknown> = Promise.resolve();
  let opened = 0;
  const [a, b] = await pair({
    onStream: (_header, stream) => {
      opened += 1;
      remoteEnd = closed(stream);
    },
  });
  const stream = a.transport.openStream(b.address, 'x');
  await until(() => opened === 1);
  const localEnd = closed(stream);
  stream.abort('caller gone');
  const local = (await localEnd) as PeerStreamAbortedError;
  const remote = (await remoteEnd) as PeerStreamAbortedError;
  assert.is(local.by, 'local');
  assert.is(remote.by, 'remote');
  assert.is(remote.reason, 'caller gone');
  await closeAll(a, b);
});

test('data written before the end arrives before the close, even at a paused reader', async () => {
  const received: string[] = [];
  const streams: PeerStream[] = [];
  let end: Promise<unknown> = Promise.resolve();
  const [a, b] = await pair({
    onStream: (_header, stream) => {
      streams.push(stream);
      stream.pause();
      stream.onData = (data) => received.push(data.toString());
      end = closed(stream);
    },
  });
  const stream = a.transport.openStream(b.address, 'x');
  stream.write(Buffer.from('last words'));
  const localEnd = closed(stream);
  stream.end();
  await localEnd;
  await until(() => streams.length === 1);
  assert.equal(received, []);
  streams[0]?.resume();
  assert.is(await end, undefined);
  assert.equal(received, ['last words']);
  await closeAll(a, b);
});

test('a node without the cluster secret opens no link', async () => {
  let streams = 0;
  const b = await listen('b', { onStream: () => (streams += 1) }, { clusterSecret: SECRET });
  const wrong = await listen(
    'x',
    {},
    { clusterSecret: Buffer.from('another secret, also 32 bytes ..') },
  );
  const none = await listen('y', {});
  for (const stranger of [wrong, none]) {
    const error = await closed(stranger.transport.openStream(b.address, 'in'));
    assert.instance(error, PeerUnreachableError);
  }
  assert.is(streams, 0);
  assert.is(b.transport.counters().linksOpened, 0);
  await closeAll(b, wrong, none);
});

test('a dialler that sends no proof of the secret is refused', async () => {
  const b = await listen('b', {}, { clusterSecret: SECRET });
  const socket = await rawConnection(b.address);
  socket.write(new Handshake('dialler', { nodeId: 'x', incarnation: 1 }, undefined).start());
  socket.write(encodeFrame(FrameType.PROOF, 0, Buffer.alloc(32)));
  await socketClosed(socket);
  assert.is(b.transport.counters().handshakesRefused, 1);
  await closeAll(b);
});

test('malformed, oversized and truncated frames close their own link only, and count', async () => {
  const [a, b] = await pair({ onStream: echo });
  const healthy = a.transport.openStream(b.address, 'healthy');
  healthy.send(1);
  await nextMessage(healthy);
  const hello = new Handshake('dialler', { nodeId: 'x', incarnation: 1 }, undefined).start();
  const opened = Buffer.concat([hello, encodeFrame(FrameType.PROOF, 0, Buffer.alloc(0))]);
  const oversized = Buffer.alloc(11);
  oversized.writeUInt32BE(0xffff_ffff);
  oversized[4] = FrameType.MESSAGE;
  const faults = [
    Buffer.from('GET / HTTP/1.1\r\n\r\n'),
    Buffer.concat([opened, oversized]),
    Buffer.concat([opened, encodeFrame(FrameType.OPEN, 1, Buffer.from([0xff, 0xff]))]),
    Buffer.concat([opened, encodeFrame(FrameType.CALL, 1, Buffer.from([0x01]))]),
    Buffer.concat([opened, Buffer.from([0, 0, 1, 0, FrameType.DATA, 0, 0, 0, 0, 0, 1, 9])]),
  ];
  for (const [index, fault] of faults.entries()) {
    const socket = await rawConnection(b.address);
    const end = socketClosed(socket);
    socket.end(fault);
    await end;
    await until(() => b.transport.counters().framesMalformed === index + 1);
  }
  healthy.send(2);
  assert.is(await nextMessage(healthy), 2);
  await closeAll(a, b);
});

test('a stream number used twice closes the link; frames for unknown streams are dropped', async () => {
  const b = await listen('b', { onStream: echo });
  const hello = new Handshake('dialler', { nodeId: 'x', incarnation: 1 }, undefined).start();
  const socket = await rawConnection(b.address);
  const end = socketClosed(socket);
  socket.write(Buffer.concat([hello, encodeFrame(FrameType.PROOF, 0, Buffer.alloc(0))]));
  socket.write(encodeFrame(FrameType.DATA, 77, Buffer.from('nobody')));
  await until(() => b.transport.counters().framesDropped === 1);
  const open = encodeFrame(FrameType.OPEN, 5, Buffer.from([1]));
  socket.write(Buffer.concat([open, open]));
  await end;
  assert.is(b.transport.counters().framesMalformed, 1);
  await closeAll(b);
});

test('streams to a silent peer end as lost after missed heartbeats', async () => {
  const sockets: Socket[] = [];
  const silent = createServer((socket) => {
    sockets.push(socket);
    const handshake = new Handshake('acceptor', { nodeId: 's', incarnation: 1 }, undefined);
    socket.on('error', () => undefined);
    socket.once('data', (hello) => {
      const step = handshake.receive(FrameType.HELLO, hello.subarray(11));
      if (step.send !== undefined) socket.write(step.send);
      socket.pause();
    });
  });
  await new Promise<void>((resolve) => silent.listen(0, '127.0.0.1', () => resolve()));
  const address = silent.address() as { port: number };
  const a = await listen('a', {}, { limits: { heartbeatPeriodMs: 10, maxMissedHeartbeats: 3 } });
  const stream = a.transport.openStream({ host: '127.0.0.1', port: address.port }, 'x');
  const error = await closed(stream);
  assert.instance(error, PeerLinkLostError);
  await closeAll(a);
  for (const socket of sockets) socket.destroy();
  await new Promise<void>((resolve) => silent.close(() => resolve()));
});

/** Statements that were given up would otherwise run at an instance when the partition ends. */
test('what a lost link has sent during a partition does not arrive once it ends', async () => {
  const received: unknown[] = [];
  let accepted: PeerStream | undefined;
  const b = await listen('b', {
    onStream: (_header, stream) => {
      accepted = stream;
      stream.onMessage = (message) => received.push(message);
    },
  });
  const partitioned = await PartitionableLink.start(b.address.port);
  const limits = { heartbeatPeriodMs: 10, maxMissedHeartbeats: 3 };
  const a = await listen('a', {}, { limits });
  const stream = a.transport.openStream({ host: '127.0.0.1', port: partitioned.port }, 'x');
  stream.send('before');
  await until(() => received.length > 0);
  partitioned.cut();
  stream.send('during');
  assert.instance(await closed(stream), PeerLinkLostError);
  assert.ok(accepted);
  const ended = closed(accepted);
  // The link discards what it holds up only once it has read the reset.
  await until(() => partitioned.resetCount > 0);
  partitioned.heal();
  await ended;
  assert.equal(received, ['before']);
  await closeAll(a, b);
  partitioned.stop();
});

test('a new incarnation at the same address is reported', async () => {
  const changes: number[] = [];
  const events = {
    onIdentityChanged: (_peer: unknown, _previous: unknown, now: { incarnation: number }) =>
      changes.push(now.incarnation),
  };
  const a = await listen('a', {}, { events });
  const first = await listen('b', {});
  await a.transport.call(first.address, 'x', null, CALL_TIMEOUT_MS);
  await first.transport.close();
  assert.is(a.transport.counters().linksLost, 0, 'a graceful shutdown loses no link');
  const identity = { nodeId: 'b', incarnation: 2 };
  const second = new TcpPeerTransport({ identity, handlers: handlersOf({}) });
  (await second.listen(first.address))._unsafeUnwrap();
  await a.transport.call(first.address, 'x', null, CALL_TIMEOUT_MS);
  assert.equal(changes, [2]);
  assert.equal(a.transport.identityOf(first.address), identity);
  await second.close();
  await closeAll(a);
});

test.run();
