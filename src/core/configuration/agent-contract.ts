/** Events and effects of the state machine that keeps one node's configuration up to date. */
import type { Milliseconds } from '../units.js';
import type { ConfigurationRevision, ConfigurationSnapshot } from './model.js';
import type { RelayRoleEffect, RelayRoleEvent } from './relay-role.js';
import type { ConfigurationMember } from './relays.js';
import type { ConfigurationDelta, ConfigurationDigest } from './replica.js';
import type { StoreFollowerEffect } from './store-follower.js';

/** A node's response to a digest request. */
export interface DigestResponse {
  readonly digest: ConfigurationDigest;
  /** False while the node has no configuration yet. */
  readonly ready: boolean;
}

/** Input of the configuration agent. */
export type ConfigurationAgentEvent =
  | { readonly type: 'started' }
  /** The live members, excluding this node. */
  | { readonly type: 'members-changed'; readonly members: readonly ConfigurationMember[] }
  /** All declarations in force, read from the store at `storeRevision`. */
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
  | { readonly type: 'digest-answered'; readonly nodeId: string; readonly answer: DigestResponse }
  /** A digest or fetch request to the peer failed. */
  | { readonly type: 'peer-failed'; readonly nodeId: string }
  | { readonly type: 'fetched'; readonly nodeId: string; readonly delta: ConfigurationDelta }
  /** A peer pushed a change along the push tree whose root is the node `root`. */
  | {
      readonly type: 'push-received';
      readonly nodeId: string;
      readonly root: string;
      readonly delta: ConfigurationDelta;
    }
  /** A peer requested this node's digest and sent its own. */
  | {
      readonly type: 'digest-received';
      readonly nodeId: string;
      readonly digest: ConfigurationDigest;
    }
  | { readonly type: 'tick' };

/** Output of the configuration agent. */
export type ConfigurationAgentEffect =
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
  /** The configuration in force on this node has changed. */
  | { readonly type: 'apply'; readonly snapshot: ConfigurationSnapshot }
  /** Emitted once: this node has a configuration and may serve callers. */
  | { readonly type: 'ready' };

/** How the last change reached this node. */
export type ConfigurationSource = 'none' | 'store' | 'watch' | 'push' | 'peer';

/** State of a node's configuration, as shown by the `status` command. */
export interface ConfigurationStatus {
  readonly ready: boolean;
  readonly revision: ConfigurationRevision;
  /** Highest revision that this node has learned of. */
  readonly highestSeenRevision: ConfigurationRevision;
  /** Time since this node learned of a revision that it has not applied; 0 if it has applied the highest. */
  readonly lagMs: Milliseconds;
  readonly source: ConfigurationSource;
  readonly relay: boolean;
  readonly watching: boolean;
  readonly digest: string;
  /** Number of digests that differed from a peer's at the same revision; expected to stay 0. */
  readonly digestMismatches: number;
}
