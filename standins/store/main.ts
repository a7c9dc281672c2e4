/** The store stand-in as a process: `node dist/standins/store/main.js --help`. */
import { performance } from 'node:perf_hooks';
import { z } from 'zod';
import { controlRoute, createControlServer } from '../common/control-server.js';
import { COMMON_FLAGS, hostFlag, portFlag, readFlags } from '../common/flags.js';
import { announcePorts, exitWithParent, listen } from '../common/process.js';
import { ServiceFaults } from '../common/service-faults.js';
import { StoreEngine } from './engine.js';
import { StoreFaults, storeFaultSettings } from './faults.js';
import { StoreGateway } from './gateway.js';
import { RequestCounters } from './request-counters.js';

const LEASE_CHECK_INTERVAL_MS = 50;

const flags = readFlags(
  {
    name: 'store',
    summary: "stand-in for the key-value store, with the API of etcd v3's JSON gateway",
    flags: {
      ...COMMON_FLAGS,
      'progress-interval-ms': {
        placeholder: 'MS',
        text: 'interval of progress notifications for watches with progress_notify (1000)',
      },
    },
    examples: ['node dist/standins/store/main.js --port 2379 --control-port 2380'],
  },
  z.object({
    host: hostFlag,
    port: portFlag,
    'control-port': portFlag,
    'progress-interval-ms': z.coerce.number().int().positive().default(1000),
  }),
);

exitWithParent();
const engine = new StoreEngine();
const storeFaults = new StoreFaults();
const counters = new RequestCounters();
const gateway = new StoreGateway(engine, storeFaults, counters, flags['progress-interval-ms']);
const port = await listen(gateway.server, flags.host, flags.port);
const serviceFaults = new ServiceFaults(gateway.server, flags.host, port);
gateway.connectFaults(serviceFaults);
setInterval(() => engine.expireLeases(performance.now()), LEASE_CHECK_INTERVAL_MS);

const emptyBody = z.object({});
const control = createControlServer([
  controlRoute('POST', '/faults', storeFaultSettings, (settings) => {
    storeFaults.apply(settings, performance.now());
    return serviceFaults.apply(settings);
  }),
  controlRoute('POST', '/compact', z.object({ revision: z.int().optional() }), ({ revision }) => {
    engine.compact(revision ?? engine.revision);
    return { compactedRevision: engine.compactedRevision };
  }),
  controlRoute('POST', '/leases/expire', z.object({ id: z.string().optional() }), ({ id }) => {
    const ids = id === undefined ? engine.leaseIds() : [id];
    for (const leaseId of ids) engine.revokeLease(leaseId);
    return { expired: ids };
  }),
  controlRoute('GET', '/counters', emptyBody, () => ({ counters: counters.list() })),
  controlRoute('POST', '/counters/reset', emptyBody, () => counters.reset()),
  controlRoute('GET', '/state', emptyBody, () => ({
    revision: engine.revision,
    compactedRevision: engine.compactedRevision,
    leases: engine.leaseIds(),
    watches: gateway.watchCount,
  })),
]);
const controlPort = await listen(control, flags.host, flags['control-port']);
announcePorts({ service: 'store', host: flags.host, port, controlPort });
