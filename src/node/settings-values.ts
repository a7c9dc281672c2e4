/** What the parts of a node are made with, worked out from its settings. */
import { createHmac, randomBytes } from 'node:crypto';
import { readFileSync } from 'node:fs';
import type { GroupTiming } from '../core/group/options.js';
import type { SessionKeys } from '../core/session/index.js';
import {
  DEFAULT_MACHINE_LIST_OPTIONS,
  MachineListClient,
} from '../platform/machine-list-client.js';
import { DEFAULT_STORE_CLIENT_OPTIONS, StoreClient } from '../platform/store-client.js';
import type { CallerTlsOptions } from '../postgres/caller/options.js';
import { endpointOf } from './endpoints.js';
import type { Settings } from './settings.js';

const SECRET_BYTES = 32;
/** Quiet groups are probed this many times more slowly. */
const QUIET_PROBE_FACTOR = 5;

/** The store's client. */
export function createStore(settings: Settings): StoreClient {
  return new StoreClient({
    ...DEFAULT_STORE_CLIENT_OPTIONS,
    endpoint: endpointOf(settings.store.endpoints[0] ?? ''),
    clientName: settings.nodeId,
  });
}

/** The machine list's client. */
export function createMachineList(settings: Settings): MachineListClient {
  return new MachineListClient({
    ...DEFAULT_MACHINE_LIST_OPTIONS,
    endpoint: endpointOf(settings.machines.endpoint),
    clientName: settings.nodeId,
    random: Math.random,
  });
}

/** Keys of session tokens; a node without any makes one of its own. */
export function sessionKeysOf(settings: Settings): SessionKeys {
  const [first, ...rest] = settings.session.keys.map((key) => ({
    id: key.id,
    secret: Buffer.from(key.secretHex, 'hex'),
  }));
  return [first ?? { id: 'local', secret: randomBytes(SECRET_BYTES) }, ...rest];
}

/** The same on all nodes, so that unknown users can't be told by salts that differ. */
export function mockSecretOf([key]: SessionKeys): Buffer {
  return createHmac('sha256', key.secret).update('mock authentication').digest();
}

/** How often instances are probed. */
export function probeTimingOf({ probe }: Settings): Partial<GroupTiming> {
  return {
    probePeriodMs: probe.intervalMs,
    idleProbePeriodMs: probe.intervalMs * QUIET_PROBE_FACTOR,
    fastProbePeriodMs: probe.suspectIntervalMs,
    probeTimeoutMs: probe.timeoutMs,
  };
}

/** Undefined: any process that can connect may pose as a node. */
export function clusterSecretOf(settings: Settings): Buffer | undefined {
  const { secretHex } = settings.peer;
  return secretHex === undefined ? undefined : Buffer.from(secretHex, 'hex');
}

/** TLS towards callers; undefined if the settings name none. */
export function callerTlsOf(settings: Settings): CallerTlsOptions | undefined {
  const { tls } = settings.callers;
  if (tls === undefined) return undefined;
  return {
    certificate: readFileSync(tls.certificateFile, 'utf8'),
    privateKey: readFileSync(tls.keyFile, 'utf8'),
    required: tls.required,
  };
}
