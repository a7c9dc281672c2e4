/** A node's access to the configuration in the store: reads, the watch and the relay lease. */
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import { RELAY_LEASE_SECONDS, type RelayLease } from '../../core/configuration/relay-role.js';
import { RELAYS_PER_ZONE } from '../../core/configuration/relays.js';
import type { ConfigurationDelta } from '../../core/configuration/replica.js';
import {
  CURRENT_PREFIX,
  HEAD_KEY,
  relayKeyOf,
  relayPrefixOf,
  toConfigurationEntries,
} from '../../core/configuration/store-layout.js';
import { WatchAssembler } from '../../core/configuration/watch-assembler.js';
import type { Store, StoreError } from '../../platform/contract.js';
import { StoreLeaseNotFoundError } from '../../platform/errors.js';

/** The whole configuration, read at one revision of the store. */
export interface ConfigurationRead {
  readonly storeRevision: number;
  readonly delta: ConfigurationDelta;
}

/** A relay slot that can be claimed while its key has this revision; 0: the key does not exist. */
interface FreeSlot {
  readonly slot: number;
  readonly modRevision: number;
}

/** Store operations of one node. */
export class StoreSession {
  #endWatch: (() => void) | undefined;

  constructor(
    private readonly store: Store,
    private readonly nodeId: string,
    private readonly zone: string,
  ) {}

  /** Reads the whole current configuration. */
  read(): ResultAsync<ConfigurationRead, StoreError> {
    return this.store.range(CURRENT_PREFIX).map(({ revision, entries }) => ({
      storeRevision: revision,
      delta: {
        sinceRevision: 0,
        revision: entries.find(({ key }) => key === HEAD_KEY)?.modRevision ?? 0,
        entries: toConfigurationEntries(entries),
      },
    }));
  }

  /** Reads the mod revision of the head key; 0 if the key does not exist. */
  readHead(): ResultAsync<number, StoreError> {
    return this.store
      .range(HEAD_KEY)
      .map(({ entries }) => entries.find(({ key }) => key === HEAD_KEY)?.modRevision ?? 0);
  }

  /** Watches the current configuration; ends a previous watch. */
  openWatch(
    fromRevision: number,
    headRevision: number,
    onDelta: (delta: ConfigurationDelta) => void,
    onEnd: () => void,
  ): void {
    this.closeWatch();
    const assembler = new WatchAssembler(headRevision);
    let isOpen = true;
    const endWatch = this.store.watch(CURRENT_PREFIX, fromRevision, {
      onEvents: (events) => {
        const delta = isOpen ? assembler.add(events) : undefined;
        if (delta !== undefined) onDelta(delta);
      },
      onEnd: () => {
        if (isOpen) onEnd();
        isOpen = false;
      },
    });
    this.#endWatch = () => {
      isOpen = false;
      endWatch();
    };
  }

  closeWatch(): void {
    this.#endWatch?.();
    this.#endWatch = undefined;
  }

  /**
   * Claims a free relay slot of the zone; undefined if there is none. A slot is free if no node
   * holds it, or one that is not live: the lease outlives its holder, and the zone would otherwise
   * wait for its expiry.
   */
  claimRelay(isLive: (nodeId: string) => boolean): ResultAsync<RelayLease | undefined, StoreError> {
    return this.store.range(relayPrefixOf(this.zone)).andThen(({ entries }) => {
      const holders = new Map(entries.map((entry) => [entry.key, entry]));
      const slots = Array.from({ length: RELAYS_PER_ZONE }, (_, slot) => slot);
      const freeSlots = slots.flatMap((slot): FreeSlot[] => {
        const holder = holders.get(relayKeyOf(this.zone, slot));
        if (holder === undefined) return [{ slot, modRevision: 0 }];
        return isLive(holder.value) ? [] : [{ slot, modRevision: holder.modRevision }];
      });
      if (freeSlots.length === 0) return ok(undefined);
      return new ResultAsync(this.#claimOneOf(freeSlots));
    });
  }

  /** True if the lease was renewed; false if it has expired. */
  renewLease(lease: RelayLease): ResultAsync<boolean, StoreError> {
    return this.store
      .keepLeaseAlive(lease.leaseId)
      .map((seconds) => seconds > 0)
      .orElse((error) => (error instanceof StoreLeaseNotFoundError ? ok(false) : err(error)));
  }

  /** Releases the slot. */
  releaseRelay(lease: RelayLease): ResultAsync<void, StoreError> {
    return this.store.revokeLease(lease.leaseId);
  }

  async #claimOneOf(
    slots: readonly FreeSlot[],
  ): Promise<Result<RelayLease | undefined, StoreError>> {
    const granted = await this.store.grantLease(RELAY_LEASE_SECONDS);
    if (granted.isErr()) return err(granted.error);
    const leaseId = granted.value;
    const claimed = await this.#claimFirst(slots, leaseId);
    // If the response to a successful claim was lost, revoking the lease also releases that slot.
    if (claimed.isErr() || claimed.value === undefined) await this.store.revokeLease(leaseId);
    return claimed.map((slot) => (slot === undefined ? undefined : { leaseId, slot }));
  }

  /** Tries the slots in turn, since another candidate may claim one at the same time. */
  async #claimFirst(
    slots: readonly FreeSlot[],
    leaseId: string,
  ): Promise<Result<number | undefined, StoreError>> {
    for (const { slot, modRevision } of slots) {
      const key = relayKeyOf(this.zone, slot);
      const response = await this.store.transaction(
        [{ key, modRevision }],
        [{ type: 'put', key, value: this.nodeId, leaseId }],
      );
      if (response.isErr()) return err(response.error);
      if (response.value.succeeded) return ok(slot);
    }
    return ok(undefined);
  }
}
