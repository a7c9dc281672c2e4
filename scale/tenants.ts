/** The synthetic configuration of a scale run: one template, many tenants, changes to single ones. */
import {
  type Declaration,
  type DeclarationKey,
  declarationSchema,
  keyOf,
} from '../src/core/configuration/declaration.js';
import type { StoredEntry } from '../src/core/configuration/store-layout.js';

const VERIFIER = `SCRAM-SHA-256$4096:${'A'.repeat(22)}==$${'B'.repeat(43)}=:${'C'.repeat(43)}=`;
/** Declared connection limits run through this many values, so that each change is one. */
const CONNECTION_VALUES = 90;

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

/** A declaration as the store holds it. */
export interface StoredDeclaration {
  readonly key: DeclarationKey;
  readonly value: string;
}

export function storedTemplate(): StoredDeclaration {
  return stored(TEMPLATE, 1);
}

/** Version `version` of tenant number `index`; each version has another connection limit. */
export function storedTenant(index: number, version: number): StoredDeclaration {
  const name = tenantName(index);
  const tenant = declarationSchema.parse({
    kind: 'Tenant',
    name,
    template: 'standard',
    user: name,
    scramVerifier: VERIFIER,
    parameters: {
      databases: [{ database: 'orders', group: `group-${index}` }],
      connections: 1 + (version % CONNECTION_VALUES),
    },
  });
  return stored(tenant, version);
}

export function tenantName(index: number): string {
  return `tenant-${index}`;
}

function stored(declaration: Declaration, version: number): StoredDeclaration {
  const entry: StoredEntry = { version, publishId: `publish-${version}`, declaration };
  return { key: keyOf(declaration), value: JSON.stringify(entry) };
}
