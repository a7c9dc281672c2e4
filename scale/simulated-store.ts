/**
 * The platform's key-value store as the nodes of a scale run see it: declarations with revisions,
 * relay slots with leases, watches. Responses have the size of those of etcd's JSON gateway.
 */
import type { DeclarationKey } from '../src/core/configuration/declaration.js';
import {
  RELAY_LEASE_SECONDS,
  type RelayLease,
  type RelayRoleEvent,
} from '../src/core/configuration/relay-role.js';
import { RELAYS_PER_ZONE } from '../src/core/configuration/relays.js';
import type { ConfigurationDelta } from '../src/core/configuration/replica.js';
import {
  type ConfigurationEntry,
  CURRENT_PREFIX,
  currentKeyOf,
  HEAD_KEY,
} from '../src/core/configuration/store-layout.js';
import type { ZoneName } from '../src/core/request.js';
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../src/core/units.js';
import { rangeRequest } from '../src/platform/store-messages.js';
import type { StoredDeclaration } from './tenants.js';

const LEASE_MS = RELAY_LEASE_SECONDS * MILLISECONDS_PER_SECOND;
/** Header of an HTTP request or response, with network headers. */
const HTTP_OVERHEAD_BYTES = 260;
/** JSON around one key-value pair. */
const KEY_VALUE_OVERHEAD_BYTES = 110;
const BASE64_RATIO = 4 / 3;
/** Bytes of a short request, such as a lease renewal, with a response without keys. */
export const SHORT_EXCHANGE_BYTES = 2 * HTTP_OVERHEAD_BYTES + 160;

/** A watch of one incarnation of a node. */
export interface StoreWatcher {
  sinceRevision: number;
  onDelta(delta: ConfigurationDelta, bytes: number): void;
  onEnd(): void;
}

interface HeldSlot {
  readonly leaseId: string;
  leaseExpiresAt: Milliseconds;
}

export class SimulatedStore {
  readonly #now: () => Milliseconds;
  readonly #entries = new Map<DeclarationKey, ConfigurationEntry>();
  readonly #slots = new Map<string, HeldSlot>();
  readonly #watchers = new Set<StoreWatcher>();
  #headRevision = 0;
  #revision = 0;
  #leases = 0;
  #isDown = false;

  constructor(now: () => Milliseconds) {
    this.#now = now;
  }

  get headRevision(): number {
    return this.#headRevision;
  }

  /** Revision of the last change to any key, relay slots included. */
  get revision(): number {
    return this.#revision;
  }

  get isDown(): boolean {
    return this.#isDown;
  }

  get watchCount(): number {
    return this.#watchers.size;
  }

  /** While the store is down, requests fail; its open watches end at once. */
  setDown(isDown: boolean): void {
    this.#isDown = isDown;
    if (!isDown) return;
    const watchers = [...this.#watchers];
    this.#watchers.clear();
    for (const watcher of watchers) watcher.onEnd();
  }

  /** Applies one publish and returns its revision. */
  publish(declarations: readonly StoredDeclaration[]): number {
    this.#revision += 1;
    this.#headRevision = this.#revision;
    for (const { key, value } of declarations) {
      this.#entries.set(key, { key, revision: this.#revision, value });
    }
    for (const watcher of this.#watchers) this.#notify(watcher);
    return this.#revision;
  }

  changesSince(sinceRevision: number): ConfigurationDelta {
    const entries = [...this.#entries.values()].filter(({ revision }) => revision > sinceRevision);
    return { sinceRevision, revision: this.#headRevision, entries };
  }

  /** Bytes of the request and response of a full read. */
  readBytes(): number {
    const request = rangeRequest(CURRENT_PREFIX).length;
    return 2 * HTTP_OVERHEAD_BYTES + request + countEntryBytes([...this.#entries.values()]);
  }

  watch(watcher: StoreWatcher): void {
    this.#watchers.add(watcher);
    this.#notify(watcher);
  }

  endWatch(watcher: StoreWatcher): void {
    this.#watchers.delete(watcher);
  }

  claim(zone: ZoneName): RelayRoleEvent {
    for (let slot = 0; slot < RELAYS_PER_ZONE; slot += 1) {
      const key = `${zone}/${slot}`;
      if ((this.#slots.get(key)?.leaseExpiresAt ?? 0) > this.#now()) continue;
      this.#leases += 1;
      this.#revision += 1;
      const lease = { leaseId: String(this.#leases), slot };
      this.#slots.set(key, { leaseId: lease.leaseId, leaseExpiresAt: this.#now() + LEASE_MS });
      return { type: 'claimed', lease };
    }
    return { type: 'claim-refused' };
  }

  renew(lease: RelayLease): RelayRoleEvent {
    const held = [...this.#slots.values()].find(({ leaseId }) => leaseId === lease.leaseId);
    if (held === undefined || held.leaseExpiresAt <= this.#now()) return { type: 'lease-lapsed' };
    held.leaseExpiresAt = this.#now() + LEASE_MS;
    return { type: 'renewed' };
  }

  release(lease: RelayLease): void {
    for (const [key, { leaseId }] of this.#slots) {
      if (leaseId === lease.leaseId) this.#slots.delete(key);
    }
  }

  #notify(watcher: StoreWatcher): void {
    if (watcher.sinceRevision >= this.#headRevision) return;
    const delta = this.changesSince(watcher.sinceRevision);
    watcher.sinceRevision = delta.revision;
    watcher.onDelta(delta, countEntryBytes(delta.entries));
  }
}

/** Bytes of the entries and of the head key in a response of the store. */
function countEntryBytes(entries: readonly ConfigurationEntry[]): number {
  const head = KEY_VALUE_OVERHEAD_BYTES + HEAD_KEY.length * BASE64_RATIO;
  const rest = entries.reduce((sum, { key, value }) => {
    const text = (currentKeyOf(key).length + value.length) * BASE64_RATIO;
    return sum + KEY_VALUE_OVERHEAD_BYTES + text;
  }, 0);
  return Math.ceil(head + rest);
}
