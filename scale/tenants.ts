/** The synthetic configuration of a scale run: one template, many tenants, and changes to single tenants. */
import {
  type Declaration,
  type DeclarationKey,
  declarationSchema,
  keyOf,
} from '../src/core/configuration/declaration.js';
import type { StoredEntry } from '../src/core/configuration/store-layout.js';

const VERIFIER = `SCRAM-SHA-256$4096:${'A'.repeat(22)}==$${'B'.repeat(43)}=:${'C'.repeat(43)}=`;
/** Connection limits cycle through this number of values, so that each version differs from the last. */
const CONNECTION_LIMIT_VALUES = 90;

const TEMPLATE = declarationSchema.parse({
  kind: 'Template',
  name: 'standard',
  parameters: {
    databases: { type: 'databases' },
    connections: { type: 'integer', default: 20, minimum: 1, maximum: 100 },
    staleness: { type: 'duration', default: '500ms', maximum: '5s' },
  },
  policy: {
    databaseRole: 'app',
    databases: { parameter: 'databases' },
    maxConnections: { parameter: 'connections' },
    maxInFlight: 50,
    maxQueued: 100,
    maxBackendConnections: 10,
    queueWeight: 1,
    requestsPerSecond: 1000,
    burst: 100,
    requestKinds: { lookup: { stalenessBoundMs: { parameter: 'staleness' } } },
  },
});

/** A declaration in its stored form. */
export interface StoredDeclaration {
  readonly key: DeclarationKey;
  readonly value: string;
}

export function createTemplate(): StoredDeclaration {
  return toStoredDeclaration(TEMPLATE, 1);
}

/** Builds one version of a tenant; consecutive versions differ in the connection limit. */
export function createTenant(index: number, version: number): StoredDeclaration {
  const name = tenantName(index);
  const tenant = declarationSchema.parse({
    kind: 'Tenant',
    name,
    template: 'standard',
    user: name,
    scramVerifier: VERIFIER,
    parameters: {
      databases: [{ database: 'orders', group: `group-${index}` }],
      connections: 1 + (version % CONNECTION_LIMIT_VALUES),
    },
  });
  return toStoredDeclaration(tenant, version);
}

export function tenantName(index: number): string {
  return `tenant-${index}`;
}

function toStoredDeclaration(declaration: Declaration, version: number): StoredDeclaration {
  const entry: StoredEntry = { version, publishId: `publish-${version}`, declaration };
  return { key: keyOf(declaration), value: JSON.stringify(entry) };
}
