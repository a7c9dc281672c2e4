/** One node's requests to the simulated store: delayed by latency, counted, and failing while the store is down. */
import type {
  ConfigurationAgentEffect,
  ConfigurationAgentEvent,
} from '../src/core/configuration/agent-contract.js';
import type { RelayLease, RelayRoleEvent } from '../src/core/configuration/relay-role.js';
import type { ZoneName } from '../src/core/request.js';
import type { Milliseconds } from '../src/core/units.js';
import { DEFAULT_STORE_CLIENT_OPTIONS } from '../src/platform/store-client.js';
import type { HollowContext } from './hollow-membership.js';
import type { NetworkNode } from './network.js';
import { SHORT_EXCHANGE_BYTES, type SimulatedStore, type StoreWatcher } from './simulated-store.js';
import { latencyBetween, STORE_REGION, ZONES_PER_REGION } from './zones.js';

export type StoreEffect = Exclude<
  ConfigurationAgentEffect,
  { readonly type: 'apply' | 'ready' | 'ask-digest' | 'fetch' | 'push' }
>;

/** Zone of the store. */
const STORE_ZONE_INDEX = STORE_REGION * ZONES_PER_REGION;
/** Time that the store takes to handle a request. */
const REQUEST_DURATION_MS = 2;
/** Requests of a successful claim: read the slots, grant a lease, put the key. */
const CLAIM_REQUESTS = 3;

/** Executes the store effects of one incarnation of a node. */
export class HollowStoreClient {
  readonly #context: HollowContext;
  readonly #node: NetworkNode;
  readonly #zone: ZoneName;
  readonly #store: SimulatedStore;
  readonly #report: (event: ConfigurationAgentEvent) => void;
  #watcher: StoreWatcher | undefined;
  #lease: RelayLease | undefined;
  /** Configuration revision of the last read; the watch continues from there. */
  #readRevision = 0;

  constructor(
    context: HollowContext,
    node: NetworkNode,
    zone: ZoneName,
    store: SimulatedStore,
    report: (event: ConfigurationAgentEvent) => void,
  ) {
    this.#context = context;
    this.#node = node;
    this.#zone = zone;
    this.#store = store;
    this.#report = report;
  }

  get holdsSlot(): boolean {
    return this.#lease !== undefined;
  }

  close(): void {
    this.#endWatch();
  }

  executeEffect(effect: StoreEffect): void {
    switch (effect.type) {
      case 'read-store':
        this.#read();
        return;
      case 'check-head':
        this.#checkHead();
        return;
      case 'open-watch':
        this.#openWatch();
        return;
      case 'close-watch':
        this.#endWatch();
        return;
      case 'claim-relay':
        this.#claim();
        return;
      case 'renew-lease':
        this.#renew(effect.lease);
        return;
      case 'release-relay':
        this.#release(effect.lease);
    }
  }

  #read(): void {
    this.#request(this.#store.readBytes(), {
      respond: () => {
        const delta = this.#store.changesSince(0);
        const storeRevision = this.#store.revision;
        return () => {
          this.#readRevision = delta.revision;
          this.#report({ type: 'store-read', storeRevision, delta });
        };
      },
      fail: () => this.#report({ type: 'store-read-failed', retryAfterMs: 0 }),
    });
  }

  #checkHead(): void {
    this.#request(SHORT_EXCHANGE_BYTES, {
      respond: () => {
        const { headRevision } = this.#store;
        return () => this.#report({ type: 'head-checked', headRevision });
      },
      fail: () => this.#report({ type: 'head-check-failed', retryAfterMs: 0 }),
    });
  }

  #claim(): void {
    this.#request(SHORT_EXCHANGE_BYTES, {
      respond: () => {
        const event = this.#store.claim(this.#zone);
        if (event.type === 'claimed') this.#countFurtherRequests(CLAIM_REQUESTS - 1);
        return () => {
          if (event.type === 'claimed') this.#lease = event.lease;
          this.#reportRelay(event);
        };
      },
      fail: () => this.#reportRelay({ type: 'claim-failed', retryAfterMs: 0 }),
    });
  }

  #renew(lease: RelayLease): void {
    this.#request(SHORT_EXCHANGE_BYTES, {
      respond: () => {
        const event = this.#store.renew(lease);
        return () => {
          if (event.type === 'lease-lapsed') this.#lease = undefined;
          this.#reportRelay(event);
        };
      },
      fail: () => this.#reportRelay({ type: 'renewal-failed', retryAfterMs: 0 }),
    });
  }

  #release(lease: RelayLease): void {
    this.#lease = undefined;
    this.#request(SHORT_EXCHANGE_BYTES, {
      respond: () => {
        this.#store.release(lease);
        return () => undefined;
      },
      fail: () => undefined,
    });
  }

  #openWatch(): void {
    this.#endWatch();
    this.#context.meters.storeRequests += 1;
    this.#context.meters.recordSent('store', SHORT_EXCHANGE_BYTES);
    const watcher: StoreWatcher = {
      sinceRevision: this.#readRevision,
      onDelta: (delta, bytes) => {
        this.#context.meters.recordSent('store', bytes);
        this.#deliver(watcher, () => this.#report({ type: 'watch-delta', delta }));
      },
      onEnd: () => this.#deliver(watcher, () => this.#report({ type: 'watch-ended' })),
    };
    this.#watcher = watcher;
    this.#schedule(this.#latency(), () => {
      if (this.#watcher !== watcher) return;
      if (this.#store.isDown || this.#isCut()) watcher.onEnd();
      else this.#store.watch(watcher);
    });
  }

  /** A watch that is cut off receives nothing, not even progress; the client ends it after its silence timeout. */
  #deliver(watcher: StoreWatcher, run: () => void): void {
    const isCut = this.#isCut();
    if (isCut) this.#store.endWatch(watcher);
    const delay = isCut ? DEFAULT_STORE_CLIENT_OPTIONS.watchSilenceMs : this.#latency();
    const report = isCut ? () => this.#report({ type: 'watch-ended' }) : run;
    this.#schedule(delay, () => {
      if (this.#watcher === watcher) report();
    });
  }

  #endWatch(): void {
    if (this.#watcher !== undefined) this.#store.endWatch(this.#watcher);
    this.#watcher = undefined;
  }

  #request(
    bytes: number,
    outcome: { readonly respond: () => () => void; readonly fail: () => void },
  ): void {
    this.#context.meters.storeRequests += 1;
    if (this.#isCut()) {
      this.#schedule(DEFAULT_STORE_CLIENT_OPTIONS.requestTimeoutMs, outcome.fail);
      return;
    }
    this.#context.meters.recordSent('store', this.#store.isDown ? SHORT_EXCHANGE_BYTES : bytes);
    this.#schedule(this.#latency() + REQUEST_DURATION_MS, () => {
      const report = this.#store.isDown ? outcome.fail : outcome.respond();
      this.#schedule(this.#latency(), report);
    });
  }

  #countFurtherRequests(requests: number): void {
    this.#context.meters.storeRequests += requests;
    this.#context.meters.recordSent('store', requests * SHORT_EXCHANGE_BYTES);
  }

  #reportRelay(event: RelayRoleEvent): void {
    this.#report({ type: 'relay', event });
  }

  #isCut(): boolean {
    return this.#context.network.isCut(this.#node.zoneIndex, STORE_ZONE_INDEX);
  }

  #latency(): Milliseconds {
    const random = { fraction: this.#context.random };
    return latencyBetween(this.#node.zoneIndex, STORE_ZONE_INDEX, random);
  }

  #schedule(delay: Milliseconds, run: () => void): void {
    this.#context.clock.after(delay, () => {
      if (!this.#node.isRunning) return;
      if (this.#node.isPaused) this.#node.deferUntilResumed(run);
      else run();
    });
  }
}
