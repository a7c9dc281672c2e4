/** What the data path needs to know of primaries, whoever finds it out. */
import type { Milliseconds } from '../core/units.js';
import type { InstanceEntry } from './contract.js';

export interface PrimaryView {
  /** The instance that takes writes now, or none while that changes or is unknown. */
  primaryOf(service: string): InstanceEntry | undefined;
  /** True if what the primary answers at `now` is surely not the answer of a deposed one. */
  mayTrustPrimary(service: string, now: Milliseconds): boolean;
  /** A request could not reach the primary, or a write got no answer there in time. */
  reportPrimaryFailure(service: string, now: Milliseconds): void;
  reportPrimarySuccess(service: string, now: Milliseconds): void;
  /** Nodes that share the instances' connections. */
  liveNodeCount(): number;
}
