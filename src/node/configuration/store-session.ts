/** The store's side of a node's configuration: reads, the watch and the relay lease. */
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

/** All of the configuration, read at one revision of the store. */
export interface ConfigurationRead {
  readonly storeRevision: number;
  readonly delta: ConfigurationDelta;
}

/** A relay slot that may be claimed as long as its key has this revision; 0: it has none. */
interface FreeSlot {
  readonly slot: number;
  readonly modRevision: number;
}

/** Wraps the store for one node. */
export class StoreSession {
  #endWatch: (() => void) | undefined;

  constructor(
    private readonly store: Store,
    private readonly nodeId: string,
    private readonly zone: string,
  ) {}

  /** Reads everything in force. */
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

  /** Mod revision of the head key; 0 if there is none. */
  readHead(): ResultAsync<number, StoreError> {
    return this.store
      .range(HEAD_KEY)
      .map(({ entries }) => entries.find(({ key }) => key === HEAD_KEY)?.modRevision ?? 0);
  }

  /** Watches what is in force; ends the watch before, if any. */
  openWatch(
    fromRevision: number,
    headRevision: number,
    onDelta: (delta: ConfigurationDelta) => void,
    onEnd: () => void,
  ): void {
    this.closeWatch();
    const assembler = new WatchAssembler(headRevision);
    let open = true;
    const end = this.store.watch(CURRENT_PREFIX, fromRevision, {
      onEvents: (events) => {
        const delta = open ? assembler.add(events) : undefined;
        if (delta !== undefined) onDelta(delta);
      },
      onEnd: () => {
        if (open) onEnd();
        open = false;
      },
    });
    this.#endWatch = () => {
      open = false;
      end();
    };
  }

  closeWatch(): void {
    this.#endWatch?.();
    this.#endWatch = undefined;
  }

  /**
   * Claims a slot of the zone's relays; undefined if there is none. A slot is free if nobody holds
   * it, or a node that is not live: a lease outlasts its holder, and the zone would wait for it.
   */
  claimRelay(isLive: (nodeId: string) => boolean): ResultAsync<RelayLease | undefined, StoreError> {
    return this.store.range(relayPrefixOf(this.zone)).andThen(({ entries }) => {
      const held = new Map(entries.map((entry) => [entry.key, entry]));
      const slots = Array.from({ length: RELAYS_PER_ZONE }, (_, slot) => slot);
      const free = slots.flatMap((slot): FreeSlot[] => {
        const holder = held.get(relayKeyOf(this.zone, slot));
        if (holder === undefined) return [{ slot, modRevision: 0 }];
        return isLive(holder.value) ? [] : [{ slot, modRevision: holder.modRevision }];
      });
      if (free.length === 0) return ok(undefined);
      return new ResultAsync(this.#takeOneOf(free));
    });
  }

  /** True if the lease still stands; false if it has lapsed. */
  renewLease(lease: RelayLease): ResultAsync<boolean, StoreError> {
    return this.store
      .keepLeaseAlive(lease.leaseId)
      .map((seconds) => seconds > 0)
      .orElse((error) => (error instanceof StoreLeaseNotFoundError ? ok(false) : err(error)));
  }

  /** Gives the slot back. */
  releaseRelay(lease: RelayLease): ResultAsync<void, StoreError> {
    return this.store.revokeLease(lease.leaseId);
  }

  async #takeOneOf(
    slots: readonly FreeSlot[],
  ): Promise<Result<RelayLease | undefined, StoreError>> {
    const granted = await this.store.grantLease(RELAY_LEASE_SECONDS);
    if (granted.isErr()) return err(granted.error);
    const leaseId = granted.value;
    const taken = await this.#firstTaken(slots, leaseId);
    // A slot that was taken without our knowing goes with its lease.
    if (taken.isErr() || taken.value === undefined) await this.store.revokeLease(leaseId);
    return taken.map((slot) => (slot === undefined ? undefined : { leaseId, slot }));
  }

  /** Tries the slots in turn: another candidate may take one at the same moment. */
  async #firstTaken(
    slots: readonly FreeSlot[],
    leaseId: string,
  ): Promise<Result<number | undefined, StoreError>> {
    for (const { slot, modRevision } of slots) {
      const key = relayKeyOf(this.zone, slot);
      const answer = await this.store.transaction(
        [{ key, modRevision }],
        [{ type: 'put', key, value: this.nodeId, leaseId }],
      );
      if (answer.isErr()) return err(answer.error);
      if (answer.value.succeeded) return ok(slot);
    }
    return ok(undefined);
  }
}
