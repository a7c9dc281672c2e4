/** The simulated store of the configuration: its contents, and the slots that relays lease. */
import type {
  ConfigurationAgentEffect,
  ConfigurationAgentEvent,
} from '../../src/core/configuration/agent-contract.js';
import type { DeclarationKey } from '../../src/core/configuration/declaration.js';
import type { RelayLease, RelayRoleEvent } from '../../src/core/configuration/relay-role.js';
import { RELAYS_PER_ZONE } from '../../src/core/configuration/relays.js';
import {
  type ConfigurationDelta,
  ConfigurationReplica,
} from '../../src/core/configuration/replica.js';
import type { ConfigurationEntry } from '../../src/core/configuration/store-layout.js';

const LEASE_MS = 15_000;

interface RelaySlot {
  readonly leaseId: string;
  readonly holder: string;
  until: number;
}

/** The node that asks, and whom it takes for live. */
export interface StoreAsker {
  readonly nodeId: string;
  readonly zone: string;
  readonly isLive: (nodeId: string) => boolean;
}

/** What the store holds, and what it answers. */
export class SimulatedConfigurationStore {
  down = false;
  headRevision = 0;
  readonly #entries = new Map<DeclarationKey, ConfigurationEntry>();
  /** Digest of the store's contents at each revision. */
  readonly #digests = new Map<number, string>();
  readonly #whole = new ConfigurationReplica();
  readonly #slots = new Map<string, RelaySlot>();
  #leases = 0;

  /** Writes new versions of these declarations; gives the revision. */
  publish(names: readonly string[]): number {
    this.headRevision += 1;
    const revision = this.headRevision;
    const entries = names.map((name): ConfigurationEntry => {
      const key: DeclarationKey = `tenant/${name}`;
      const value = JSON.stringify({ version: revision, publishId: 'p', declaration: null });
      return { key, revision, value };
    });
    for (const entry of entries) this.#entries.set(entry.key, entry);
    this.#whole.merge({ sinceRevision: revision - 1, revision, entries });
    this.#digests.set(revision, this.#whole.digest().hash);
    return revision;
  }

  /** Digest of everything that was in force at a revision. */
  digestAt(revision: number): string | undefined {
    return this.#digests.get(revision);
  }

  /** What was written after a revision. */
  changesSince(sinceRevision: number): ConfigurationDelta {
    const entries = [...this.#entries.values()].filter(({ revision }) => revision > sinceRevision);
    return { sinceRevision, revision: this.headRevision, entries };
  }

  /** The answer to what a node asks; undefined if it expects none. */
  answer(
    asker: StoreAsker,
    effect: ConfigurationAgentEffect,
    now: number,
  ): ConfigurationAgentEvent | undefined {
    if (this.down) return failureOf(effect);
    switch (effect.type) {
      case 'read-store':
        return {
          type: 'store-read',
          storeRevision: this.headRevision,
          delta: this.changesSince(0),
        };
      case 'check-head':
        return { type: 'head-checked', headRevision: this.headRevision };
      case 'claim-relay':
        return { type: 'relay', event: this.#claim(asker, now) };
      case 'renew-lease':
        return { type: 'relay', event: this.#renew(effect.lease, now) };
      case 'release-relay':
        this.#release(effect.lease);
        return undefined;
      default:
        return undefined;
    }
  }

  /** A slot is free if nobody holds it, or a node that the asker takes for dead. */
  #claim({ nodeId, zone, isLive }: StoreAsker, now: number): RelayRoleEvent {
    for (let slot = 0; slot < RELAYS_PER_ZONE; slot += 1) {
      const key = `${zone}/${slot}`;
      const held = this.#slots.get(key);
      if (held !== undefined && held.until > now && isLive(held.holder)) continue;
      this.#leases += 1;
      const lease = { leaseId: String(this.#leases), slot };
      this.#slots.set(key, { leaseId: lease.leaseId, holder: nodeId, until: now + LEASE_MS });
      return { type: 'claimed', lease };
    }
    return { type: 'claim-refused' };
  }

  #renew(lease: RelayLease, now: number): RelayRoleEvent {
    const held = [...this.#slots.values()].find(({ leaseId }) => leaseId === lease.leaseId);
    if (held === undefined || held.until <= now) return { type: 'lease-lapsed' };
    held.until = now + LEASE_MS;
    return { type: 'renewed' };
  }

  #release(lease: RelayLease): void {
    for (const [key, { leaseId }] of this.#slots) {
      if (leaseId === lease.leaseId) this.#slots.delete(key);
    }
  }
}

/** What a node takes from a call that got no answer; undefined if it expects none. */
export function failureOf(effect: ConfigurationAgentEffect): ConfigurationAgentEvent | undefined {
  switch (effect.type) {
    case 'read-store':
      return { type: 'store-read-failed', retryAfterMs: 0 };
    case 'check-head':
      return { type: 'head-check-failed', retryAfterMs: 0 };
    case 'claim-relay':
      return { type: 'relay', event: { type: 'claim-failed', retryAfterMs: 0 } };
    case 'renew-lease':
      return { type: 'relay', event: { type: 'renewal-failed', retryAfterMs: 0 } };
    default:
      return undefined;
  }
}
