import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { type RunningStore, startStore } from '../../bench/harness/platform.js';
import type { ProposedChange } from '../../src/core/configuration/publish.js';
import type { ConfigurationMember } from '../../src/core/configuration/relays.js';
import { Publisher } from '../../src/node/configuration/publisher.js';
import { ConfigurationService } from '../../src/node/configuration/service.js';
import { StoreSession } from '../../src/node/configuration/store-session.js';
import { DEFAULT_STORE_CLIENT_OPTIONS, StoreClient } from '../../src/platform/store-client.js';
import { declared, TEMPLATE_YAML, tenantYaml } from '../support/declarations.js';
import { type ListeningTransport, listen } from '../support/peer.js';
import { seededRandom } from '../support/random.js';
import { until } from '../support/until.js';

interface RunningNode {
  readonly member: ConfigurationMember;
  readonly service: ConfigurationService;
  readonly transport: ListeningTransport['transport'];
  readonly client: StoreClient;
  /** Revisions in the order in which this node applied them. */
  readonly revisions: number[];
}

interface Context {
  store: RunningStore;
  nodes: RunningNode[];
  operator: StoreClient;
}

const SEED = 20_261_202;
const test = suite<Context>('configuration service');

test.before.each(async (context) => {
  context.store = await startStore();
  context.nodes = [];
  context.operator = clientOf(context.store, 'operator');
});

test.after.each(async (context) => {
  await Promise.all(context.nodes.map(stopNode));
  context.operator.close();
  await context.store.stop();
});

function clientOf(store: RunningStore, clientName: string): StoreClient {
  const endpoint = { host: store.host, port: store.port };
  return new StoreClient({ ...DEFAULT_STORE_CLIENT_OPTIONS, endpoint, clientName });
}

async function startNode(context: Context, nodeId: string, zone: string): Promise<RunningNode> {
  const client = clientOf(context.store, nodeId);
  const services: ConfigurationService[] = [];
  const { transport, address } = await listen(nodeId, {
    onCall: async (method, body, from) => services[0]?.onCall(method, body, from),
  });
  const member = { nodeId, zone, ...address };
  const service = new ConfigurationService({
    self: member,
    store: client,
    transport,
    members: () => context.nodes.map((node) => node.member),
    random: seededRandom(SEED + context.nodes.length),
    now: () => performance.now(),
  });
  services.push(service);
  const node = { member, service, transport, client, revisions: [] };
  service.onSnapshot = ({ revision }) => (node.revisions as number[]).push(revision);
  context.nodes.push(node);
  for (const other of context.nodes) if (other !== node) other.service.membersChanged();
  service.start();
  return node;
}

async function stopNode({ service, transport, client }: RunningNode): Promise<void> {
  await service.stop();
  await transport.close();
  client.close();
}

async function publish(context: Context, id: string, ...texts: string[]): Promise<number> {
  const publisher = new Publisher({
    store: context.operator,
    random: seededRandom(SEED),
    wait: (delayMs) => new Promise((resolve) => setTimeout(resolve, delayMs)),
  });
  const changes = declared(...texts).map((located): ProposedChange => ({ type: 'put', located }));
  const expectedRevisions = new Map();
  const request = { publishId: id, publishedAt: 0, author: '', comment: '', changes };
  const outcome = await publisher.publish({ ...request, expectedRevisions });
  return outcome._unsafeUnwrap().revision;
}

function awaitInForce(context: Context, revision: number): Promise<void> {
  return until('all nodes to follow', () =>
    context.nodes.every((node) => node.service.status().revision === revision),
  );
}

test('relays watch the store, the other nodes get pushes, and a change is in force on all nodes', async (context) => {
  await publish(context, 'first', TEMPLATE_YAML, tenantYaml('a', 10));
  for (const [index, zone] of ['x', 'y', 'x', 'y', 'x', 'y'].entries()) {
    await startNode(context, `n${index}`, zone);
  }
  await Promise.all(context.nodes.map(({ service }) => service.ready));
  await until(
    'all nodes to follow',
    () => context.nodes.filter(({ service }) => service.status().watching).length === 4,
  );
  const revision = await publish(context, 'second', tenantYaml('a', 30));
  await awaitInForce(context, revision);
  for (const { service, revisions } of context.nodes) {
    assert.is(service.snapshot().tenantsByUser.get('a')?.maxConnections, 30);
    assert.equal(
      revisions,
      [...revisions].sort((left, right) => left - right),
    );
    assert.is(service.status().peerErrors, 0);
  }
});

test('two candidates that claim at the same time get one relay slot each', async (context) => {
  const sessions = ['n0', 'n1'].map((nodeId) => new StoreSession(context.operator, nodeId, 'x'));
  const leases = await Promise.all(sessions.map((session) => session.claimRelay(() => true)));
  const slots = leases.map((lease) => lease._unsafeUnwrap()?.slot);
  assert.equal(slots.sort(), [0, 1]);
  const third = await new StoreSession(context.operator, 'n2', 'x').claimRelay(() => true);
  assert.is(third._unsafeUnwrap(), undefined);
});

test('the relay slot of a node that is not live is taken over by one candidate only', async (context) => {
  const sessionOf = (nodeId: string) => new StoreSession(context.operator, nodeId, 'y');
  const first = (await sessionOf('n0').claimRelay(() => true))._unsafeUnwrap();
  assert.ok(first);
  await sessionOf('n1').claimRelay(() => true);
  const isLive = (nodeId: string): boolean => nodeId !== 'n0';
  const successors = await Promise.all(['n2', 'n3'].map((id) => sessionOf(id).claimRelay(isLive)));
  const taken = successors.map((lease) => lease._unsafeUnwrap()?.slot);
  assert.equal(
    taken.filter((slot) => slot !== undefined),
    [first.slot],
  );
  await sessionOf('n0').releaseRelay(first);
  const late = await sessionOf('n4').claimRelay(() => true);
  assert.is(late._unsafeUnwrap(), undefined, 'the previous holder releases no slot');
});

test('a broken or compacted watch is restarted without reverting to an older revision', async (context) => {
  const first = await publish(context, 'first', TEMPLATE_YAML, tenantYaml('a', 10));
  const node = await startNode(context, 'n0', 'x');
  await until('all nodes to follow', () => node.service.status().watching);
  await context.store.setFaults({ outage: 'reset' });
  await until('all nodes to follow', () => !node.service.status().watching);
  assert.is(node.service.status().revision, first);
  await context.store.heal();
  const second = await publish(context, 'second', tenantYaml('a', 30));
  await context.store.compact();
  await awaitInForce(context, second);
  assert.equal(node.revisions, [first, second]);
});

test('a node that starts while the store is down gets the configuration from its peers', async (context) => {
  const revision = await publish(context, 'first', TEMPLATE_YAML, tenantYaml('a', 10));
  await startNode(context, 'n0', 'x');
  await startNode(context, 'n1', 'y');
  await awaitInForce(context, revision);
  await context.store.setFaults({ outage: 'reset' });
  const late = await startNode(context, 'n2', 'x');
  await late.service.ready;
  assert.is(late.service.status().revision, revision);
  assert.is(late.service.status().source, 'peer');
  assert.ok(late.service.snapshot().tenantsByName.has('a'));
});

test.run();
