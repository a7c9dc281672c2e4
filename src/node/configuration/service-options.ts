/** What the configuration service is built with and what it tells of itself. */
import type { ConfigurationStatus } from '../../core/configuration/agent-contract.js';
import type { RandomSource } from '../../core/configuration/backoff.js';
import type { ConfigurationMember } from '../../core/configuration/relays.js';
import type { Milliseconds } from '../../core/units.js';
import type { PeerTransport } from '../../peer/contract.js';
import type { Store } from '../../platform/contract.js';

/** What the service is built with. */
export interface ConfigurationServiceOptions {
  readonly self: ConfigurationMember;
  readonly store: Store;
  readonly transport: PeerTransport;
  /** Live members; whether this node is among them does not matter. */
  readonly members: () => readonly ConfigurationMember[];
  readonly random: RandomSource;
  /** Monotonic clock in ms. */
  readonly now: () => Milliseconds;
}

/** What `status` shows, with the load on the store. */
export interface ConfigurationServiceStatus extends ConfigurationStatus {
  readonly storeRequestsLastMinute: number;
  readonly storeErrors: number;
  readonly peerErrors: number;
}
