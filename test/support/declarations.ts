/** Declarations used by several tests. */
import {
  type LocatedDeclaration,
  parseDeclarations,
} from '../../src/core/configuration/declaration.js';

/** A verifier in the right format that matches no password. */
export const VERIFIER = `SCRAM-SHA-256$4096:${'A'.repeat(22)}==$${'B'.repeat(43)}=:${'C'.repeat(43)}=`;

export const TEMPLATE_YAML = `kind: Template
name: standard
parameters:
  databases: { type: databases, groups: [orders, glossary] }
  connections: { type: integer, default: 20, minimum: 1, maximum: 100 }
  staleness: { type: duration, default: 500ms, maximum: 5s }
policy:
  databaseRole: app
  databases: { parameter: databases }
  maxConnections: { parameter: connections }
  maxInFlight: 50
  maxQueued: 100
  maxBackendConnections: 10
  queueWeight: 1
  requestsPerSecond: 1000
  burst: 100
  requestKinds:
    lookup: { stalenessBoundMs: { parameter: staleness } }
`;

/** A tenant that uses `TEMPLATE_YAML`. */
export function tenantYaml(name: string, connections = 20, user = name): string {
  return `kind: Tenant
name: ${name}
template: standard
user: ${user}
scramVerifier: ${VERIFIER}
parameters:
  databases: [{ database: orders, group: orders }]
  connections: ${connections}
`;
}

/** Parses valid declarations. */
export function declared(...texts: readonly string[]): readonly LocatedDeclaration[] {
  const files = texts.map((text, index) => ({ source: `file${index + 1}.yaml`, text }));
  return parseDeclarations(files)._unsafeUnwrap();
}
