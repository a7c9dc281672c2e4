/**
 * How a fleet whose nodes each connect to every instance by themselves comes back at once.
 *
 * The load: all nodes lose power and start again a second later. An instance drops connections whose far ends are dark
 * only after some seconds, so that the connections of two generations stand beside each other. A fleet that does not fit
 * twice finds room for some of its nodes, and these alone could serve until the old connections are dropped. So a node
 * that comes back reaches instances through a few owners at first.
 */
import { RESERVED_CONNECTIONS } from '../ownership/connection-sharing.js';
import type { Milliseconds } from '../units.js';

/** Connections of one node at an instance: those of its process before, and those of the one that replaces it. */
const GENERATIONS = 2;
/**
 * Fleets up to this size come back without owners. With two owners and a spare one of each instance, too large a part of
 * a small fleet depends on each of them.
 */
export const LARGEST_FLEET_WITHOUT_OWNERS = 23;
/** An instance drops connections whose far ends are dark after 3 s. */
const LEFT_BEHIND_MS: Milliseconds = 3500;
/** Nodes that started together open connections of their own spread over this time. */
const SPREAD_MS: Milliseconds = 1000;

/** The most nodes that come back by themselves, where each instance takes `maxConnections`. */
export function largestReturningMesh(maxConnections: number): number {
  const fittingTwice = Math.floor((maxConnections - RESERVED_CONNECTIONS) / GENERATIONS);
  return Math.min(maxConnections, Math.max(LARGEST_FLEET_WITHOUT_OWNERS, fittingTwice));
}

/** A process, as far as its return goes. */
export interface StartedProcess {
  readonly startedAt: Milliseconds;
  /** No process ran here before. */
  readonly isFirstStart: boolean;
  /** In [0, 1), the same for as long as the process runs. */
  readonly spread: number;
}

/** Whether a process is to use the owners of a return: what it replaces may have left connections behind. */
export function isReturning(
  { startedAt, isFirstStart, spread }: StartedProcess,
  now: Milliseconds,
): boolean {
  return !isFirstStart && now - startedAt < LEFT_BEHIND_MS + spread * SPREAD_MS;
}
