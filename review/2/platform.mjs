/**
 * The platform stand-in of this repository with `born` in the instances' entries, as letter 6 has it; with BORN=0 the
 * entries are without it. Control calls as in `standins/direct/main.js`, only those that the case needs.
 */
import { z } from 'zod';
import { controlRoute, createControlServer } from '../../dist/standins/common/control-server.js';
import { announcePorts, exitWithParent, listen } from '../../dist/standins/common/process.js';
import { DatabaseGroup } from '../../dist/standins/direct/group.js';
import { Instance } from '../../dist/standins/direct/instance.js';
import { KvStore } from '../../dist/standins/direct/kv-store.js';
import { Member } from '../../dist/standins/direct/member.js';
import { PromotionServer } from '../../dist/standins/direct/promotion.js';
import { RunLog } from '../../dist/standins/direct/run-log.js';

const HOST = '127.0.0.1';
const SERVICE = 'orders';
const LAG_MS = 60;
const withBirth = process.env.BORN !== '0';

exitWithParent();

const store = new KvStore({ minTtlMs: 1000, valueBytes: 1_048_576 }, 20_000);
const runLog = new RunLog();
const promotions = [];
const members = [1, 2, 3].map(
  (number) => new Member(`i-${SERVICE}-${number}`, number === 1 ? 'primary' : 'replica', LAG_MS),
);
const group = new DatabaseGroup(
  { service: SERVICE, syncReplicas: 1, networkMs: 1, promoteMs: 300 },
  members,
  (effect) => promotions.push(effect),
);

/** The store as one instance uses it: `born` is added to the entry that it writes, and hidden when it reads that. */
function storeOfInstance() {
  const born = Date.now();
  let written;
  return {
    get isDown() {
      return store.isDown;
    },
    get faults() {
      return store.faults;
    },
    put(key, value) {
      const entry = withBirth ? { ...JSON.parse(value), born } : JSON.parse(value);
      const stored = JSON.stringify(entry);
      const revision = store.put(key, stored);
      if (revision !== undefined) written = { value, stored };
      return revision;
    },
    valueOf(key) {
      const stored = store.valueOf(key);
      return stored === written?.stored ? written?.value : stored;
    },
    remove(key) {
      return store.remove(key);
    },
  };
}

const options = {
  ...{ service: SERVICE, host: HOST, slots: 3, queueLength: 64, maxConnections: 34, workMs: 4 },
  ...{ connectMs: 12, syncTimeoutMs: 2000, heartbeatMs: 1200, drainTimeoutMs: 7000 },
};
const instances = members.map((member, index) => {
  const zone = `zone-${'abc'[index]}`;
  return new Instance({ ...options, zone }, member, group, storeOfInstance(), runLog);
});
group.onRoleChange = (member) =>
  instances.find((instance) => instance.member === member)?.register();
const promotionServer = new PromotionServer(
  { callsPerSecond: 50, isFencingEnforced: false },
  new Map([[SERVICE, group]]),
);

const empty = z.object({});
const control = createControlServer([
  controlRoute('GET', '/log', empty, () => ({
    runs: runLog.runs,
    promotions,
    promotionCalls: promotionServer.calls,
  })),
  controlRoute('GET', '/store/counts', empty, () => store.counts),
  controlRoute('GET', '/store/values', empty, () => ({ values: store.values() })),
  controlRoute('POST', '/config', z.looseObject({}), (body) => {
    store.put('op/config', JSON.stringify(body));
  }),
  controlRoute('POST', '/instances/:id/crash', empty, (_body, { id }) => {
    instances.find(({ member }) => member.id === id).crash();
  }),
]);

await Promise.all(instances.map((instance) => instance.start()));
announcePorts({
  storePort: await listen(store.server, HOST, 0),
  promotionPort: await listen(promotionServer.server, HOST, 0),
  controlPort: await listen(control, HOST, 0),
});
