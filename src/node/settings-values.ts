/** Creates clients, keys and options of a node's services from its settings. */
import { createHmac, randomBytes } from 'node:crypto';
import { readFileSync } from 'node:fs';
import type { GroupTiming } from '../core/group/options.js';
import type { SessionKeys } from '../core/session/index.js';
import { createFleetTags } from '../peer/fleet-tags.js';
import {
  DEFAULT_MACHINE_LIST_OPTIONS,
  MachineListClient,
} from '../platform/machine-list-client.js';
import { DEFAULT_STORE_CLIENT_OPTIONS, StoreClient } from '../platform/store-client.js';
import type { CallerTlsOptions } from '../postgres/caller/options.js';
import { parseEndpoint } from './endpoints.js';
import type { Settings } from './settings.js';

const SECRET_BYTES = 32;
/** The probe period of an idle group is this many times the normal one. */
const IDLE_PROBE_PERIOD_FACTOR = 5;

/** Creates the client of the store. */
export function createStore(settings: Settings): StoreClient {
  return new StoreClient({
    ...DEFAULT_STORE_CLIENT_OPTIONS,
    endpoint: parseEndpoint(settings.store.endpoints[0] ?? ''),
    clientName: settings.nodeId,
  });
}

/** Creates the client of the machine list. */
export function createMachineList(settings: Settings): MachineListClient {
  return new MachineListClient({
    ...DEFAULT_MACHINE_LIST_OPTIONS,
    endpoint: parseEndpoint(settings.machines.endpoint),
    clientName: settings.nodeId,
    random: Math.random,
  });
}

/** Returns the keys of session tokens; without any in the settings, generates one. */
export function sessionKeysOf(settings: Settings): SessionKeys {
  const [first, ...rest] = settings.session.keys.map((key) => ({
    id: key.id,
    secret: Buffer.from(key.secretHex, 'hex'),
  }));
  return [first ?? { id: 'local', secret: randomBytes(SECRET_BYTES) }, ...rest];
}

/** The same on all nodes, so that unknown users can't be detected by salts that differ. */
export function mockSecretOf([key]: SessionKeys): Buffer {
  return createHmac('sha256', key.secret).update('mock authentication').digest();
}

/** Periods and timeout of the probes of instances. */
export function probeTimingOf({ probe }: Settings): Partial<GroupTiming> {
  return {
    probePeriodMs: probe.intervalMs,
    idleProbePeriodMs: probe.intervalMs * IDLE_PROBE_PERIOD_FACTOR,
    fastProbePeriodMs: probe.suspectIntervalMs,
    probeTimeoutMs: probe.timeoutMs,
  };
}

/** Undefined: any process that can connect can impersonate a node. */
export function clusterSecretOf(settings: Settings): Buffer | undefined {
  const { secretHex } = settings.peer;
  return secretHex === undefined ? undefined : Buffer.from(secretHex, 'hex');
}

/** Empty if the settings have no session keys: nodes of other fleets are then not recognized. */
export function fleetTagsOf(settings: Settings): readonly string[] {
  return createFleetTags(settings.session.keys.map((key) => Buffer.from(key.secretHex, 'hex')));
}

/** TLS options for callers' connections; undefined if the settings have none. */
export function callerTlsOf(settings: Settings): CallerTlsOptions | undefined {
  const { tls } = settings.callers;
  if (tls === undefined) return undefined;
  return {
    certificate: readFileSync(tls.certificateFile, 'utf8'),
    privateKey: readFileSync(tls.keyFile, 'utf8'),
    required: tls.required,
  };
}
