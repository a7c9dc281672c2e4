/**
 * Keeps a proxy process's configuration up to date: carries out what the core's agent decides,
 * over the store and the links to other nodes.
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
  pageOf,
  pushRequestSchema,
} from './peer-messages.js';
import { RequestRate } from './request-rate.js';
import type { ConfigurationServiceOptions, ConfigurationServiceStatus } from './service-options.js';
import { StoreSession } from './store-session.js';

export type { ConfigurationServiceOptions, ConfigurationServiceStatus } from './service-options.js';

const MEMBERS_POLL_MS = 1000;

/** The configuration of one proxy process. */
export class ConfigurationService {
  /** Called with each new configuration in force here. */
  onSnapshot: ((snapshot: ConfigurationSnapshot) => void) | undefined;
  /** Resolves once a configuration is in hand; never rejects. */
  readonly ready: Promise<void>;
  readonly #agent: ConfigurationAgent;
  readonly #store: StoreSession;
  readonly #peers: ConfigurationPeerClient;
  readonly #rate: RequestRate;
  #resolveReady: () => void = () => undefined;
  #members: readonly ConfigurationMember[] = [];
  #timer: NodeJS.Timeout | undefined;
  #membersTimer: NodeJS.Timeout | undefined;
  #stopped = false;
  /** The last lease that was given back, on its way. */
  #released: Promise<void> = Promise.resolve();
  #storeErrors = 0;
  #peerErrors = 0;
  /** Revision that the next watch continues from. */
  #readRevision = 0;

  constructor(private readonly options: ConfigurationServiceOptions) {
    const { self, store, transport, random, now } = options;
    this.#agent = new ConfigurationAgent({ self, random });
    this.#store = new StoreSession(store, self.nodeId, self.zone);
    this.#peers = new ConfigurationPeerClient(transport);
    this.#rate = new RequestRate(() => store.requestCount(), now);
    this.ready = new Promise((resolve) => {
      this.#resolveReady = resolve;
    });
  }

  /** Begins to ask the store and the peers. */
  start(): void {
    this.membersChanged();
    this.#membersTimer = setInterval(() => this.#poll(), MEMBERS_POLL_MS);
    this.#handle({ type: 'started' });
  }

  /**
   * Ends timers, the watch and the lease. Resolves once the store has the lease back or could not
   * be told, so the store's client should be closed only then.
   */
  async stop(): Promise<void> {
    // Without candidacy the lease goes back, so that another node can take the slot at once.
    this.#handleRelay({ type: 'candidacy-changed', candidate: false });
    this.#stopped = true;
    clearTimeout(this.#timer);
    clearInterval(this.#membersTimer);
    this.#store.closeWatch();
    await this.#released;
  }

  /** To be called when the membership changed; it is also looked at once a second. */
  membersChanged(): void {
    const members = this.options.members();
    if (areSameMembers(members, this.#members)) return;
    this.#members = members;
    this.#handle({ type: 'members-changed', members });
  }

  /** The configuration in force here; empty before `ready`. */
  snapshot(): ConfigurationSnapshot {
    return this.#agent.replica.snapshot();
  }

  status(): ConfigurationServiceStatus {
    return {
      ...this.#agent.status(this.options.now()),
      storeRequestsLastMinute: this.#rate.lastMinute(),
      storeErrors: this.#storeErrors,
      peerErrors: this.#peerErrors,
    };
  }

  /** True for the methods that `onCall` answers. */
  handles(method: string): boolean {
    return method === DIGEST_METHOD || method === FETCH_METHOD || method === PUSH_METHOD;
  }

  /** Answers a peer's call; rejects with `ConfigurationMessageError` if it is malformed. */
  async onCall(method: string, body: WireValue, from: NodeIdentity): Promise<WireValue> {
    if (method === DIGEST_METHOD) return this.#onDigest(body, from.nodeId);
    if (method === FETCH_METHOD) return this.#onFetch(body);
    if (method === PUSH_METHOD) return this.#onPush(body, from.nodeId);
    throw new ConfigurationMessageError(method);
  }

  #onDigest(body: WireValue, nodeId: string): WireValue {
    const parsed = digestRequestSchema.safeParse(body);
    if (!parsed.success) throw new ConfigurationMessageError(DIGEST_METHOD);
    const answer = this.#agent.digestResponse();
    this.#handle({ type: 'digest-received', nodeId, digest: parsed.data.digest });
    return answer;
  }

  #onFetch(body: WireValue): WireValue {
    const parsed = fetchRequestSchema.safeParse(body);
    if (!parsed.success) throw new ConfigurationMessageError(FETCH_METHOD);
    const { sinceRevision, afterKey } = parsed.data;
    return pageOf(this.#agent.replica.changesSince(sinceRevision), afterKey);
  }

  #onPush(body: WireValue, nodeId: string): WireValue {
    const parsed = pushRequestSchema.safeParse(body);
    if (!parsed.success) throw new ConfigurationMessageError(PUSH_METHOD);
    this.#handle({ type: 'push-received', nodeId, ...parsed.data });
    return { revision: this.#agent.replica.revision };
  }

  #poll(): void {
    this.#rate.sample();
    this.membersChanged();
  }

  #handle(event: ConfigurationAgentEvent): void {
    if (this.#stopped) return;
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
    if (deadline === undefined || this.#stopped) return;
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
        this.#released = this.#releaseRelay(effect.lease);
        return;
      case 'ask-digest':
        this.#askDigest(effect.peer);
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
        this.#readRevision = delta.revision;
        this.#handle({ type: 'store-read', storeRevision, delta });
      },
      (error) => this.#handle({ type: 'store-read-failed', ...this.#retryOf(error) }),
    );
  }

  #checkHead(): void {
    this.#store.readHead().match(
      (headRevision) => this.#handle({ type: 'head-checked', headRevision }),
      (error) => this.#handle({ type: 'head-check-failed', ...this.#retryOf(error) }),
    );
  }

  #openWatch(fromRevision: number): void {
    this.#store.openWatch(
      fromRevision,
      this.#readRevision,
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
      (error) => this.#handleRelay({ type: 'claim-failed', ...this.#retryOf(error) }),
    );
  }

  async #releaseRelay(lease: RelayLease): Promise<void> {
    const released = await this.#store.releaseRelay(lease);
    if (released.isErr()) this.#countStoreError();
  }

  #renewLease({ lease }: Extract<ConfigurationAgentEffect, { type: 'renew-lease' }>): void {
    this.#store.renewLease(lease).match(
      (stands) => this.#handleRelay({ type: stands ? 'renewed' : 'lease-lapsed' }),
      (error) => this.#handleRelay({ type: 'renewal-failed', ...this.#retryOf(error) }),
    );
  }

  #askDigest(peer: ConfigurationMember): void {
    this.#peers.askDigest(peer, this.#agent.replica.digest()).match(
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

  #retryOf(error: StoreError): { readonly retryAfterMs: Milliseconds } {
    this.#countStoreError();
    return { retryAfterMs: error.retryAfterMs ?? 0 };
  }

  #countStoreError(): void {
    this.#storeErrors += 1;
  }
}
