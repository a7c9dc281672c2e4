/** The simulated configuration store: its contents, and the slots that relays lease. */
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

const LEASE_TTL_MS = 15_000;

interface RelaySlot {
  readonly leaseId: string;
  readonly holder: string;
  expiresAt: number;
}

/** The node that sends a request, and which nodes it considers live. */
export interface StoreCaller {
  readonly nodeId: string;
  readonly zone: string;
  readonly isLive: (nodeId: string) => boolean;
}

/** Contents of the store, and its responses to requests. */
export class SimulatedConfigurationStore {
  isDown = false;
  headRevision = 0;
  readonly #entries = new Map<DeclarationKey, ConfigurationEntry>();
  /** Digest of the store's contents at each revision. */
  readonly #digests = new Map<number, string>();
  readonly #fullReplica = new ConfigurationReplica();
  readonly #slots = new Map<string, RelaySlot>();
  #leaseCount = 0;

  /** Writes new versions of these declarations and returns the revision. */
  publish(names: readonly string[]): number {
    this.headRevision += 1;
    const revision = this.headRevision;
    const entries = names.map((name): ConfigurationEntry => {
      const key: DeclarationKey = `tenant/${name}`;
      const value = JSON.stringify({ version: revision, publishId: 'p', declaration: null });
      return { key, revision, value };
    });
    for (const entry of entries) this.#entries.set(entry.key, entry);
    this.#fullReplica.merge({ sinceRevision: revision - 1, revision, entries });
    this.#digests.set(revision, this.#fullReplica.digest().hash);
    return revision;
  }

  /** Digest of the whole configuration at a revision. */
  digestAt(revision: number): string | undefined {
    return this.#digests.get(revision);
  }

  /** Entries written after a revision. */
  changesSince(sinceRevision: number): ConfigurationDelta {
    const entries = [...this.#entries.values()].filter(({ revision }) => revision > sinceRevision);
    return { sinceRevision, revision: this.headRevision, entries };
  }

  /** Carries out a node's request; returns the response, or undefined if there is none. */
  handle(
    caller: StoreCaller,
    effect: ConfigurationAgentEffect,
    now: number,
  ): ConfigurationAgentEvent | undefined {
    if (this.isDown) return toFailureEvent(effect);
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
        return { type: 'relay', event: this.#claim(caller, now) };
      case 'renew-lease':
        return { type: 'relay', event: this.#renew(effect.lease, now) };
      case 'release-relay':
        this.#release(effect.lease);
        return undefined;
      default:
        return undefined;
    }
  }

  /** A slot is free if it has no holder or the caller considers its holder dead. */
  #claim({ nodeId, zone, isLive }: StoreCaller, now: number): RelayRoleEvent {
    for (let slot = 0; slot < RELAYS_PER_ZONE; slot += 1) {
      const key = `${zone}/${slot}`;
      const held = this.#slots.get(key);
      if (held !== undefined && held.expiresAt > now && isLive(held.holder)) continue;
      this.#leaseCount += 1;
      const lease = { leaseId: String(this.#leaseCount), slot };
      this.#slots.set(key, {
        leaseId: lease.leaseId,
        holder: nodeId,
        expiresAt: now + LEASE_TTL_MS,
      });
      return { type: 'claimed', lease };
    }
    return { type: 'claim-refused' };
  }

  #renew(lease: RelayLease, now: number): RelayRoleEvent {
    const held = [...this.#slots.values()].find(({ leaseId }) => leaseId === lease.leaseId);
    if (held === undefined || held.expiresAt <= now) return { type: 'lease-lapsed' };
    held.expiresAt = now + LEASE_TTL_MS;
    return { type: 'renewed' };
  }

  #release(lease: RelayLease): void {
    for (const [key, { leaseId }] of this.#slots) {
      if (leaseId === lease.leaseId) this.#slots.delete(key);
    }
  }
}

/** The event for a call that got no response; undefined if the node expects no response. */
export function toFailureEvent(
  effect: ConfigurationAgentEffect,
): ConfigurationAgentEvent | undefined {
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
