/** Command line of the database stand-in. */
import { parseArgs } from 'node:util';
import { z } from 'zod';

const HELP = `Stand-in for one PostgreSQL instance of a replicating group of three.

  --name NAME              name of this instance (required)
  --group NAME             name of the group                      [group]
  --zone NAME              zone of this instance                  [zone]
  --host IP                address to listen on                   [127.0.0.1]
  --port N                 PostgreSQL port, 0 = ephemeral         [0]
  --control-port N         HTTP control port                      [0]
  --replication-port N     port for the other instances           [0]
  --peers LIST             name=host:replicationPort,...; or POST /peers
  --slots N                statements that run concurrently       [5]
  --max-connections N      further ones are refused with 53300    [60]
  --connection-delay-ms N  delay before AuthenticationOk          [0]
  --statement-ms N         service time of a statement            [0]
  --election-timeout-ms N  time without heartbeat before election [300]
  --heartbeat-ms N         interval of the primary's heartbeats   [50]
  --initial-primary NAME   instance that is primary of timeline 1 without election
  --system-identifier N    identifier of the database system, the same for all instances of a group [1]
  --seed N                 seed of the election's random timeouts [1]
  --user LIST              roles that may log in; empty = any
  --password TEXT          SCRAM-SHA-256 password; empty = trust
  --tls-key FILE, --tls-cert FILE   PEM files: offer TLS
  --exit-with-stdin        exit when standard input closes
`;

const nonNegativeInteger = z.coerce.number().int().min(0);

const OptionsSchema = z.object({
  name: z.string().min(1),
  group: z.string().default('group'),
  zone: z.string().default('zone'),
  host: z.string().default('127.0.0.1'),
  port: nonNegativeInteger.default(0),
  'control-port': nonNegativeInteger.default(0),
  'replication-port': nonNegativeInteger.default(0),
  peers: z.string().default(''),
  slots: nonNegativeInteger.min(1).default(5),
  'max-connections': nonNegativeInteger.min(1).default(60),
  'connection-delay-ms': nonNegativeInteger.default(0),
  'statement-ms': z.coerce.number().min(0).default(0),
  'election-timeout-ms': nonNegativeInteger.min(20).default(300),
  'heartbeat-ms': nonNegativeInteger.min(5).default(50),
  'initial-primary': z.string().optional(),
  'system-identifier': nonNegativeInteger.default(1),
  seed: z.coerce.number().int().default(1),
  user: z.string().default(''),
  password: z.string().default(''),
  'tls-key': z.string().optional(),
  'tls-cert': z.string().optional(),
  'exit-with-stdin': z.boolean().default(false),
});

export type DatabaseOptions = z.infer<typeof OptionsSchema>;

export interface PeerAddress {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

const FLAG_NAMES = Object.keys(OptionsSchema.shape);

/** Parses the flags; undefined after `--help`. @throws ZodError or TypeError if a flag is invalid. */
export function parseOptions(args: readonly string[]): DatabaseOptions | undefined {
  const options = Object.fromEntries(
    FLAG_NAMES.map((name) => [name, { type: flagType(name) }] as const),
  );
  const { values } = parseArgs({
    args: [...args],
    options: { ...options, help: { type: 'boolean' } },
  });
  if (values.help === true) {
    process.stdout.write(HELP);
    return undefined;
  }
  return OptionsSchema.parse(values);
}

function flagType(name: string): 'boolean' | 'string' {
  return name === 'exit-with-stdin' ? 'boolean' : 'string';
}

/** Parses `name=host:port,...`. */
export function parsePeers(list: string): PeerAddress[] {
  const items = list.split(',').filter((item) => item.trim() !== '');
  return items.map((item) => {
    const match = /^([^=]+)=([^:]+):(\d+)$/.exec(item.trim());
    const [, name, host, port] = match ?? [];
    return PeerAddressSchema.parse({ name, host, port: Number(port) });
  });
}

export const PeerAddressSchema = z.object({
  name: z.string().min(1),
  host: z.string().min(1),
  port: z.number().int().min(1).max(65_535),
});
