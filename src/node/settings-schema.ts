/**
 * The settings of a proxy process: their schema, bounds and defaults. With the defaults a single
 * node runs on loopback; docs/operations/settings.md lists them.
 */
import { hostname } from 'node:os';
import { z } from 'zod';
import { DEFAULT_POLICY, TEST_POLICIES } from './test-policy.js';

const DEFAULT_CALLERS_PORT = 6432;
const DEFAULT_PEER_PORT = 7432;
const DEFAULT_ADMIN_PORT = 9432;
const DEFAULT_LINK_HEARTBEAT_MS = 300;
const DEFAULT_CONNECT_TIMEOUT_MS = 2000;
const DEFAULT_PROBE_INTERVAL_MS = 100;
const DEFAULT_SUSPECT_PROBE_INTERVAL_MS = 20;
const DEFAULT_PROBE_TIMEOUT_MS = 100;
const DEFAULT_DRAIN_LIMIT_MS = 30_000;
const DEFAULT_OWNERS_PER_GROUP = 2;
const MAX_OWNERS_PER_GROUP = 8;
const MAX_DURATION_MS = 3_600_000;
const MIN_SECRET_BYTES = 32;
const MAX_SECRET_BYTES = 64;

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, {
  error: 'expected a name of letters, digits, dot, dash and underscore, at most 63 characters',
});
const host = z.string().min(1).max(253);
const port = z.int().min(0).max(65_535);
const durationMs = z.int().min(1).max(MAX_DURATION_MS);
const endpoint = z.url({
  protocol: /^http$/,
  error: 'expected a URL such as http://127.0.0.1:2379 (https is not supported)',
});
const secretHex = z
  .string()
  .regex(new RegExp(`^(?:[0-9a-fA-F]{2}){${MIN_SECRET_BYTES},${MAX_SECRET_BYTES}}$`), {
    error: `expected ${MIN_SECRET_BYTES} to ${MAX_SECRET_BYTES} bytes in hexadecimal`,
  });

const callerTls = z.strictObject({
  /** PEM file of the private key; relative to the working directory. */
  keyFile: z.string().min(1),
  /** PEM file of the certificate chain. */
  certificateFile: z.string().min(1),
  /** Refuses log-ins over plain TCP; in the settings file only. */
  required: z.boolean().default(false),
});

const callers = z.strictObject({
  host: host.default('127.0.0.1'),
  /** 0 lets the system choose. */
  port: port.default(DEFAULT_CALLERS_PORT),
  /** Absent: callers connect in plain text. */
  tls: callerTls.optional(),
});

const peer = z.strictObject({
  host: host.default('127.0.0.1'),
  /** TCP and UDP. */
  port: port.default(DEFAULT_PEER_PORT),
  /** Heartbeat period: a link in use counts as lost after three periods without a byte. */
  heartbeatMs: durationMs.default(DEFAULT_LINK_HEARTBEAT_MS),
  /** Shared by all nodes. Absent: any process that can connect can impersonate a node. */
  secretHex: secretHex.optional(),
});

const admin = z.strictObject({
  host: host.default('127.0.0.1'),
  port: port.default(DEFAULT_ADMIN_PORT),
});

const store = z.strictObject({
  endpoints: z.array(endpoint).min(1).default(['http://127.0.0.1:2379']),
});

const machines = z.strictObject({ endpoint: endpoint.default('http://127.0.0.1:8600') });

const sessionKey = z.strictObject({
  /** Names the key inside a token, whose parts are separated by dots. */
  id: name.refine((id) => !id.includes('.'), { error: 'expected a key id without a dot' }),
  secretHex,
});

const session = z.strictObject({
  /**
   * Keys of session tokens, the same on every node; the first signs, all verify. Empty: the node
   * generates a key at start, and its tokens are valid on that node only.
   */
  keys: z.array(sessionKey).refine(haveUniqueIds, { error: 'expected unique key ids' }).default([]),
});

const backendRole = z.strictObject({ role: z.string().min(1), password: z.string() });

const backend = z.strictObject({
  /** Passwords of database roles. */
  roles: z.array(backendRole).default([]),
  /** Password of roles that are not in `roles`. */
  defaultPassword: z.string().default(''),
  /** Role and database of the probes' connections; the role needs `pg_monitor`. */
  probeRole: z.string().min(1).default('meadowstack'),
  probeDatabase: z.string().min(1).default('postgres'),
  /**
   * `disable`: plain text; `require`: TLS, any certificate; `verify`: certificate and name checked.
   */
  tls: z.enum(['disable', 'require', 'verify']).default('disable'),
  connectTimeoutMs: durationMs.default(DEFAULT_CONNECT_TIMEOUT_MS),
});

const probe = z.strictObject({
  /** Interval between probes of a healthy instance; five times as long while the group is idle. */
  intervalMs: durationMs.default(DEFAULT_PROBE_INTERVAL_MS),
  /** Interval between probes while the primary is suspected. */
  suspectIntervalMs: durationMs.default(DEFAULT_SUSPECT_PROBE_INTERVAL_MS),
  timeoutMs: durationMs.default(DEFAULT_PROBE_TIMEOUT_MS),
});

const log = z.strictObject({
  level: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info'),
  format: z.enum(['json', 'text']).default('text'),
});

/** Checks settings and fills in the defaults. */
export const settingsSchema = z.strictObject({
  /** Unique in the fleet. Default: host name and process id. */
  nodeId: name.default(() => `${hostname().slice(0, 50)}-${process.pid}`),
  zone: name.default('default'),
  callers: callers.prefault({}),
  peer: peer.prefault({}),
  admin: admin.prefault({}),
  store: store.prefault({}),
  machines: machines.prefault({}),
  session: session.prefault({}),
  backend: backend.prefault({}),
  probe: probe.prefault({}),
  /** Time that open transactions have to finish during a graceful shutdown. */
  drainLimitMs: z.int().min(0).max(MAX_DURATION_MS).default(DEFAULT_DRAIN_LIMIT_MS),
  ownersPerGroup: z.int().min(1).max(MAX_OWNERS_PER_GROUP).default(DEFAULT_OWNERS_PER_GROUP),
  /** How an acknowledgement is confirmed; see `ConfirmationMode` of the group state machine. */
  confirmation: z.enum(['received', 'term']).default('received'),
  log: log.prefault({}),
  /** Policy for measurements; see test-policy.ts. Never set it in production. */
  testPolicy: z.enum(TEST_POLICIES).default(DEFAULT_POLICY),
});

/** Settings of a proxy process, with all defaults filled in. */
export type Settings = z.output<typeof settingsSchema>;

/** How back-end connections are opened. */
export type BackendSettings = Settings['backend'];

function haveUniqueIds(keys: readonly { readonly id: string }[]): boolean {
  return new Set(keys.map((key) => key.id)).size === keys.length;
}
