/** Command line of the platform stand-in. */
import { z } from 'zod';
import { InvalidFlagsError } from '../common/errors.js';
import { COMMON_FLAGS, hostFlag, type ProgramDescription, portFlag } from '../common/flags.js';

const milliseconds = (defaultValue: number) => z.coerce.number().min(0).default(defaultValue);
const count = (standard: number) => z.coerce.number().int().min(0).default(standard);

const serviceFlag = z.string().transform((text) => {
  const [, name, size] = /^([^=]+)=(\d+)$/.exec(text) ?? [];
  if (name === undefined) throw new InvalidFlagsError(`not NAME=INSTANCES: ${text}`);
  return { name, size: Number(size) };
});

export const directOptions = z.object({
  host: hostFlag,
  'control-port': portFlag,
  service: z.array(serviceFlag).default([{ name: 'orders', size: 3 }]),
  zones: z.string().default('zone-a,zone-b,zone-c'),
  slots: count(3),
  'queue-length': count(64),
  'max-connections': count(34),
  'sync-replicas': count(1),
  'work-ms': milliseconds(2),
  'connect-ms': milliseconds(3),
  'lag-ms': milliseconds(8),
  'network-ms': milliseconds(1),
  'promote-ms': milliseconds(300),
  'sync-timeout-ms': milliseconds(2000),
  'heartbeat-ms': milliseconds(300),
  'drain-timeout-ms': milliseconds(2000),
  'history-ms': milliseconds(20_000),
  'min-ttl-ms': count(1000),
  'value-bytes': count(1_048_576),
  'duty-per-s': count(50),
  'fencing-enforced': z.enum(['true', 'false']).default('false'),
  born: z.enum(['true', 'false']).default('true'),
});
export type DirectOptions = z.output<typeof directOptions>;

const flag = (placeholder: string, text: string) => ({ placeholder, text });

export const DIRECT_PROGRAM: ProgramDescription<keyof DirectOptions> = {
  name: 'direct',
  summary: 'stand-in for the platform of the direct gateway: store, database groups, promotion',
  flags: {
    host: COMMON_FLAGS.host,
    'control-port': COMMON_FLAGS['control-port'],
    service: { ...flag('NAME=INSTANCES', 'a database group (orders=3)'), multiple: true },
    zones: flag('LIST', 'zones of the instances, in turn (zone-a,zone-b,zone-c)'),
    slots: flag('N', 'statements that run concurrently on an instance (3)'),
    'queue-length': flag('N', 'statements that wait for a slot; further ones get BUSY (64)'),
    'max-connections': flag('N', 'connections of an instance; further ones get CONNLIMIT (34)'),
    'sync-replicas': flag('N', 'replicas that must receive a commit before it is acknowledged (1)'),
    'work-ms': flag('MS', 'execution time of a read, write or commit (2)'),
    'connect-ms': flag('MS', 'time for which a new connection occupies a slot (3)'),
    'lag-ms': flag('MS', 'time from receiving an entry to applying it (8)'),
    'network-ms': flag('MS', 'network delay between two instances (1)'),
    'promote-ms': flag('MS', 'duration of a promotion (300)'),
    'sync-timeout-ms': flag('MS', 'maximum wait for replicas; then TIMEOUT (2000)'),
    'heartbeat-ms': flag('MS', 'interval of the heartbeats from instances to the store (300)'),
    'drain-timeout-ms': flag('MS', 'time for which a draining instance still serves (2000)'),
    'history-ms': flag('MS', 'age at which the store compacts history (20000)'),
    'min-ttl-ms': flag('MS', 'shortest lease (1000)'),
    'value-bytes': flag('N', 'longest value in the store (1048576)'),
    'duty-per-s': flag('N', 'promotion calls per second; further ones get 429 (50)'),
    born: flag('BOOLEAN', 'whether registrations tell when an instance started (true)'),
    'fencing-enforced': flag('BOOLEAN', 'whether a lower fencing token is rejected (false)'),
  },
  examples: ['node dist/standins/direct/main.js --service orders=3 --service ledger=3'],
};
