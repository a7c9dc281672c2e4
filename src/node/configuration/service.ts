/**
 * Keeps the configuration of a proxy process up to date: carries out the effects of the core's
 * configuration agent, over the store and the links to other nodes.
 */
import { ConfigurationAgent } from '../../core/configuration/agent.js';
import type {
  ConfigurationAgentEffect,
  ConfigurationAgentEvent,
} from '../../core/configuration/agent-contract.js';
import type { ConfigurationSnapshot } from '../../core/configuration/model.js';
import type { RelayLease, RelayRoleEvent } from '../../core/configuration/relay-role.js';
import { areSameMembers, type ConfigurationMember } from '../../core/configuration/relays.js';
import type { Milliseconds } from '../../core/units.js';
import type { NodeIdentity, WireValue } from '../../peer/contract.js';
import type { StoreError } from '../../platform/contract.js';
import { ConfigurationMessageError } from './errors.js';
import { ConfigurationPeerClient } from './peer-client.js';
import {
  DIGEST_METHOD,
  digestRequestSchema,
  FETCH_METHOD,
  fetchRequestSchema,
  PUSH_METHOD,
  pushRequestSchema,
  selectPage,
} from './peer-messages.js';
import { RequestRate } from './request-rate.js';
import type { ConfigurationServiceOptions, ConfigurationServiceStatus } from './service-options.js';
import { StoreSession } from './store-session.js';

export type { ConfigurationServiceOptions, ConfigurationServiceStatus } from './service-options.js';

const MEMBERS_POLL_PERIOD_MS = 1000;

/** The configuration of one proxy process. */
export class ConfigurationService {
  /** Called with each new configuration that this node applies. */
  onSnapshot: ((snapshot: ConfigurationSnapshot) => void) | undefined;
  /** Resolves once a configuration is available; never rejects. */
  readonly ready: Promise<void>;
  readonly #agent: ConfigurationAgent;
  readonly #store: StoreSession;
  readonly #peers: ConfigurationPeerClient;
  readonly #storeRequestRate: RequestRate;
  #resolveReady: () => void = () => undefined;
  #members: readonly ConfigurationMember[] = [];
  #timer: NodeJS.Timeout | undefined;
  #membersTimer: NodeJS.Timeout | undefined;
  #isStopped = false;
  /** Resolves once the latest release of a relay lease has succeeded or failed. */
  #leaseReleased: Promise<void> = Promise.resolve();
  #storeErrors = 0;
  #peerErrors = 0;
  /** Configuration revision of the latest read; the next watch continues from it. */
  #lastReadRevision = 0;

  constructor(private readonly options: ConfigurationServiceOptions) {
    const { self, store, transport, random, now } = options;
    this.#agent = new ConfigurationAgent({ self, random });
    this.#store = new StoreSession(store, self.nodeId, self.zone);
    this.#peers = new ConfigurationPeerClient(transport);
    this.#storeRequestRate = new RequestRate(() => store.requestCount(), now);
    this.ready = new Promise((resolve) => {
      this.#resolveReady = resolve;
    });
  }

  /** Starts to query the store and the peers. */
  start(): void {
    this.membersChanged();
    this.#membersTimer = setInterval(() => this.#handleMembersTimer(), MEMBERS_POLL_PERIOD_MS);
    this.#handle({ type: 'started' });
  }

  /**
   * Ends timers, the watch and the relay lease. Resolves once the lease is released or the store
   * could not be reached; the store's client must not be closed before.
   */
  async stop(): Promise<void> {
    // Ending the candidacy releases the lease, so that another node can claim the slot at once.
    this.#handleRelay({ type: 'candidacy-changed', candidate: false });
    this.#isStopped = true;
    clearTimeout(this.#timer);
    clearInterval(this.#membersTimer);
    this.#store.closeWatch();
    await this.#leaseReleased;
  }

  /** To be called when the membership has changed; the service also checks it once a second. */
  membersChanged(): void {
    const members = this.options.members();
    if (areSameMembers(members, this.#members)) return;
    this.#members = members;
    this.#handle({ type: 'members-changed', members });
  }

  /** The configuration that this node has applied; empty before `ready`. */
  snapshot(): ConfigurationSnapshot {
    return this.#agent.replica.snapshot();
  }

  status(): ConfigurationServiceStatus {
    return {
      ...this.#agent.status(this.options.now()),
      storeRequestsLastMinute: this.#storeRequestRate.lastMinute(),
      storeErrors: this.#storeErrors,
      peerErrors: this.#peerErrors,
    };
  }

  /** True for the methods that `onCall` implements. */
  handles(method: string): boolean {
    return method === DIGEST_METHOD || method === FETCH_METHOD || method === PUSH_METHOD;
  }

  /** Answers a peer's call; rejects with `ConfigurationMessageError` if it is malformed. */
  async onCall(method: string, body: WireValue, from: NodeIdentity): Promise<WireValue> {
    if (method === DIGEST_METHOD) return this.#handleDigest(body, from.nodeId);
    if (method === FETCH_METHOD) return this.#handleFetch(body);
    if (method === PUSH_METHOD) return this.#handlePush(body, from.nodeId);
    throw new ConfigurationMessageError(method);
  }

  #handleDigest(body: WireValue, nodeId: string): WireValue {
    const parsed = digestRequestSchema.safeParse(body);
    if (!parsed.success) throw new ConfigurationMessageError(DIGEST_METHOD);
    const response = this.#agent.digestResponse();
    this.#handle({ type: 'digest-received', nodeId, digest: parsed.data.digest });
    return response;
  }

  #handleFetch(body: WireValue): WireValue {
    const parsed = fetchRequestSchema.safeParse(body);
    if (!parsed.success) throw new ConfigurationMessageError(FETCH_METHOD);
    const { sinceRevision, afterKey } = parsed.data;
    return selectPage(this.#agent.replica.changesSince(sinceRevision), afterKey);
  }

  #handlePush(body: WireValue, nodeId: string): WireValue {
    const parsed = pushRequestSchema.safeParse(body);
    if (!parsed.success) throw new ConfigurationMessageError(PUSH_METHOD);
    this.#handle({ type: 'push-received', nodeId, ...parsed.data });
    return { revision: this.#agent.replica.revision };
  }

  #handleMembersTimer(): void {
    this.#storeRequestRate.sample();
    this.membersChanged();
  }

  #handle(event: ConfigurationAgentEvent): void {
    if (this.#isStopped) return;
    const effects = this.#agent.handle(event, this.options.now());
    for (const effect of effects) this.#carryOut(effect);
    this.#schedule();
  }

  #handleRelay(event: RelayRoleEvent): void {
    this.#handle({ type: 'relay', event });
  }

  #schedule(): void {
    clearTimeout(this.#timer);
    const deadline = this.#agent.nextDeadline();
    if (deadline === undefined || this.#isStopped) return;
    const delay = Math.max(0, deadline - this.options.now());
    this.#timer = setTimeout(() => this.#handle({ type: 'tick' }), Math.ceil(delay));
  }

  #carryOut(effect: ConfigurationAgentEffect): void {
    switch (effect.type) {
      case 'apply':
        this.onSnapshot?.(effect.snapshot);
        return;
      case 'ready':
        this.#resolveReady();
        return;
      case 'read-store':
        this.#readStore();
        return;
      case 'check-head':
        this.#checkHead();
        return;
      case 'open-watch':
        this.#openWatch(effect.fromRevision);
        return;
      case 'close-watch':
        this.#store.closeWatch();
        return;
      case 'claim-relay':
        this.#claimRelay();
        return;
      case 'renew-lease':
        this.#renewLease(effect);
        return;
      case 'release-relay':
        this.#leaseReleased = this.#releaseRelay(effect.lease);
        return;
      case 'ask-digest':
        this.#exchangeDigests(effect.peer);
        return;
      case 'fetch':
        this.#fetch(effect.peer, effect.sinceRevision);
        return;
      case 'push':
        this.#push(effect);
        return;
    }
  }

  #readStore(): void {
    this.#store.read().match(
      ({ storeRevision, delta }) => {
        this.#lastReadRevision = delta.revision;
        this.#handle({ type: 'store-read', storeRevision, delta });
      },
      (error) => this.#handle({ type: 'store-read-failed', ...this.#recordFailure(error) }),
    );
  }

  #checkHead(): void {
    this.#store.readHead().match(
      (headRevision) => this.#handle({ type: 'head-checked', headRevision }),
      (error) => this.#handle({ type: 'head-check-failed', ...this.#recordFailure(error) }),
    );
  }

  #openWatch(fromRevision: number): void {
    this.#store.openWatch(
      fromRevision,
      this.#lastReadRevision,
      (delta) => this.#handle({ type: 'watch-delta', delta }),
      () => this.#handle({ type: 'watch-ended' }),
    );
  }

  #claimRelay(): void {
    const isLive = (nodeId: string): boolean =>
      this.#members.some((member) => member.nodeId === nodeId);
    this.#store.claimRelay(isLive).match(
      (lease) =>
        this.#handleRelay(
          lease === undefined ? { type: 'claim-refused' } : { type: 'claimed', lease },
        ),
      (error) => this.#handleRelay({ type: 'claim-failed', ...this.#recordFailure(error) }),
    );
  }

  async #releaseRelay(lease: RelayLease): Promise<void> {
    const released = await this.#store.releaseRelay(lease);
    if (released.isErr()) this.#countStoreError();
  }

  #renewLease({ lease }: Extract<ConfigurationAgentEffect, { type: 'renew-lease' }>): void {
    this.#store.renewLease(lease).match(
      (isHeld) => this.#handleRelay({ type: isHeld ? 'renewed' : 'lease-lapsed' }),
      (error) => this.#handleRelay({ type: 'renewal-failed', ...this.#recordFailure(error) }),
    );
  }

  #exchangeDigests(peer: ConfigurationMember): void {
    this.#peers.exchangeDigests(peer, this.#agent.replica.digest()).match(
      (answer) => this.#handle({ type: 'digest-answered', nodeId: peer.nodeId, answer }),
      () => this.#peerFailed(peer),
    );
  }

  #fetch(peer: ConfigurationMember, sinceRevision: number): void {
    this.#peers.fetch(peer, sinceRevision).match(
      (delta) => this.#handle({ type: 'fetched', nodeId: peer.nodeId, delta }),
      () => this.#peerFailed(peer),
    );
  }

  #push({ peer, root, delta }: Extract<ConfigurationAgentEffect, { type: 'push' }>): void {
    this.#peers.push(peer, root, delta, this.#agent.replica.digest()).mapErr(() => {
      this.#peerErrors += 1;
    });
  }

  #peerFailed(peer: ConfigurationMember): void {
    this.#peerErrors += 1;
    this.#handle({ type: 'peer-failed', nodeId: peer.nodeId });
  }

  #recordFailure(error: StoreError): { readonly retryAfterMs: Milliseconds } {
    this.#countStoreError();
    return { retryAfterMs: error.retryAfterMs ?? 0 };
  }

  #countStoreError(): void {
    this.#storeErrors += 1;
  }
}
