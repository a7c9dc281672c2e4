/** The machine-list stand-in as a process: `node dist/standins/machines/main.js --help`. */
import { performance } from 'node:perf_hooks';
import { z } from 'zod';
import { machineSchema } from '../../src/platform/machine-schema.js';
import { controlRoute, createControlServer } from '../common/control-server.js';
import { ControlRequestError } from '../common/errors.js';
import { COMMON_FLAGS, hostFlag, portFlag, readFlags } from '../common/flags.js';
import { announcePorts, exitWithParent, listen } from '../common/process.js';
import { ServiceFaults, serviceFaultSettings } from '../common/service-faults.js';
import { MachineList } from './machine-list.js';
import { MachineListServer } from './server.js';

const PUBLISH_INTERVAL_MS = 10;

const flags = readFlags(
  {
    name: 'machines',
    summary:
      'stand-in for the list of live and leaving machines, which lags behind the actual state',
    flags: {
      ...COMMON_FLAGS,
      'lag-ms': { placeholder: 'MS', text: 'delay from a change to its publication (0)' },
    },
    examples: ['node dist/standins/machines/main.js --port 7100 --lag-ms 1500'],
  },
  z.object({
    host: hostFlag,
    port: portFlag,
    'control-port': portFlag,
    'lag-ms': z.coerce.number().min(0).default(0),
  }),
);

exitWithParent();
const list = new MachineList(flags['lag-ms']);
const service = new MachineListServer(list);
const port = await listen(service.server, flags.host, flags.port);
const faults = new ServiceFaults(service.server, flags.host, port);
service.connectFaults(faults);
setInterval(() => list.publishDue(performance.now()), PUBLISH_INTERVAL_MS);

const emptyBody = z.object({});
const machineKey = z.object({ role: z.enum(['proxy', 'database']), name: z.string().min(1) });
const claimBody = machineKey.extend({ state: z.enum(['live', 'leaving', 'absent']).nullable() });

function requireFound(found: boolean): void {
  if (!found) throw new ControlRequestError(404, 'no such machine');
}

const control = createControlServer([
  controlRoute('POST', '/machines', machineSchema, (machine) => {
    list.upsert(machine, performance.now());
  }),
  controlRoute('POST', '/machines/leaving', machineKey, (machine) => {
    requireFound(list.markLeaving(machine, performance.now()));
  }),
  controlRoute('POST', '/machines/remove', machineKey, (machine) => {
    requireFound(list.remove(machine, performance.now()));
  }),
  controlRoute('POST', '/claims', claimBody, ({ state, ...machine }) => {
    list.claim(machine, state ?? undefined);
  }),
  controlRoute('POST', '/malformed', z.object({ entries: z.array(z.unknown()) }), (body) => {
    list.setMalformed(body.entries);
  }),
  controlRoute('POST', '/lag', z.object({ lagMs: z.number().min(0) }), ({ lagMs }) => {
    list.setLag(lagMs);
  }),
  controlRoute('POST', '/freeze', z.object({ frozen: z.boolean() }), ({ frozen }) => {
    list.setFrozen(frozen);
  }),
  controlRoute('POST', '/faults', serviceFaultSettings, (settings) => faults.apply(settings)),
  controlRoute('GET', '/state', emptyBody, () => ({
    ...list.published(),
    actual: list.actual(),
    polls: service.polls,
  })),
]);
const controlPort = await listen(control, flags.host, flags['control-port']);
announcePorts({ service: 'machines', host: flags.host, port, controlPort });
