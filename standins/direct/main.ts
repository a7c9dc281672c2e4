/** Process that stands in for the direct gateway's platform: `node dist/standins/direct/main.js --help`. */
import { z } from 'zod';
import { controlRoute, createControlServer } from '../common/control-server.js';
import { ControlRequestError } from '../common/errors.js';
import { readFlags } from '../common/flags.js';
import { announcePorts, exitWithParent, listen } from '../common/process.js';
import { DatabaseGroup, type PromotionEffect } from './group.js';
import { Instance } from './instance.js';
import { instanceFaultSettings } from './instance-faults.js';
import { kvFaultSettings } from './kv-faults.js';
import { KvStore } from './kv-store.js';
import { formatPosition, Member } from './member.js';
import { monotonicMs } from './monotonic.js';
import { DIRECT_PROGRAM, directOptions } from './options.js';
import { PromotionServer, promotionFaultSettings } from './promotion.js';
import { type DirectLog, RunLog } from './run-log.js';

const CONFIGURATION_KEY = 'op/config';

const flags = readFlags(DIRECT_PROGRAM, directOptions);
exitWithParent();

const { host } = flags;
const zones = flags.zones.split(',');
const limits = { minTtlMs: flags['min-ttl-ms'], valueBytes: flags['value-bytes'] };
const store = new KvStore(limits, flags['history-ms']);
const runLog = new RunLog();
const promotions: PromotionEffect[] = [];
const groups = new Map<string, DatabaseGroup>();
const instances: Instance[] = [];

for (const { name: service, size } of flags.service) {
  const members = Array.from(
    { length: size },
    (_, index) =>
      new Member(`i-${service}-${index + 1}`, index === 0 ? 'primary' : 'replica', flags['lag-ms']),
  );
  const group = new DatabaseGroup(
    {
      service,
      syncReplicas: flags['sync-replicas'],
      networkMs: flags['network-ms'],
      promoteMs: flags['promote-ms'],
    },
    members,
    (effect) => promotions.push(effect),
  );
  groups.set(service, group);
  const serviceInstances = members.map((member, index) => {
    const zone = zones[index % zones.length] ?? '';
    return new Instance(instanceOptions(service, zone), member, group, store, runLog);
  });
  group.onRoleChange = (member) =>
    serviceInstances.find((instance) => instance.member === member)?.register();
  instances.push(...serviceInstances);
}

function instanceOptions(service: string, zone: string): Instance['options'] {
  return {
    service,
    zone,
    host,
    slots: flags.slots,
    queueLength: flags['queue-length'],
    maxConnections: flags['max-connections'],
    workMs: flags['work-ms'],
    connectMs: flags['connect-ms'],
    syncTimeoutMs: flags['sync-timeout-ms'],
    heartbeatMs: flags['heartbeat-ms'],
    drainTimeoutMs: flags['drain-timeout-ms'],
    reportsStartTime: flags.born === 'true',
  };
}

const promotionServer = new PromotionServer(
  {
    callsPerSecond: flags['duty-per-s'],
    isFencingEnforced: flags['fencing-enforced'] === 'true',
  },
  groups,
);

function findInstance(id: string | undefined): Instance {
  const found = instances.find(({ member }) => member.id === id);
  if (found === undefined) throw new ControlRequestError(404, `no instance ${id}`);
  return found;
}

function describeInstance(instance: Instance) {
  const { member, options, address, connectionCount, slots, startedAt } = instance;
  const { id, role, term, heldTerm, isRunning, isDark } = member;
  const { service, zone } = options;
  return {
    ...{ id, service, zone, address, role, term, heldTerm, isRunning, isDark, connectionCount },
    born: startedAt,
    received: formatPosition(member.received),
    applied: formatPosition(member.applied(monotonicMs())),
    slotsInUse: slots.inUse,
  };
}

function readLog(): DirectLog {
  const services = [...groups.values()].map(({ options, newestPrimary }) => ({
    service: options.service,
    syncReplicas: options.syncReplicas,
    primary: newestPrimary?.id,
    entries: (newestPrimary?.entries ?? []).map(({ term, number, run }) => ({ term, number, run })),
  }));
  return { runs: runLog.runs, promotions, promotionCalls: promotionServer.calls, services };
}

function putConfiguration(configuration: unknown): { revision: number; at: number } {
  const revision = store.put(CONFIGURATION_KEY, JSON.stringify(configuration));
  if (revision === undefined) throw new ControlRequestError(503, 'the store is down');
  return { revision, at: monotonicMs() };
}

const emptyBody = z.object({});
/** An entry of a writer that is neither an instance nor a node. */
const storeEntry = z.object({ key: z.string().min(1), text: z.string() });
const pairs = z.object({ pairs: z.array(z.tuple([z.string(), z.string()])) });
const restorePlan = z.object({
  ageMs: z.number().min(0).optional(),
  awayMs: z.number().min(0).default(0),
  rewriteMs: z.number().min(0).default(0),
});
const startPlan = z.object({ afterMs: z.number().min(0).default(100) });
const drainPlan = z.object({
  extraMs: z.number().min(0).default(0),
  /** Null: no new instance starts at the address. */
  replaceAfterMs: z.number().min(0).nullable().default(500),
  replacementId: z.string().min(1),
});

const control = createControlServer([
  controlRoute('GET', '/state', emptyBody, () => ({
    revision: store.engine.revision,
    leases: store.engine.leaseIds(),
    instances: instances.map(describeInstance),
  })),
  controlRoute('GET', '/log', emptyBody, readLog),
  controlRoute('POST', '/config', z.looseObject({}), putConfiguration),
  controlRoute('GET', '/store/counts', emptyBody, () => store.counts),
  controlRoute('GET', '/store/values', emptyBody, () => ({ values: store.values() })),
  controlRoute('POST', '/store/faults', kvFaultSettings, (body) => store.applyFaults(body)),
  controlRoute('POST', '/store/entries', storeEntry, ({ key, text }) => {
    store.put(key, text);
  }),
  controlRoute('POST', '/store/cut-watches', emptyBody, () => store.cutWatches()),
  controlRoute('POST', '/store/compact', emptyBody, () =>
    store.engine.compact(store.engine.revision),
  ),
  controlRoute('POST', '/store/copy', emptyBody, () => store.takeBackup()),
  controlRoute('POST', '/store/return-from-copy', restorePlan, (body) => {
    void store.restoreBackup(body);
  }),
  controlRoute('POST', '/store/leases/expire', emptyBody, () => {
    for (const id of store.engine.leaseIds()) store.engine.revokeLease(id);
  }),
  controlRoute('POST', '/promotion/faults', promotionFaultSettings, (body) => {
    promotionServer.applyFaults(body);
  }),
  controlRoute('POST', '/groups/:service/cuts', pairs, (body, { service = '' }) => {
    groups.get(service)?.setCuts(body.pairs);
  }),
  controlRoute('POST', '/instances/:id/faults', instanceFaultSettings, (body, { id }) => {
    findInstance(id).applyFaults(body);
  }),
  controlRoute('POST', '/instances/:id/crash', emptyBody, (_body, { id }) =>
    findInstance(id).crash(),
  ),
  controlRoute('POST', '/instances/:id/dark', emptyBody, (_body, { id }) =>
    findInstance(id).makeUnreachable(),
  ),
  controlRoute('POST', '/instances/:id/return', emptyBody, (_body, { id }) =>
    findInstance(id).return(),
  ),
  controlRoute('POST', '/instances/:id/start-again', startPlan, ({ afterMs }, { id }) => {
    findInstance(id).startAgain(afterMs);
  }),
  controlRoute('POST', '/instances/:id/drain', drainPlan, (body, { id }) => {
    findInstance(id).drain({ ...body, replaceAfterMs: body.replaceAfterMs ?? undefined });
  }),
]);

await Promise.all(instances.map((instance) => instance.start()));
const storePort = await listen(store.server, host, 0);
const promotionPort = await listen(promotionServer.server, host, 0);
const controlPort = await listen(control, host, flags['control-port']);
announcePorts({
  service: 'direct',
  host,
  storePort,
  promotionPort,
  controlPort,
  instances: instances.map(describeInstance),
});
