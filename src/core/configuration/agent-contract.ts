/** What goes into and comes out of the state machine that keeps one node's configuration. */
import type { Milliseconds } from '../units.js';
import type { ConfigurationRevision, ConfigurationSnapshot } from './model.js';
import type { RelayRoleEffect, RelayRoleEvent } from './relay-role.js';
import type { ConfigurationMember } from './relays.js';
import type { ConfigurationDelta, ConfigurationDigest } from './replica.js';
import type { StoreFollowerEffect } from './store-follower.js';

/** What a node answers about itself. */
export interface DigestAnswer {
  readonly digest: ConfigurationDigest;
  /** False while the node has no configuration of its own. */
  readonly ready: boolean;
}

/** What goes into the agent. */
export type AgentEvent =
  | { readonly type: 'started' }
  /** Live members without this node. */
  | { readonly type: 'members-changed'; readonly members: readonly ConfigurationMember[] }
  /** Everything under the current prefix, read at `storeRevision`. */
  | {
      readonly type: 'store-read';
      readonly storeRevision: number;
      readonly delta: ConfigurationDelta;
    }
  | { readonly type: 'store-read-failed'; readonly retryAfterMs: Milliseconds }
  | { readonly type: 'watch-delta'; readonly delta: ConfigurationDelta }
  | { readonly type: 'watch-ended' }
  | { readonly type: 'head-checked'; readonly headRevision: ConfigurationRevision }
  | { readonly type: 'head-check-failed'; readonly retryAfterMs: Milliseconds }
  | { readonly type: 'relay'; readonly event: RelayRoleEvent }
  | { readonly type: 'digest-answered'; readonly nodeId: string; readonly answer: DigestAnswer }
  /** A digest or fetch call to the peer failed. */
  | { readonly type: 'peer-failed'; readonly nodeId: string }
  | { readonly type: 'fetched'; readonly nodeId: string; readonly delta: ConfigurationDelta }
  /** A peer pushed a change along the tree of `root`. */
  | {
      readonly type: 'push-received';
      readonly nodeId: string;
      readonly root: string;
      readonly delta: ConfigurationDelta;
    }
  /** A peer asked for our digest and told its own. */
  | {
      readonly type: 'digest-received';
      readonly nodeId: string;
      readonly digest: ConfigurationDigest;
    }
  | { readonly type: 'tick' };

/** What comes out of the agent. */
export type AgentEffect =
  | StoreFollowerEffect
  | RelayRoleEffect
  | { readonly type: 'ask-digest'; readonly peer: ConfigurationMember }
  | {
      readonly type: 'fetch';
      readonly peer: ConfigurationMember;
      readonly sinceRevision: ConfigurationRevision;
    }
  | {
      readonly type: 'push';
      readonly peer: ConfigurationMember;
      readonly root: string;
      readonly delta: ConfigurationDelta;
    }
  /** The configuration in force here has changed. */
  | { readonly type: 'apply'; readonly snapshot: ConfigurationSnapshot }
  /** Once: a configuration is in hand, callers may be served. */
  | { readonly type: 'ready' };

/** From whom the last change came. */
export type ConfigurationSource = 'none' | 'store' | 'watch' | 'push' | 'peer';

/** What `status` shows of a node's configuration. */
export interface ConfigurationStatus {
  readonly ready: boolean;
  readonly revision: ConfigurationRevision;
  /** Highest revision that this node has heard of. */
  readonly highestSeenRevision: ConfigurationRevision;
  /** How long it has known of a revision that it does not hold yet; 0 if it holds the highest. */
  readonly lagMs: Milliseconds;
  readonly source: ConfigurationSource;
  readonly relay: boolean;
  readonly watching: boolean;
  readonly digest: string;
  /** Digests that differed at equal revisions; expected to stay 0. */
  readonly digestMismatches: number;
}
