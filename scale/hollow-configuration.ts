/** The configuration service of a hollow node: the real agent and messages over the simulated network. */
import { ConfigurationAgent } from '../src/core/configuration/agent.js';
import type {
  ConfigurationAgentEffect,
  ConfigurationAgentEvent,
} from '../src/core/configuration/agent-contract.js';
import type { ConfigurationSnapshot } from '../src/core/configuration/model.js';
import type { ConfigurationMember } from '../src/core/configuration/relays.js';
import type { ConfigurationEntry } from '../src/core/configuration/store-layout.js';
import {
  DIGEST_METHOD,
  digestRequestSchema,
  digestResponseSchema,
  FETCH_METHOD,
  fetchRequestSchema,
  fetchResponseSchema,
  fitsInOnePush,
  PUSH_METHOD,
  pushRequestSchema,
  selectPage,
} from '../src/node/configuration/peer-messages.js';
import type { NodeIdentity, WireValue } from '../src/peer/contract.js';
import { DeadlineTimer } from './deadline-timer.js';
import type { HollowContext } from './hollow-membership.js';
import { HollowStoreClient, type StoreEffect } from './hollow-store-client.js';
import type { ControlRole, Mechanism } from './meters.js';
import type { NetworkNode } from './network.js';
import type { SimulatedStore } from './simulated-store.js';

const CALL_TIMEOUT_MS = 1000;

export interface HollowConfigurationListener {
  onApplied(snapshot: ConfigurationSnapshot): void;
  onReady(): void;
}

interface FetchProgress {
  readonly peer: ConfigurationMember;
  readonly sinceRevision: number;
  readonly entries: readonly ConfigurationEntry[];
  /** Revision of the pages received so far; undefined before the first. */
  readonly revision: number | undefined;
}

export class HollowConfiguration {
  readonly agent: ConfigurationAgent;
  readonly #context: HollowContext;
  readonly #node: NetworkNode;
  readonly #listener: HollowConfigurationListener;
  readonly #store: HollowStoreClient;
  readonly #timer: DeadlineTimer;

  constructor(
    context: HollowContext,
    node: NetworkNode,
    self: ConfigurationMember,
    store: SimulatedStore,
    listener: HollowConfigurationListener,
  ) {
    this.#context = context;
    this.#node = node;
    this.#listener = listener;
    this.agent = new ConfigurationAgent({ self, random: context.random });
    this.#store = new HollowStoreClient(context, node, self.zone, store, (event) =>
      this.handle(event),
    );
    this.#timer = new DeadlineTimer(
      context.clock,
      () => this.agent.nextDeadline(),
      () => this.tick(),
    );
  }

  /** True while this incarnation believes that it holds a relay slot. */
  get isRelay(): boolean {
    return this.#store.holdsSlot;
  }

  start(): void {
    this.handle({ type: 'started' });
  }

  /** Ends the watch, as when the process is gone and its connection closes. */
  stop(): void {
    this.#store.close();
  }

  tick(): void {
    if (this.#node.isRunning && !this.#node.isPaused) this.handle({ type: 'tick' });
  }

  receiveCall(method: string, body: WireValue, from: NodeIdentity): WireValue {
    const { nodeId } = from;
    if (method === DIGEST_METHOD) {
      const { digest } = this.#measure(() => digestRequestSchema.parse(body));
      const response = this.#measure(() => this.agent.digestResponse());
      this.handle({ type: 'digest-received', nodeId, digest });
      return response;
    }
    if (method === PUSH_METHOD) {
      const push = this.#measure(() => pushRequestSchema.parse(body));
      this.handle({ type: 'push-received', nodeId, ...push });
      return { revision: this.agent.replica.revision };
    }
    return this.#measure(() => {
      const { sinceRevision, afterKey } = fetchRequestSchema.parse(body);
      return selectPage(this.agent.replica.changesSince(sinceRevision), afterKey);
    });
  }

  handle(event: ConfigurationAgentEvent): void {
    const effects = this.#measure(() => this.agent.handle(event, this.#context.clock.now));
    for (const effect of effects) this.#executeEffect(effect);
    this.#timer.arm();
  }

  get #role(): ControlRole {
    return this.isRelay ? 'relay' : 'configuration';
  }

  #measure<Result>(run: () => Result): Result {
    return this.#context.meters.measure(this.#role, run);
  }

  #executeEffect(effect: ConfigurationAgentEffect): void {
    switch (effect.type) {
      case 'apply':
        this.#listener.onApplied(effect.snapshot);
        return;
      case 'ready':
        this.#listener.onReady();
        return;
      case 'ask-digest':
        this.#requestDigest(effect.peer);
        return;
      case 'fetch': {
        const { peer, sinceRevision } = effect;
        this.#fetchPage({ peer, sinceRevision, entries: [], revision: undefined });
        return;
      }
      case 'push':
        this.#push(effect);
        return;
      default:
        this.#store.executeEffect(effect satisfies StoreEffect);
    }
  }

  #requestDigest(peer: ConfigurationMember): void {
    const body = { digest: this.#measure(() => this.agent.replica.digest()) };
    this.#call(peer, DIGEST_METHOD, body, 'configuration-digests', (value) => {
      const response = this.#measure(() => digestResponseSchema.parse(value));
      this.handle({ type: 'digest-answered', nodeId: peer.nodeId, answer: response });
    });
  }

  #fetchPage(progress: FetchProgress): void {
    const { peer, sinceRevision, entries } = progress;
    const body = { sinceRevision, afterKey: entries.at(-1)?.key ?? '' };
    this.#call(peer, FETCH_METHOD, body, 'configuration-fetches', (value) =>
      this.#onPage(progress, value),
    );
  }

  #onPage(progress: FetchProgress, value: WireValue): void {
    const { peer, sinceRevision } = progress;
    const { delta, more } = this.#measure(() => fetchResponseSchema.parse(value));
    const { revision } = delta;
    if (progress.revision !== undefined && progress.revision !== revision) {
      this.handle({ type: 'peer-failed', nodeId: peer.nodeId });
      return;
    }
    const entries = [...progress.entries, ...delta.entries];
    if (more) this.#fetchPage({ peer, sinceRevision, entries, revision });
    else {
      const whole = { sinceRevision, revision, entries };
      this.handle({ type: 'fetched', nodeId: peer.nodeId, delta: whole });
    }
  }

  #push({ peer, root, delta }: Extract<ConfigurationAgentEffect, { type: 'push' }>): void {
    if (!fitsInOnePush(delta)) {
      this.#requestDigest(peer);
      return;
    }
    this.#call(peer, PUSH_METHOD, { root, delta }, 'configuration-pushes', () => undefined);
  }

  #call(
    peer: ConfigurationMember,
    method: string,
    body: WireValue,
    mechanism: Mechanism,
    onResponse: (value: WireValue) => void,
  ): void {
    this.#context.network.call(this.#node, {
      to: { host: peer.host, peerPort: peer.port },
      method,
      body,
      timeoutMs: CALL_TIMEOUT_MS,
      mechanism,
      role: this.#role,
      onResponse: onResponse,
      onFailure: () => {
        if (method === PUSH_METHOD) return;
        this.handle({ type: 'peer-failed', nodeId: peer.nodeId });
      },
    });
  }
}
