/**
 * The settings that environment variables and flags can set. The names of both are derived from the
 * field's path (`callers.port`: `MEADOWSTACK_CALLERS_PORT`, `--callers-port`).
 */
import type { FieldPath } from '../core/configuration/document.js';

/** How the text of a variable or flag is parsed. */
export type SettingType = 'string' | 'integer' | 'list' | 'keys' | 'roles';

/** One field that a variable or flag can set. */
export interface SettingField {
  /** Dotted path in the settings file. */
  readonly path: string;
  readonly type: SettingType;
  readonly description: string;
  /** Left out of `--help`. */
  readonly hidden?: boolean;
}

/** Every field that can be set outside the settings file. */
export const SETTING_FIELDS: readonly SettingField[] = [
  { path: 'nodeId', type: 'string', description: 'name of this node, unique in the fleet' },
  { path: 'zone', type: 'string', description: 'zone of this node' },
  { path: 'callers.host', type: 'string', description: 'address that callers connect to' },
  { path: 'callers.port', type: 'integer', description: 'port that callers connect to' },
  { path: 'callers.tls.keyFile', type: 'string', description: 'PEM file of the TLS key' },
  {
    path: 'callers.tls.certificateFile',
    type: 'string',
    description: 'PEM file of the TLS certificate chain',
  },
  { path: 'peer.host', type: 'string', description: 'address for links between proxies' },
  { path: 'peer.port', type: 'integer', description: 'port for links between proxies' },
  {
    path: 'peer.heartbeatMs',
    type: 'integer',
    description: 'interval of heartbeats on a link in use; lost after three without response',
  },
  { path: 'peer.secretHex', type: 'string', description: 'secret shared by all nodes' },
  { path: 'admin.host', type: 'string', description: 'address of the admin port' },
  { path: 'admin.port', type: 'integer', description: 'admin port' },
  { path: 'store.endpoints', type: 'list', description: 'URLs of the store, separated by commas' },
  { path: 'machines.endpoint', type: 'string', description: 'URL of the machine list' },
  {
    path: 'session.keys',
    type: 'keys',
    description: 'id:hex,… keys of session tokens, current first',
  },
  { path: 'backend.roles', type: 'roles', description: 'role=password,… for the back ends' },
  {
    path: 'backend.defaultPassword',
    type: 'string',
    description: 'password of all other back-end roles',
  },
  { path: 'backend.probeRole', type: 'string', description: 'role of the probes' },
  { path: 'backend.probeDatabase', type: 'string', description: 'database of the probes' },
  { path: 'backend.tls', type: 'string', description: 'disable, require or verify' },
  {
    path: 'backend.connectTimeoutMs',
    type: 'integer',
    description: 'timeout of a connection attempt',
  },
  {
    path: 'probe.intervalMs',
    type: 'integer',
    description: 'interval between probes of a healthy instance',
  },
  {
    path: 'probe.suspectIntervalMs',
    type: 'integer',
    description: 'interval between probes while the primary is suspected',
  },
  { path: 'probe.timeoutMs', type: 'integer', description: 'timeout of one probe' },
  { path: 'drainLimitMs', type: 'integer', description: 'time limit of a graceful shutdown' },
  {
    path: 'ownersPerGroup',
    type: 'integer',
    description: 'number of nodes that own a database group',
  },
  { path: 'confirmation', type: 'string', description: 'received or term' },
  { path: 'log.level', type: 'string', description: 'trace, debug, info, warn, error or silent' },
  { path: 'log.format', type: 'string', description: 'json or text' },
  { path: 'testPolicy', type: 'string', description: 'policy for measurements', hidden: true },
];

/** Returns the name of the environment variable: `MEADOWSTACK_CALLERS_PORT`. */
export function environmentName(field: SettingField): string {
  return `MEADOWSTACK_${splitIntoWords(field.path).join('_').toUpperCase()}`;
}

/** Returns the name of the flag without its dashes: `callers-port`. */
export function flagName(field: SettingField): string {
  return splitIntoWords(field.path).join('-').toLowerCase();
}

/** Returns the field's path as an array of keys. */
export function fieldPathOf(field: SettingField): FieldPath {
  return field.path.split('.');
}

/**
 * Parses a value for the schema to check; text that does not fit the type is returned unchanged.
 */
export function parseValue(text: string, type: SettingType): unknown {
  switch (type) {
    case 'string':
      return text;
    case 'integer':
      return /^-?\d+$/.test(text) ? Number(text) : text;
    case 'list':
      return splitList(text);
    case 'keys':
      return splitList(text).map((item) => parsePair(item, ':', 'id', 'secretHex'));
    case 'roles':
      return splitList(text).map((item) => parsePair(item, '=', 'role', 'password'));
  }
}

function splitList(text: string): string[] {
  return text
    .split(',')
    .map((item) => item.trim())
    .filter((item) => item !== '');
}

function parsePair(
  item: string,
  separator: string,
  firstName: string,
  secondName: string,
): Record<string, string> {
  const separatorIndex = item.indexOf(separator);
  if (separatorIndex < 0) return { [firstName]: item };
  return {
    [firstName]: item.slice(0, separatorIndex),
    [secondName]: item.slice(separatorIndex + separator.length),
  };
}

function splitIntoWords(path: string): string[] {
  return path.split('.').flatMap((step) => step.split(/(?=[A-Z])/));
}
