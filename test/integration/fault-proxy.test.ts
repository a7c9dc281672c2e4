import { connect as connectSocket, createServer, type Server, type Socket } from 'node:net';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { type RunningFaultProxy, startFaultProxy } from '../../bench/harness/platform.js';
import { until } from '../support/until.js';

const SEED = 20261202;
const ROUTE = 'route';

/** One end of a connection, with all data that it has received. */
class End {
  #chunks: Buffer[] = [];
  bytes = 0;
  ended = false;
  closed = false;
  errorCode: string | undefined;

  constructor(readonly socket: Socket) {
    socket.on('data', (chunk: Buffer) => {
      this.#chunks.push(chunk);
      this.bytes += chunk.length;
    });
    socket.on('end', () => (this.ended = true));
    socket.on('close', () => (this.closed = true));
    socket.on('error', (error: NodeJS.ErrnoException) => (this.errorCode = error.code));
  }

  get received(): Buffer {
    return Buffer.concat(this.#chunks);
  }
}

interface Context {
  proxy: RunningFaultProxy;
  target: Server;
  targetEnds: End[];
  clientEnds: End[];
  port: number;
}

const test = suite<Context>('fault proxy');

test.before.each(async (context) => {
  context.targetEnds = [];
  context.clientEnds = [];
  context.target = createServer({ allowHalfOpen: true }, (socket) => {
    context.targetEnds.push(new End(socket));
  });
  const targetPort = await new Promise<number>((resolve) => {
    context.target.listen(0, '127.0.0.1', () => {
      const address = context.target.address();
      resolve(typeof address === 'object' && address !== null ? address.port : 0);
    });
  });
  context.proxy = await startFaultProxy();
  const route = { name: ROUTE, targetHost: '127.0.0.1', targetPort };
  context.port = (await context.proxy.addRoute(route)).listenPort;
});

test.after.each(async (context) => {
  for (const end of [...context.clientEnds, ...context.targetEnds]) end.socket.destroy();
  context.target.close();
  await context.proxy.stop();
});

/** Connects a client to the proxy; the target may not have accepted the connection yet. */
async function connectClient(context: Context): Promise<End> {
  const socket = connectSocket({ port: context.port, host: '127.0.0.1', allowHalfOpen: true });
  const end = new End(socket);
  context.clientEnds.push(end);
  await until('connected or refused', () => !socket.connecting || end.closed);
  return end;
}

/** Connects a client; returns it and the target's end of the same connection. */
async function connectPair(context: Context): Promise<{ client: End; target: End }> {
  const known = context.targetEnds.length;
  const client = await connectClient(context);
  await until('the target accepts the connection', () => context.targetEnds.length > known);
  const target = context.targetEnds.at(-1);
  assert.ok(target);
  return { client, target: target as End };
}

/** Not a multiple of usual chunk sizes, so that lost or reordered chunks are found at any position. */
const NOISE_BLOCK_BYTES = 65_537;
const noiseBlock = Buffer.alloc(NOISE_BLOCK_BYTES);
const noiseGenerator = xoroshiro128plus(SEED);
for (let index = 0; index < NOISE_BLOCK_BYTES; index += 1) {
  noiseBlock[index] = uniformInt(noiseGenerator, 0, 255);
}

/** Returns `length` bytes: a block from a seeded generator, repeated. */
function noise(length: number): Buffer {
  return Buffer.alloc(length, noiseBlock);
}

async function assertForwarded(client: End, target: End, bytes: Buffer): Promise<void> {
  const before = target.bytes;
  client.socket.write(bytes);
  await until('all bytes', () => target.bytes >= before + bytes.length);
  assert.ok(target.received.subarray(before).equals(bytes));
}

test('without faults, bytes and ends are forwarded and counted in both directions', async (context) => {
  const { client, target } = await connectPair(context);
  await assertForwarded(client, target, noise(3_000_000));
  await assertForwarded(target, client, noise(2_000_000));
  client.socket.end();
  await until('the end', () => target.ended);
  await assertForwarded(target, client, noise(1000));
  target.socket.end();
  await until('both closed', () => client.closed && target.closed);
  await until('none open', async () => {
    return (await context.proxy.route(ROUTE)).counters.connectionsOpen === 0;
  });
  const { counters } = await context.proxy.route(ROUTE);
  assert.equal(counters, {
    connectionsAccepted: 1,
    connectionsOpen: 0,
    dialsFailed: 0,
    bytesUp: 3_000_000,
    bytesDown: 2_001_000,
  });
});

for (const direction of ['up', 'down'] as const) {
  test(`a one-way cut (${direction}) holds back that direction only, and delivers all bytes after it is healed`, async (context) => {
    const { client, target } = await connectPair(context);
    const [source, sink] = direction === 'up' ? [client, target] : [target, client];
    await assertForwarded(source, sink, noise(1000));
    await context.proxy.setFaults(ROUTE, { [direction]: { cut: true } });
    const held = noise(5_000_000);
    source.socket.write(held);
    await assertForwarded(sink, source, noise(2000));
    assert.is(sink.bytes, 1000);
    source.socket.end();
    await context.proxy.heal(ROUTE);
    await until('the end', () => sink.ended);
    assert.ok(sink.received.subarray(1000).equals(held));
  });
}

test('a two-way cut holds back resets and new connections until it is healed', async (context) => {
  const { client, target } = await connectPair(context);
  await context.proxy.cut(ROUTE);
  client.socket.resetAndDestroy();
  const late = await connectClient(context);
  const bytes = noise(1000);
  late.socket.write(bytes);
  await until('accepted', async () => {
    return (await context.proxy.route(ROUTE)).counters.bytesUp === bytes.length;
  });
  assert.equal([target.closed, context.targetEnds.length], [false, 1]);
  await context.proxy.heal(ROUTE);
  await until('the reset', () => target.closed);
  assert.is(target.errorCode, 'ECONNRESET');
  await until('the late one', () => context.targetEnds[1]?.bytes === bytes.length);
  assert.ok(context.targetEnds[1]?.received.equals(bytes));
});

for (const closedSide of ['client', 'target'] as const) {
  test(`half-open: the ${closedSide} is closed, and the other side is reset only when healed`, async (context) => {
    const { client, target } = await connectPair(context);
    const [closed, unnotified] = closedSide === 'client' ? [client, target] : [target, client];
    assert.is(await context.proxy.halfOpen(ROUTE, closedSide), 1);
    await until('one side has got the end', () => closed.ended);
    unnotified.socket.write(noise(1000));
    closed.socket.end();
    await until('one side is closed', () => closed.closed);
    const other = await connectPair(context);
    await assertForwarded(other.client, other.target, noise(10));
    assert.equal([unnotified.ended, unnotified.closed, closed.bytes], [false, false, 0]);
    await context.proxy.heal(ROUTE);
    await until('the other side is closed', () => unnotified.closed);
    assert.is(unnotified.errorCode, 'ECONNRESET');
    await assertForwarded(other.client, other.target, noise(11));
  });
}

test('new connections are refused, and open connections keep working', async (context) => {
  const { client, target } = await connectPair(context);
  await context.proxy.setFaults(ROUTE, { refuse: true });
  assert.is((await connectClient(context)).errorCode, 'ECONNREFUSED');
  await assertForwarded(client, target, noise(1000));
  await context.proxy.heal(ROUTE);
  const again = await connectPair(context);
  await assertForwarded(again.client, again.target, noise(1000));
});

test('a reset reaches both sides', async (context) => {
  const { client, target } = await connectPair(context);
  assert.is(await context.proxy.reset(ROUTE), 1);
  await until('both closed', () => client.closed && target.closed);
  assert.equal([client.errorCode, target.errorCode], ['ECONNRESET', 'ECONNRESET']);
});

test('if the target refuses the connection, the client is reset', async (context) => {
  context.target.close();
  const client = await connectClient(context);
  await until('the reset', () => client.closed);
  assert.is((await context.proxy.route(ROUTE)).counters.dialsFailed, 1);
});

test('a throttle forwards all bytes at no more than its rate', async (context) => {
  const { client, target } = await connectPair(context);
  const bytesPerSecond = 200_000;
  await context.proxy.setFaults(ROUTE, { up: { bytesPerSecond } });
  const bytes = noise(60_000);
  const startedAt = performance.now();
  await assertForwarded(client, target, bytes);
  const tookMs = performance.now() - startedAt;
  // A lower bound only, since the throttle does not wait after its last chunk.
  assert.ok(tookMs >= (bytes.length / bytesPerSecond) * 1000 * 0.9, `took ${tookMs} ms`);
});

test('latency delays each direction by at least its value', async (context) => {
  const { client, target } = await connectPair(context);
  await context.proxy.setFaults(ROUTE, { up: { latencyMs: 60 }, down: { latencyMs: 40 } });
  const startedAt = performance.now();
  await assertForwarded(client, target, noise(100));
  await assertForwarded(target, client, noise(100));
  assert.ok(performance.now() - startedAt >= 98);
});

test('bytes sent after a latency is removed do not overtake earlier bytes', async (context) => {
  const { client, target } = await connectPair(context);
  await context.proxy.setFaults(ROUTE, { up: { latencyMs: 400 } });
  client.socket.write('first');
  await until('the proxy has received the bytes', async () => {
    return (await context.proxy.route(ROUTE)).counters.bytesUp === 5;
  });
  await context.proxy.setFaults(ROUTE, { up: { latencyMs: 0 } });
  client.socket.write('second');
  await until('both', () => target.bytes === 11);
  assert.is(target.received.toString(), 'firstsecond');
});

test('a stopped reader blocks the writer under each fault', async (context) => {
  for (const latencyMs of [0, 5]) {
    const { client, target } = await connectPair(context);
    await context.proxy.setFaults(ROUTE, { up: { latencyMs } });
    target.socket.pause();
    const bytes = noise(40_000_000);
    const flushed = { value: false };
    client.socket.write(bytes, () => (flushed.value = true));
    let carried = -1;
    await until('the flow stops', async () => {
      const before = carried;
      carried = (await context.proxy.route(ROUTE)).counters.bytesUp;
      return carried > 0 && carried === before;
    });
    assert.is(flushed.value, false);
    target.socket.resume();
    await until('all bytes', () => target.bytes === bytes.length);
    assert.ok(target.received.equals(bytes));
    client.socket.destroy();
    await until('closed', () => target.ended);
    target.socket.destroy();
  }
});

test('faults that change under load lose and reorder no bytes', async (context) => {
  const { client, target } = await connectPair(context);
  const generator = xoroshiro128plus(SEED);
  const up = noise(4_000_000);
  const down = noise(3_999_999);
  client.socket.end(up);
  target.socket.end(down);
  for (let change = 0; change < 40; change += 1) {
    const faults = () => ({
      latencyMs: uniformInt(generator, 0, 3),
      jitterMs: uniformInt(generator, 0, 3),
      bytesPerSecond: uniformInt(generator, 0, 1) * 4_000_000,
      cut: uniformInt(generator, 0, 3) === 0,
    });
    await context.proxy.setFaults(ROUTE, { up: faults(), down: faults() });
  }
  await context.proxy.heal(ROUTE);
  await until('both ends', () => client.ended && target.ended);
  assert.ok(target.received.equals(up));
  assert.ok(client.received.equals(down));
});

test('route names are unique, and routes are listed and removed', async ({ proxy, target }) => {
  const address = target.address();
  const targetPort = typeof address === 'object' && address !== null ? address.port : 0;
  const again = await proxy.addRoute({ name: ROUTE, targetHost: '127.0.0.1', targetPort }).then(
    () => 'added',
    () => 'refused',
  );
  assert.is(again, 'refused');
  await proxy.addRoute({ name: 'second', targetHost: '127.0.0.1', targetPort });
  const listed = await proxy.routes();
  assert.equal(
    listed.map((route) => route.name),
    [ROUTE, 'second'],
  );
  await proxy.removeRoute('second');
  assert.is((await proxy.routes()).length, 1);
});

test.run();
