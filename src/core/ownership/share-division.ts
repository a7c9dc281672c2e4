/** How a granter divides a connection limit among the holders. Pure functions of their requests and shares. */

/** What a granter knows of a holder other than the requesting one. */
export interface OtherHolder {
  readonly wanted: number;
  readonly needed: number;
  readonly inUse: number;
  /** Maximum number of connections that it may assume it has. */
  readonly held: number;
  /** Connections that remained to it, of those in use, when the limit was last lowered. */
  readonly loweredShare: number | undefined;
}

/** Input of a division. */
export interface DivisionInput {
  readonly leasable: number;
  /** Connections that the requesting holder wants, needs, holds, and uses. */
  readonly wanted: number;
  readonly needed: number;
  readonly holding: number;
  readonly inUse: number;
  readonly others: readonly OtherHolder[];
}

/** Computes the requesting holder's connections; the granter caps the result at what is available. */
export type ShareDivision = (input: DivisionInput) => number;

/** Gives each holder an equal share, and in addition the connections that the others don't want. */
export function divideEvenly({ leasable, others }: DivisionInput): number {
  const fair = Math.floor(leasable / (others.length + 1));
  const claimed = others.reduce((sum, { wanted }) => sum + Math.min(wanted, fair), 0);
  return Math.max(fair, leasable - claimed);
}

/**
 * Connections in use stay with their holder. Needs come first, each up to an equal share; reserves are
 * granted only from connections that no holder needs.
 */
export function divideKeepingInUse(input: DivisionInput): number {
  const { leasable, needed, holding, inUse, others } = input;
  const fair = Math.floor(leasable / (others.length + 1));
  const claimed = others.reduce((sum, other) => sum + Math.min(other.needed, fair), 0);
  const allNeeded = others.reduce((sum, other) => sum + other.needed, needed);
  const forNeeds = Math.min(needed, Math.max(fair, leasable - claimed));
  const reserve = Math.floor(Math.max(0, leasable - allNeeded) / (others.length + 1));
  return Math.max(forNeeds + reserve, Math.min(inUse, holding));
}

/** True if the holders have more than the leasable connections, which happens only after the limit was lowered. */
export function isOverLimit(input: DivisionInput): boolean {
  return input.holding > unheldConnections(input);
}

function unheldConnections({ leasable, others }: DivisionInput): number {
  return others.reduce((left, { held }) => left - held, leasable);
}

/** Maximum number of connections for the requesting holder, given what the others hold. */
export function availableConnections(input: DivisionInput, loweredShare = 0): number {
  const unheld = unheldConnections(input);
  return isOverLimit(input) ? Math.max(unheld, Math.min(input.holding, loweredShare)) : unheld;
}

/**
 * The requesting holder's share of a limit that is lower than the connections held: proportional to the
 * connections in use, and without those that remain or will remain to the other holders.
 */
export function shareOfLoweredLimit({ leasable, inUse, others }: DivisionInput): number {
  const allInUse = others.reduce((sum, other) => sum + other.inUse, inUse);
  const partOf = (used: number): number => (allInUse === 0 ? 0 : (used * leasable) / allInUse);
  const leftToOthers = others.reduce(
    (sum, other) => sum + (other.loweredShare ?? Math.floor(partOf(other.inUse))),
    0,
  );
  return Math.max(0, Math.min(inUse, Math.ceil(partOf(inUse)), leasable - leftToOthers));
}
