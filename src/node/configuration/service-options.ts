/** Options and status of the configuration service. */
import type { ConfigurationStatus } from '../../core/configuration/agent-contract.js';
import type { RandomSource } from '../../core/configuration/backoff.js';
import type { ConfigurationMember } from '../../core/configuration/relays.js';
import type { Milliseconds } from '../../core/units.js';
import type { PeerTransport } from '../../peer/contract.js';
import type { Store } from '../../platform/contract.js';

/** Dependencies of the service. */
export interface ConfigurationServiceOptions {
  readonly self: ConfigurationMember;
  readonly store: Store;
  readonly transport: PeerTransport;
  /** Live members, with or without this node. */
  readonly members: () => readonly ConfigurationMember[];
  readonly random: RandomSource;
  /** Monotonic clock in ms. */
  readonly now: () => Milliseconds;
}

/** Status of the agent, with the load on the store and the errors of store and peers. */
export interface ConfigurationServiceStatus extends ConfigurationStatus {
  readonly storeRequestsLastMinute: number;
  readonly storeErrors: number;
  readonly peerErrors: number;
}
