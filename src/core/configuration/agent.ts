/**
 * Keeps one node's configuration: puts together the replica, the relay lease, the store's watch,
 * pushes along the zone's tree and anti-entropy with random peers. No I/O; the adapter in
 * src/node/configuration carries the effects out.
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

const ANTI_ENTROPY_INTERVAL_MS = 1000;
const START_INTERVAL_MS = 400;
/** Peers that a node without a configuration asks at once. */
const START_PEERS = 5;
/** A store that has not answered the first read by then counts as in trouble. */
const START_STORE_WAIT_MS = 1500;

/** What the agent is built with. */
export interface AgentOptions {
  readonly self: ConfigurationMember;
  readonly random: RandomSource;
  /** Mutation checks only. */
  readonly without?: ReadonlySet<ConfigurationMechanism>;
}

/** The state machine of one node's configuration. */
export class ConfigurationAgent {
  readonly replica: ConfigurationReplica;
  readonly #self: ConfigurationMember;
  readonly #random: RandomSource;
  readonly #comparesDigests: boolean;
  readonly #role: RelayRole;
  readonly #follower: StoreFollower;
  #view: MemberView;
  #startedAt: Milliseconds | undefined;
  #ready = false;
  #storeFailed = false;
  /** Peers asked in the current round of the start, not yet answered. */
  readonly #awaited = new Set<string>();
  readonly #fetching = new Set<string>();
  /** For each root of a push tree, the highest revision that was passed on for it. */
  readonly #forwarded = new Map<string, ConfigurationRevision>();
  #peerAnswered = false;
  #nextPeerAt: Milliseconds | undefined;
  #source: ConfigurationSource = 'none';
  #highestSeen: ConfigurationRevision = 0;
  #behindSince: Milliseconds | undefined;
  #digestMismatches = 0;

  constructor(options: AgentOptions) {
    this.replica = new ConfigurationReplica(options.without);
    this.#comparesDigests = options.without?.has('anti-entropy') !== true;
    this.#self = options.self;
    this.#random = options.random;
    this.#view = new MemberView(options.self, []);
    this.#role = new RelayRole(options.random);
    this.#follower = new StoreFollower(options.random);
  }

  nextDeadline(): Milliseconds | undefined {
    const deadlines = [
      this.#nextPeerAt,
      this.#role.nextDeadline(),
      this.#follower.nextDeadline(),
    ].filter((at) => at !== undefined);
    return deadlines.length === 0 ? undefined : Math.min(...deadlines);
  }

  /** Answer to a peer that asks. */
  digestAnswer(): DigestResponse {
    return { digest: this.replica.digest(), ready: this.#ready };
  }

  status(now: Milliseconds): ConfigurationStatus {
    return {
      ready: this.#ready,
      revision: this.replica.revision,
      highestSeenRevision: this.#highestSeen,
      lagMs: this.#behindSince === undefined ? 0 : now - this.#behindSince,
      source: this.#source,
      relay: this.#role.active,
      watching: this.#follower.watching,
      digest: this.replica.digest().hash,
      digestMismatches: this.#digestMismatches,
    };
  }

  handle(event: ConfigurationAgentEvent, now: Milliseconds): ConfigurationAgentEffect[] {
    const effects = this.#dispatch(event, now);
    return [...effects, ...this.#becomeReady(now), ...this.#updateDemand(now)];
  }

  #dispatch(event: ConfigurationAgentEvent, now: Milliseconds): ConfigurationAgentEffect[] {
    switch (event.type) {
      case 'started':
        this.#startedAt = now;
        return this.#peerRound(now);
      case 'members-changed':
        return this.#setMembers(event.members, now);
      case 'store-read':
        return this.#storeRead(event.delta, event.storeRevision, now);
      case 'store-read-failed':
        this.#storeFailed = true;
        return this.#follow(event, now);
      case 'watch-delta':
        return this.#watchDelta(event.delta, now);
      case 'watch-ended':
      case 'head-check-failed':
        return this.#follow(event, now);
      case 'head-checked':
        this.#hearOf(event.headRevision, now);
        return this.#follow({ ...event, replicaRevision: this.replica.revision }, now);
      case 'relay':
        return this.#role.handle(event.event, now);
      case 'digest-answered':
        return this.#digestAnswered(event.nodeId, event.answer, now);
      case 'peer-failed':
        this.#awaited.delete(event.nodeId);
        this.#fetching.delete(event.nodeId);
        return [];
      case 'fetched':
        return this.#fetched(event.nodeId, event.delta, now);
      case 'push-received':
        return this.#pushReceived(event.nodeId, event.root, event.delta, now);
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
    this.#view = new MemberView(this.#self, members);
    for (const root of this.#forwarded.keys()) {
      if (!this.#view.includes(root)) this.#forwarded.delete(root);
    }
    const candidate = this.#view.candidates().some((member) => member.nodeId === this.#self.nodeId);
    const effects = this.#role.handle({ type: 'candidacy-changed', candidate }, now);
    const firstPeers = this.#startedAt !== undefined && !this.#ready && this.#awaited.size === 0;
    return firstPeers ? [...effects, ...this.#peerRound(now)] : effects;
  }

  #storeRead(
    delta: ConfigurationDelta,
    storeRevision: number,
    now: Milliseconds,
  ): ConfigurationAgentEffect[] {
    const effects = this.#merge(delta, 'store', now);
    const ready: ConfigurationAgentEffect[] = this.#ready ? [] : [{ type: 'ready' }];
    this.#ready = true;
    const spread = effects.length > 0 && this.#role.active ? this.#pushOwn(delta) : [];
    return [
      ...effects,
      ...ready,
      ...this.#follow({ type: 'store-read', storeRevision }, now),
      ...spread,
    ];
  }

  #watchDelta(delta: ConfigurationDelta, now: Milliseconds): ConfigurationAgentEffect[] {
    const effects = this.#merge(delta, 'watch', now);
    // A relay pushes what its watch brings even if a peer was faster: its tree waits for it.
    return [...effects, ...this.#pushOwn(delta)];
  }

  #digestAnswered(
    nodeId: string,
    answer: DigestResponse,
    now: Milliseconds,
  ): ConfigurationAgentEffect[] {
    this.#awaited.delete(nodeId);
    if (!answer.ready) return [];
    this.#peerAnswered = true;
    return this.#compareDigest(nodeId, answer.digest, now);
  }

  #compareDigest(
    nodeId: string,
    digest: ConfigurationDigest,
    now: Milliseconds,
  ): ConfigurationAgentEffect[] {
    const own = this.replica.digest();
    this.#hearOf(digest.revision, now);
    if (digest.revision < own.revision || digest.hash === own.hash) return [];
    if (digest.revision > own.revision) return this.#fetch(nodeId, own.revision);
    this.#digestMismatches += 1;
    return this.#fetch(nodeId, 0);
  }

  #fetch(nodeId: string, sinceRevision: ConfigurationRevision): ConfigurationAgentEffect[] {
    const peer = this.#view.get(nodeId);
    if (peer === undefined || this.#fetching.has(nodeId)) return [];
    this.#fetching.add(nodeId);
    return [{ type: 'fetch', peer, sinceRevision }];
  }

  #fetched(
    nodeId: string,
    delta: ConfigurationDelta,
    now: Milliseconds,
  ): ConfigurationAgentEffect[] {
    this.#fetching.delete(nodeId);
    const effects = this.#merge(delta, 'peer', now);
    if (effects.length === 0) return [];
    const peer = this.#view.get(nodeId);
    const fromOtherZone = peer !== undefined && peer.zone !== this.#self.zone;
    return fromOtherZone ? [...effects, ...this.#tellCandidates(delta)] : effects;
  }

  /** News from another zone means that no relay of this zone had it yet; the candidates spread it. */
  #tellCandidates(delta: ConfigurationDelta): ConfigurationAgentEffect[] {
    return this.#view.candidates().flatMap((peer): ConfigurationAgentEffect[] => {
      if (peer.nodeId === this.#self.nodeId) return this.#pushOwn(delta);
      return [{ type: 'push', peer, root: peer.nodeId, delta }];
    });
  }

  #pushReceived(
    nodeId: string,
    root: string,
    delta: ConfigurationDelta,
    now: Milliseconds,
  ): ConfigurationAgentEffect[] {
    this.#hearOf(delta.revision, now);
    if (delta.sinceRevision > this.replica.revision) {
      return [...this.#fetch(nodeId, this.replica.revision), ...this.#forward(root, delta)];
    }
    return [...this.#merge(delta, 'push', now), ...this.#forward(root, delta)];
  }

  #pushOwn(delta: ConfigurationDelta): ConfigurationAgentEffect[] {
    return this.#forward(this.#self.nodeId, delta);
  }

  #forward(root: string, delta: ConfigurationDelta): ConfigurationAgentEffect[] {
    if (!this.#view.includes(root) || delta.revision <= (this.#forwarded.get(root) ?? 0)) return [];
    this.#forwarded.set(root, delta.revision);
    return this.#view.pushTargets(root).map((peer) => ({ type: 'push', peer, root, delta }));
  }

  #merge(
    delta: ConfigurationDelta,
    source: ConfigurationSource,
    now: Milliseconds,
  ): ConfigurationAgentEffect[] {
    this.#hearOf(delta.revision, now);
    if (this.replica.merge(delta) !== 'applied') return [];
    this.#source = source;
    if (this.replica.revision >= this.#highestSeen) this.#behindSince = undefined;
    return [{ type: 'apply', snapshot: this.replica.snapshot() }];
  }

  #hearOf(revision: ConfigurationRevision, now: Milliseconds): void {
    this.#highestSeen = Math.max(this.#highestSeen, revision);
    if (this.#highestSeen > this.replica.revision) this.#behindSince ??= now;
  }

  /** With the store in trouble: every peer that was asked has answered, and one had something. */
  #becomeReady(now: Milliseconds): ConfigurationAgentEffect[] {
    if (this.#ready || !this.#peerAnswered || this.#startedAt === undefined) return [];
    if (!this.#storeFailed && now - this.#startedAt < START_STORE_WAIT_MS) return [];
    const waiting = this.#awaited.size > 0 || this.#fetching.size > 0;
    if (waiting || this.replica.revision < this.#highestSeen) return [];
    this.#ready = true;
    return [{ type: 'ready' }];
  }

  #updateDemand(now: Milliseconds): ConfigurationAgentEffect[] {
    if (this.#startedAt === undefined) return [];
    const demand = { watch: this.#role.active, read: !this.#ready };
    return this.#follow({ type: 'demand-changed', ...demand }, now);
  }

  #follow(event: StoreFollowerEvent, now: Milliseconds): ConfigurationAgentEffect[] {
    return this.#follower.handle(event, now);
  }

  #tick(now: Milliseconds): ConfigurationAgentEffect[] {
    const peers = this.#nextPeerAt !== undefined && now >= this.#nextPeerAt;
    return [
      ...(peers ? this.#peerRound(now) : []),
      ...this.#role.handle({ type: 'tick' }, now),
      ...this.#follower.handle({ type: 'tick' }, now),
    ];
  }

  #peerRound(now: Milliseconds): ConfigurationAgentEffect[] {
    const interval = this.#ready ? ANTI_ENTROPY_INTERVAL_MS : START_INTERVAL_MS;
    this.#nextPeerAt = now + jitter(interval, this.#random);
    if (this.#ready) {
      if (!this.#comparesDigests) return [];
      const peer = this.#view.antiEntropyPeer(this.#random);
      return peer === undefined ? [] : [{ type: 'ask-digest', peer }];
    }
    const free = this.#view.others.filter((member) => !this.#awaited.has(member.nodeId));
    return sample(free, START_PEERS - this.#awaited.size, this.#random).map((peer) => {
      this.#awaited.add(peer.nodeId);
      return { type: 'ask-digest', peer };
    });
  }
}
