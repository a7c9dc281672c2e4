/** Membership over real UDP and TCP sockets on loopback. */
import { createSocket } from 'node:dgram';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ListedNode } from '../../src/core/membership/contract.js';
import { MembershipService } from '../../src/node/membership/service.js';
import { TcpPeerTransport } from '../../src/peer/transport.js';
import { until } from '../support/peer.js';

const SECRET = Buffer.from('a secret of the cluster, 32 byte');
const HOST = '127.0.0.1';
/** Short periods for tests. The tests wait for events, so on a slow machine they only take longer. */
const OPTIONS = {
  probePeriodMs: 100,
  probeTimeoutMs: 30,
  gossipPeriodMs: 20,
  reconnectPeriodMs: 200,
};

interface TestNode {
  readonly listed: ListedNode;
  readonly transport: TcpPeerTransport;
  readonly service: MembershipService;
}

async function createNode(
  nodeId: string,
  incarnation = 1,
  clusterSecret = SECRET,
): Promise<TestNode> {
  let service: MembershipService | undefined;
  const transport = new TcpPeerTransport({
    identity: { nodeId, incarnation },
    clusterSecret,
    handlers: {
      onStream: (_header, stream) => stream.abort('none here'),
      onCall: async (method, body) => service?.handleCall(method, body),
    },
  });
  const bound = (await transport.listen({ host: HOST, port: 0 }))._unsafeUnwrap();
  const listed = { nodeId, zone: 'z1', host: HOST, peerPort: bound.port, leaving: false };
  const self = { ...listed, incarnation };
  service = new MembershipService({ self, transport, options: OPTIONS, clusterSecret });
  return { listed, transport, service };
}

async function startFleet(count: number): Promise<TestNode[]> {
  const nodes: TestNode[] = [];
  for (let index = 0; index < count; index += 1) nodes.push(await createNode(`n${index}`));
  const list = nodes.map((node) => node.listed);
  for (const node of nodes) (await node.service.start(list))._unsafeUnwrap();
  return nodes;
}

async function stopAll(nodes: readonly TestNode[]): Promise<void> {
  for (const node of nodes) {
    await node.service.stop();
    await node.transport.close();
  }
}

function hasStatus(node: TestNode, nodeId: string, status: string): boolean {
  return node.service.member(nodeId)?.status === status;
}

test('nodes discover each other, and learn that a node is leaving and that it has stopped', async () => {
  const nodes = await startFleet(4);
  const [first, second, third, leaver] = nodes as [TestNode, TestNode, TestNode, TestNode];
  const stayers = [first, second, third];
  await until(() =>
    nodes.every(
      (node) => node.service.members().filter((one) => one.status === 'alive').length === 3,
    ),
  );
  await until(() => nodes.every((node) => node.service.isJoined));
  leaver.service.announceLeaving();
  await until(() => stayers.every((node) => hasStatus(node, 'n3', 'leaving')));
  await stopAll([leaver]);
  await until(() => stayers.every((node) => hasStatus(node, 'n3', 'dead')));
  await stopAll(stayers);
});

test('a node that stops responding to datagrams is declared dead', async () => {
  const nodes = await startFleet(3);
  const [first, second, victim] = nodes as [TestNode, TestNode, TestNode];
  await until(() => hasStatus(first, 'n2', 'alive') && hasStatus(second, 'n2', 'alive'));
  const changes: string[] = [];
  first.service.onMemberChanged = ({ change, member }) =>
    changes.push(`${change} ${member.nodeId}`);
  victim.service.closeSocket();
  await until(() => hasStatus(first, 'n2', 'dead') && hasStatus(second, 'n2', 'dead'));
  assert.ok(changes.includes('failed n2'));
  await stopAll(nodes);
});

test('datagrams that fail authentication are counted and change nothing', async () => {
  const [node] = (await startFleet(1)) as [TestNode];
  const stranger = createSocket('udp4');
  const send = (datagram: Buffer): void => {
    stranger.send(datagram, node.listed.peerPort, HOST);
  };
  send(Buffer.from('hello'));
  send(Buffer.alloc(1200, 0xff));
  await until(() => node.service.counters().datagramsMalformed === 2);
  assert.equal(node.service.members(), []);
  await new Promise<void>((resolve) => stranger.close(() => resolve()));
  await stopAll([node]);
});

test.run();
