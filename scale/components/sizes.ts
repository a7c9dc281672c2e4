/** The size for which the system is designed. */
export const DESIGN_SIZE = {
  nodes: 4600,
  groups: 15_000,
  instancesPerGroup: 3,
  clientConnections: 44_000_000,
  statementsPerSecond: 50_000_000,
  primaryChangesPerDay: 15,
  configurationChangesPerDay: 38_000,
  failuresPerDay: 24,
  replacementsPerDay: 1600,
  zones: 18,
} as const;

export const CONNECTIONS_PER_NODE = Math.ceil(DESIGN_SIZE.clientConnections / DESIGN_SIZE.nodes);
