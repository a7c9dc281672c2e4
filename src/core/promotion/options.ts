/** Options of the promotion state machine. */

import type { InstanceEntry } from '../../direct/contract.js';
import type { PeerAddress } from '../../peer/contract.js';
import type { Milliseconds } from '../units.js';
import type { PromotionMechanism } from './contract.js';
import type { PeerLocation } from './records.js';

/** Timeouts, delays and periods; the defaults suit a store that responds within about ten milliseconds. */
export interface PromotionTimings {
  /** Time to live of a node's lease. */
  readonly leaseSeconds: number;
  /** A node treats its lease as expired this long before it can expire at the store. */
  readonly leaseSafetyMarginMs: Milliseconds;
  readonly leaseRenewPeriodMs: Milliseconds;
  /** Time without a response after which a renewal is sent again. */
  readonly leaseRetryAfterMs: Milliseconds;
  /** Timeout of a call to the store; an abandoned call may still take effect. */
  readonly storeTimeoutMs: Milliseconds;
  readonly storeRetryDelayMs: Milliseconds;
  /** Time after its start at which a node that is not registered yet reads the records without waiting further. */
  readonly unregisteredReadDelayMs: Milliseconds;
  /** Maximum random delay before a node that sees no leader tries to become leader. */
  readonly maxElectionDelayMs: Milliseconds;
  /** Time for which a leader that resigned because it reached no member does not stand again. */
  readonly candidacyCooldownMs: Milliseconds;
  /** Minimum time from a leader's promotion call to the handover of its leadership. */
  readonly minHandoverDelayMs: Milliseconds;
  readonly probePeriodMs: Milliseconds;
  readonly probeTimeoutMs: Milliseconds;
  /** Delay before a refused connection is tried once more. */
  readonly probeRetryDelayMs: Milliseconds;
  /** Duration of failures without a success after which a node suspects a primary. */
  readonly suspectAfterMs: Milliseconds;
  /** Minimum period between the suspicions that a node writes for one service. */
  readonly suspicionPeriodMs: Milliseconds;
  /** Time after a primary change during which suspicions start no other one. */
  readonly suspicionCooldownMs: Milliseconds;
  /**
   * Time after which a primary whose registration is gone, with the store available, is replaced.
   * Registrations that expired during an outage of the store are back about two seconds after it ends,
   * which may be half a second after the last failed call.
   */
  readonly missingEntryReplaceAfterMs: Milliseconds;
  /** Time without a heartbeat after which the registration of an instance has certainly expired. */
  readonly registrationExpiryMs: Milliseconds;
  /** Time for which an instance whose registration is gone, with the store available, is still used. */
  readonly missingEntryUsableMs: Milliseconds;
  /** Time after which a member that is not registered and does not respond counts as dead. */
  readonly memberDeadAfterMs: Milliseconds;
  /** Period at which calls that hold replicas or demote the old primary are repeated. */
  readonly holdRetryPeriodMs: Milliseconds;
  /** Maximum age of responses to these calls that count when the promotion is called. */
  readonly evidenceMaxAgeMs: Milliseconds;
  readonly controlTimeoutMs: Milliseconds;
  /** Time that a planned primary change waits for acknowledgements before it stops the old primary. */
  readonly plannedChangeGraceMs: Milliseconds;
  /** Maximum wait for a better candidate than a draining instance or the old primary itself. */
  readonly betterCandidateWaitMs: Milliseconds;
  /** Time after which a node acknowledges a change even if writes to the old primary are in flight. */
  readonly endUseTimeoutMs: Milliseconds;
  /** Time that a node waits for the old primary's response to its demotion before it acknowledges. */
  readonly demoteWaitMs: Milliseconds;
  readonly promoteTimeoutMs: Milliseconds;
  /** Minimum remaining lease time of the leader at the start of a promotion call. */
  readonly promoteMinLeaseLeftMs: Milliseconds;
  /** Delay from the call to the first check of the candidate, and the period of further checks. */
  readonly confirmFirstDelayMs: Milliseconds;
  readonly confirmPeriodMs: Milliseconds;
  /** Time after which a call that has taken no effect is repeated. */
  readonly promoteRetryAfterMs: Milliseconds;
  readonly promoteBusyRetryMs: Milliseconds;
  /** Time after its end from which a promotion call that arrived or was recalled can no longer take effect. */
  readonly callSettledMs: Milliseconds;
  /** Time for which a partition may hold up a call whose sender has ended without a reset of its connection. */
  readonly heldUpCallMs: Milliseconds;
  /** Time without progress during a primary change after which the leader resigns. */
  readonly resignAfterMs: Milliseconds;
  /** Period at which missing acknowledgements are read again. */
  readonly acknowledgementRereadMs: Milliseconds;
  readonly heldCheckPeriodMs: Milliseconds;
  /** Delay before the last check, after a change, whether a replica is held. */
  readonly heldFinalCheckDelayMs: Milliseconds;
}

export const DEFAULT_PROMOTION_TIMINGS: PromotionTimings = {
  leaseSeconds: 2,
  leaseSafetyMarginMs: 500,
  leaseRenewPeriodMs: 700,
  leaseRetryAfterMs: 350,
  storeTimeoutMs: 1000,
  storeRetryDelayMs: 150,
  unregisteredReadDelayMs: 100,
  maxElectionDelayMs: 120,
  candidacyCooldownMs: 5000,
  minHandoverDelayMs: 3000,
  probePeriodMs: 400,
  probeTimeoutMs: 220,
  probeRetryDelayMs: 100,
  suspectAfterMs: 400,
  suspicionPeriodMs: 1000,
  suspicionCooldownMs: 3000,
  missingEntryReplaceAfterMs: 2600,
  registrationExpiryMs: 4600,
  missingEntryUsableMs: 5000,
  memberDeadAfterMs: 15_000,
  holdRetryPeriodMs: 150,
  evidenceMaxAgeMs: 600,
  controlTimeoutMs: 300,
  plannedChangeGraceMs: 500,
  betterCandidateWaitMs: 700,
  endUseTimeoutMs: 400,
  demoteWaitMs: 40,
  promoteTimeoutMs: 1000,
  promoteMinLeaseLeftMs: 400,
  confirmFirstDelayMs: 250,
  confirmPeriodMs: 40,
  promoteRetryAfterMs: 1500,
  promoteBusyRetryMs: 200,
  callSettledMs: 5000,
  heldUpCallMs: 120_000,
  resignAfterMs: 2500,
  acknowledgementRereadMs: 300,
  heldCheckPeriodMs: 250,
  heldFinalCheckDelayMs: 3000,
};

export interface PromotionOptions {
  readonly nodeName: string;
  /** Identifies this run of the process; differs with every start. */
  readonly incarnation: string;
  readonly timings: PromotionTimings;
  /** Address at which this node serves its directory to other nodes. */
  readonly directoryAt?: PeerAddress | undefined;
  /** Zone and address of this node for other nodes; absent if they can't reach it. */
  readonly peer?: PeerLocation | undefined;
  /** Bandwidth of this node's network link, if known. */
  readonly linkMbps?: number | undefined;
  /** Larger fleets share connections through owners; by default the instances' limits decide. */
  readonly largestDirectFleet?: number | undefined;
  /** Fleet size from which a few nodes read the store for the others. */
  readonly smallestReaderFleet?: number | undefined;
  /** Whether tenants have quotas, which some of the nodes keep. */
  readonly hasQuotas?: boolean | undefined;
  /** The whole system starts for the first time: the store holds no record of the fleet yet. */
  readonly isFirstStart?: boolean | undefined;
  /** Whether this node may open connections to an instance; by default it may. */
  readonly mayConnect?: ((instance: InstanceEntry) => boolean) | undefined;
  /** Returns random numbers in [0, 1). */
  readonly random: () => number;
  /** Mechanisms that are switched off; for tests only. */
  readonly disabled?: ReadonlySet<PromotionMechanism>;
}
