/**
 * Guards against reads that miss the session's own commits after its route has moved to other services and back: a
 * session that remembers its last write in one service only forgets the one before.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster, type TestRoute } from '../../support/direct-cluster.js';
import type { RecordedSession } from '../../support/direct-session.js';
import { until } from '../../support/until.js';

const SERVICES = ['orders', 'ledger', 'stock'] as const;
type Service = (typeof SERVICES)[number];
/** Replicas apply a commit this long after they have received it: within what the route allows to other sessions. */
const LAG_MS = 2100;
const MAX_STALENESS_MS = 2500;
const SESSIONS_PER_GATEWAY = 4;
const ROUNDS = 2;
/** The replicas are in the gateways' zone, the primary is not. */
const ZONES = 'zone-b,zone-a,zone-a';

let cluster: DirectCluster;

const routesTo = (service: Service): readonly TestRoute[] => [
  {
    ...{ database: 'assign', service, routeType: 'read_your_writes', mayMove: true },
    maxStalenessMs: MAX_STALENESS_MS,
  },
  ...SERVICES.map(
    (name): TestRoute => ({ database: `at-${name}`, service: name, routeType: 'primary' }),
  ),
];

test.before.each(async () => {
  const services = SERVICES.flatMap((name) => ['--service', `${name}=3`]);
  const flags = [...services, '--zones', ZONES];
  cluster = await DirectCluster.start({ gateways: 2, flags, routes: routesTo('orders') });
  for (const { id, role } of await cluster.platform.instances()) {
    if (role === 'replica')
      await cluster.platform.set(`/instances/${id}/faults`, { lagMs: LAG_MS });
  }
});

test.after.each(async () => {
  await cluster.stop();
});

/** Moves the route, and waits until reads of sessions without writes run at replicas of the service. */
async function moveTo(service: Service, probes: readonly RecordedSession[]): Promise<void> {
  await cluster.publish(routesTo(service));
  for (const probe of probes) {
    await until(`reads at replicas of ${service}`, async () => {
      await probe.succeed(() => probe.read('probe'));
      const { runs } = await cluster.platform.log();
      const last = runs.at(-1);
      return last?.service === service && last.instance !== `i-${service}-1`;
    });
  }
}

function openAtEach(count: number): Promise<RecordedSession[]> {
  const gateways = [...cluster.gateways.keys()];
  return Promise.all(
    gateways.flatMap((gateway) =>
      Array.from({ length: count }, () => cluster.open('assign', gateway)),
    ),
  );
}

test('a session reads its own commits after its route went through three services', async () => {
  const probes = await openAtEach(1);
  const sessions = await openAtEach(SESSIONS_PER_GATEWAY);
  const keyOf = (session: RecordedSession): string => `k${sessions.indexOf(session)}`;
  const atOnce = sessions.filter((_, index) => index % 2 === 0);
  const acrossMoves = sessions.filter((_, index) => index % 2 === 1);
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const next of ['ledger', 'stock', 'orders'] as const) {
      for (const session of acrossMoves) {
        assert.is((await session.begin()).error, undefined);
        const write = await session.write(keyOf(session), `before ${next} ${round}`);
        assert.is(write.error, undefined);
      }
      for (const session of atOnce) {
        await session.succeed(() => session.write(keyOf(session), `before ${next} ${round}`));
      }
      await moveTo(next, probes);
      for (const session of acrossMoves) {
        assert.is((await session.commit()).error, undefined);
      }
      await Promise.all(
        sessions.map((session) => session.succeed(() => session.read(keyOf(session)))),
      );
    }
  }
  assert.equal(await cluster.violations(), []);
});

test.run();
