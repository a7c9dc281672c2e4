/**
 * Keeps one node's configuration up to date. Combines the replica, the relay lease, the watch on
 * the store, pushes along the zone's tree and anti-entropy with random peers. No I/O; the adapter
 * in src/node/configuration executes the effects.
 */
import type { Milliseconds } from '../units.js';
import type {
  ConfigurationAgentEffect,
  ConfigurationAgentEvent,
  ConfigurationSource,
  ConfigurationStatus,
  DigestResponse,
} from './agent-contract.js';
import { jitter, type RandomSource } from './backoff.js';
import type { ConfigurationMechanism } from './mechanisms.js';
import { MemberView } from './member-view.js';
import type { ConfigurationRevision } from './model.js';
import { sample } from './peer-selection.js';
import { RelayRole } from './relay-role.js';
import type { ConfigurationMember } from './relays.js';
import {
  type ConfigurationDelta,
  type ConfigurationDigest,
  ConfigurationReplica,
} from './replica.js';
import { StoreFollower, type StoreFollowerEvent } from './store-follower.js';

const ANTI_ENTROPY_PERIOD_MS = 1000;
const START_QUERY_PERIOD_MS = 400;
/** Number of peers that a starting node, which has no configuration yet, queries at once. */
const START_PEER_COUNT = 5;
/** Time after the start from which an unanswered first read of the store counts as failed. */
const START_STORE_TIMEOUT_MS = 1500;

/** Options of the configuration agent. */
export interface ConfigurationAgentOptions {
  readonly self: ConfigurationMember;
  readonly random: RandomSource;
  /** For mutation checks only. */
  readonly disabledMechanisms?: ReadonlySet<ConfigurationMechanism>;
}

/** The state machine of one node's configuration. */
export class ConfigurationAgent {
  readonly replica: ConfigurationReplica;
  readonly #self: ConfigurationMember;
  readonly #random: RandomSource;
  readonly #comparesDigests: boolean;
  readonly #relayRole: RelayRole;
  readonly #storeFollower: StoreFollower;
  #members: MemberView;
  #startedAt: Milliseconds | undefined;
  #isReady = false;
  #hasStoreFailed = false;
  /** Peers that were queried during the start and have not responded yet. */
  readonly #awaitedPeers = new Set<string>();
  readonly #fetchingPeers = new Set<string>();
  /** For each root of a push tree, the highest revision that this node forwarded along the tree. */
  readonly #forwardedRevisions = new Map<string, ConfigurationRevision>();
  #hasPeerResponded = false;
  #nextPeerQueryAt: Milliseconds | undefined;
  #source: ConfigurationSource = 'none';
  #highestSeenRevision: ConfigurationRevision = 0;
  #behindSince: Milliseconds | undefined;
  #digestMismatches = 0;

  constructor(options: ConfigurationAgentOptions) {
    this.replica = new ConfigurationReplica(options.disabledMechanisms);
    this.#comparesDigests = options.disabledMechanisms?.has('anti-entropy') !== true;
    this.#self = options.self;
    this.#random = options.random;
    this.#members = new MemberView(options.self, []);
    this.#relayRole = new RelayRole(options.random);
    this.#storeFollower = new StoreFollower(options.random);
  }

  nextDeadline(): Milliseconds | undefined {
    const deadlines = [
      this.#nextPeerQueryAt,
      this.#relayRole.nextDeadline(),
      this.#storeFollower.nextDeadline(),
    ].filter((at) => at !== undefined);
    return deadlines.length === 0 ? undefined : Math.min(...deadlines);
  }

  /** The response to a peer's digest request. */
  digestResponse(): DigestResponse {
    return { digest: this.replica.digest(), ready: this.#isReady };
  }

  status(now: Milliseconds): ConfigurationStatus {
    return {
      ready: this.#isReady,
      revision: this.replica.revision,
      highestSeenRevision: this.#highestSeenRevision,
      lagMs: this.#behindSince === undefined ? 0 : now - this.#behindSince,
      source: this.#source,
      relay: this.#relayRole.isActive,
      watching: this.#storeFollower.isWatching,
      digest: this.replica.digest().hash,
      digestMismatches: this.#digestMismatches,
    };
  }

  handle(event: ConfigurationAgentEvent, now: Milliseconds): ConfigurationAgentEffect[] {
    const effects = this.#dispatch(event, now);
    return [...effects, ...this.#checkReadiness(now), ...this.#updateStoreDemand(now)];
  }

  #dispatch(event: ConfigurationAgentEvent, now: Milliseconds): ConfigurationAgentEffect[] {
    switch (event.type) {
      case 'started':
        this.#startedAt = now;
        return this.#queryPeers(now);
      case 'members-changed':
        return this.#setMembers(event.members, now);
      case 'store-read':
        return this.#handleStoreRead(event.delta, event.storeRevision, now);
      case 'store-read-failed':
        this.#hasStoreFailed = true;
        return this.#notifyStoreFollower(event, now);
      case 'watch-delta':
        return this.#handleWatchDelta(event.delta, now);
      case 'watch-ended':
      case 'head-check-failed':
        return this.#notifyStoreFollower(event, now);
      case 'head-checked':
        this.#recordSeenRevision(event.headRevision, now);
        return this.#notifyStoreFollower({ ...event, replicaRevision: this.replica.revision }, now);
      case 'relay':
        return this.#relayRole.handle(event.event, now);
      case 'digest-answered':
        return this.#handleDigestResponse(event.nodeId, event.answer, now);
      case 'peer-failed':
        this.#awaitedPeers.delete(event.nodeId);
        this.#fetchingPeers.delete(event.nodeId);
        return [];
      case 'fetched':
        return this.#handleFetched(event.nodeId, event.delta, now);
      case 'push-received':
        return this.#handlePush(event.nodeId, event.root, event.delta, now);
      case 'digest-received':
        return this.#compareDigest(event.nodeId, event.digest, now);
      case 'tick':
        return this.#tick(now);
    }
  }

  #setMembers(
    members: readonly ConfigurationMember[],
    now: Milliseconds,
  ): ConfigurationAgentEffect[] {
    this.#members = new MemberView(this.#self, members);
    for (const root of this.#forwardedRevisions.keys()) {
      if (!this.#members.includes(root)) this.#forwardedRevisions.delete(root);
    }
    const candidate = this.#members
      .relayCandidates()
      .some((member) => member.nodeId === this.#self.nodeId);
    const effects = this.#relayRole.handle({ type: 'candidacy-changed', candidate }, now);
    const isFirstQueryDue =
      this.#startedAt !== undefined && !this.#isReady && this.#awaitedPeers.size === 0;
    return isFirstQueryDue ? [...effects, ...this.#queryPeers(now)] : effects;
  }

  #handleStoreRead(
    delta: ConfigurationDelta,
    storeRevision: number,
    now: Milliseconds,
  ): ConfigurationAgentEffect[] {
    const effects = this.#merge(delta, 'store', now);
    const ready: ConfigurationAgentEffect[] = this.#isReady ? [] : [{ type: 'ready' }];
    this.#isReady = true;
    const pushes = effects.length > 0 && this.#relayRole.isActive ? this.#pushAsRoot(delta) : [];
    return [
      ...effects,
      ...ready,
      ...this.#notifyStoreFollower({ type: 'store-read', storeRevision }, now),
      ...pushes,
    ];
  }

  #handleWatchDelta(delta: ConfigurationDelta, now: Milliseconds): ConfigurationAgentEffect[] {
    const effects = this.#merge(delta, 'watch', now);
    // A relay pushes a watched change even if it already has it from a peer: the nodes of its push
    // tree depend on this push.
    return [...effects, ...this.#pushAsRoot(delta)];
  }

  #handleDigestResponse(
    nodeId: string,
    answer: DigestResponse,
    now: Milliseconds,
  ): ConfigurationAgentEffect[] {
    this.#awaitedPeers.delete(nodeId);
    if (!answer.ready) return [];
    this.#hasPeerResponded = true;
    return this.#compareDigest(nodeId, answer.digest, now);
  }

  #compareDigest(
    nodeId: string,
    digest: ConfigurationDigest,
    now: Milliseconds,
  ): ConfigurationAgentEffect[] {
    const own = this.replica.digest();
    this.#recordSeenRevision(digest.revision, now);
    if (digest.revision < own.revision || digest.hash === own.hash) return [];
    if (digest.revision > own.revision) return this.#fetch(nodeId, own.revision);
    this.#digestMismatches += 1;
    return this.#fetch(nodeId, 0);
  }

  #fetch(nodeId: string, sinceRevision: ConfigurationRevision): ConfigurationAgentEffect[] {
    const peer = this.#members.get(nodeId);
    if (peer === undefined || this.#fetchingPeers.has(nodeId)) return [];
    this.#fetchingPeers.add(nodeId);
    return [{ type: 'fetch', peer, sinceRevision }];
  }

  #handleFetched(
    nodeId: string,
    delta: ConfigurationDelta,
    now: Milliseconds,
  ): ConfigurationAgentEffect[] {
    this.#fetchingPeers.delete(nodeId);
    const effects = this.#merge(delta, 'peer', now);
    if (effects.length === 0) return [];
    const peer = this.#members.get(nodeId);
    const fromOtherZone = peer !== undefined && peer.zone !== this.#self.zone;
    return fromOtherZone ? [...effects, ...this.#pushToCandidates(delta)] : effects;
  }

  /**
   * A change fetched from another zone has not reached this zone's relays yet, so its candidates
   * push it.
   */
  #pushToCandidates(delta: ConfigurationDelta): ConfigurationAgentEffect[] {
    return this.#members.relayCandidates().flatMap((peer): ConfigurationAgentEffect[] => {
      if (peer.nodeId === this.#self.nodeId) return this.#pushAsRoot(delta);
      return [{ type: 'push', peer, root: peer.nodeId, delta }];
    });
  }

  #handlePush(
    nodeId: string,
    root: string,
    delta: ConfigurationDelta,
    now: Milliseconds,
  ): ConfigurationAgentEffect[] {
    this.#recordSeenRevision(delta.revision, now);
    if (delta.sinceRevision > this.replica.revision) {
      return [...this.#fetch(nodeId, this.replica.revision), ...this.#forward(root, delta)];
    }
    return [...this.#merge(delta, 'push', now), ...this.#forward(root, delta)];
  }

  #pushAsRoot(delta: ConfigurationDelta): ConfigurationAgentEffect[] {
    return this.#forward(this.#self.nodeId, delta);
  }

  #forward(root: string, delta: ConfigurationDelta): ConfigurationAgentEffect[] {
    if (
      !this.#members.includes(root) ||
      delta.revision <= (this.#forwardedRevisions.get(root) ?? 0)
    )
      return [];
    this.#forwardedRevisions.set(root, delta.revision);
    return this.#members
      .selectPushTargets(root)
      .map((peer) => ({ type: 'push', peer, root, delta }));
  }

  #merge(
    delta: ConfigurationDelta,
    source: ConfigurationSource,
    now: Milliseconds,
  ): ConfigurationAgentEffect[] {
    this.#recordSeenRevision(delta.revision, now);
    if (this.replica.merge(delta) !== 'applied') return [];
    this.#source = source;
    if (this.replica.revision >= this.#highestSeenRevision) this.#behindSince = undefined;
    return [{ type: 'apply', snapshot: this.replica.snapshot() }];
  }

  #recordSeenRevision(revision: ConfigurationRevision, now: Milliseconds): void {
    this.#highestSeenRevision = Math.max(this.#highestSeenRevision, revision);
    if (this.#highestSeenRevision > this.replica.revision) this.#behindSince ??= now;
  }

  /**
   * Without the store, the node becomes ready once every queried peer has responded or failed, at
   * least one had a configuration, and the highest revision seen has been applied.
   */
  #checkReadiness(now: Milliseconds): ConfigurationAgentEffect[] {
    if (this.#isReady || !this.#hasPeerResponded || this.#startedAt === undefined) return [];
    if (!this.#hasStoreFailed && now - this.#startedAt < START_STORE_TIMEOUT_MS) return [];
    const waiting = this.#awaitedPeers.size > 0 || this.#fetchingPeers.size > 0;
    if (waiting || this.replica.revision < this.#highestSeenRevision) return [];
    this.#isReady = true;
    return [{ type: 'ready' }];
  }

  #updateStoreDemand(now: Milliseconds): ConfigurationAgentEffect[] {
    if (this.#startedAt === undefined) return [];
    const demand = { watch: this.#relayRole.isActive, read: !this.#isReady };
    return this.#notifyStoreFollower({ type: 'demand-changed', ...demand }, now);
  }

  #notifyStoreFollower(event: StoreFollowerEvent, now: Milliseconds): ConfigurationAgentEffect[] {
    return this.#storeFollower.handle(event, now);
  }

  #tick(now: Milliseconds): ConfigurationAgentEffect[] {
    const isPeerQueryDue = this.#nextPeerQueryAt !== undefined && now >= this.#nextPeerQueryAt;
    return [
      ...(isPeerQueryDue ? this.#queryPeers(now) : []),
      ...this.#relayRole.handle({ type: 'tick' }, now),
      ...this.#storeFollower.handle({ type: 'tick' }, now),
    ];
  }

  #queryPeers(now: Milliseconds): ConfigurationAgentEffect[] {
    const period = this.#isReady ? ANTI_ENTROPY_PERIOD_MS : START_QUERY_PERIOD_MS;
    this.#nextPeerQueryAt = now + jitter(period, this.#random);
    if (this.#isReady) {
      if (!this.#comparesDigests) return [];
      const peer = this.#members.selectAntiEntropyPeer(this.#random);
      return peer === undefined ? [] : [{ type: 'ask-digest', peer }];
    }
    const unqueried = this.#members.others.filter(
      (member) => !this.#awaitedPeers.has(member.nodeId),
    );
    return sample(unqueried, START_PEER_COUNT - this.#awaitedPeers.size, this.#random).map(
      (peer) => {
        this.#awaitedPeers.add(peer.nodeId);
        return { type: 'ask-digest', peer };
      },
    );
  }
}
