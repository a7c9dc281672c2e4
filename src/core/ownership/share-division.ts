/** How a granter divides a limit among the holders that ask it. Pure functions of what it knows. */

/** What a granter knows of the other holders when it divides the connections. */
export interface OtherHolder {
  readonly wanted: number;
  readonly needed: number;
  readonly inUse: number;
  /** The most that it may believe to have. */
  readonly held: number;
  /** What the granter left to it of what it used when the limit was last lowered. */
  readonly loweredTo: number | undefined;
}

/** What a granter knows when it divides the connections. */
export interface DivisionInput {
  readonly leasable: number;
  /** What the asking holder wants, needs, has, and uses. */
  readonly wanted: number;
  readonly needed: number;
  readonly holding: number;
  readonly inUse: number;
  readonly others: readonly OtherHolder[];
}

/** Connections for the asking holder; the granter never lets them exceed what is free. */
export type ShareDivision = (input: DivisionInput) => number;

/** An equal share to each holder, and beyond it what the others don't want. */
export function divideEvenly({ leasable, others }: DivisionInput): number {
  const fair = Math.floor(leasable / (others.length + 1));
  const claimed = others.reduce((sum, { wanted }) => sum + Math.min(wanted, fair), 0);
  return Math.max(fair, leasable - claimed);
}

/**
 * What is in use stays with its holder. Needs come first, each up to an equal share; reserves are
 * given only from what nobody needs.
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

/** Only after the limit was lowered. */
export function isOverLimit(input: DivisionInput): boolean {
  return input.holding > unheldOf(input);
}

function unheldOf({ leasable, others }: DivisionInput): number {
  return others.reduce((left, { held }) => left - held, leasable);
}

/** Connections that the asking holder may have beside the others. */
export function freeOf(input: DivisionInput, loweredTo = 0): number {
  const unheld = unheldOf(input);
  return isOverLimit(input) ? Math.max(unheld, Math.min(input.holding, loweredTo)) : unheld;
}

/**
 * The asking holder's part of a limit that is lower than what is out: in proportion to what is in
 * use, and beside what the others were left or will be left.
 */
export function partOfLoweredLimit({ leasable, inUse, others }: DivisionInput): number {
  const allInUse = others.reduce((sum, other) => sum + other.inUse, inUse);
  const partOf = (used: number): number => (allInUse === 0 ? 0 : (used * leasable) / allInUse);
  const leftToOthers = others.reduce(
    (sum, other) => sum + (other.loweredTo ?? Math.floor(partOf(other.inUse))),
    0,
  );
  return Math.max(0, Math.min(inUse, Math.ceil(partOf(inUse)), leasable - leftToOthers));
}
