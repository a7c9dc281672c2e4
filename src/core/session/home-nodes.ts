/**
 * Which nodes keep the positions of a session that moves with nothing but its id, and what a
 * gateway makes of their answers. Records are acknowledged by `HOME_QUORUM` of `HOME_SET_SIZE`
 * nodes before the write's acknowledgement is released, and read from `HOME_QUORUM`, so that any
 * read meets a node that has the last record. See docs/design/sessions.md.
 */
import { laterPosition, type Position, ZERO_POSITION } from '../position.js';
import type { GroupName, SessionRequirement, TenantName } from '../request.js';
import { type SessionState, unknownSession } from './state.js';

/** Home nodes of a session. */
export const HOME_SET_SIZE = 3;
/** Home nodes that must have taken or given a position. */
export const HOME_QUORUM = 2;

/** Names one session of one tenant; two tenants never share a session. */
export interface SessionKeyName {
  readonly tenant: TenantName;
  readonly sessionId: string;
}

/** Orders all nodes by preference for a key, best first, the same on every node (rendezvous). */
export type NodeRanking = (key: string, nodeIds: readonly string[]) => readonly string[];

/** A position to keep for a session. */
export interface GroupPosition {
  readonly group: GroupName;
  readonly position: Position;
}

/** One home node's answer to a look-up. */
export interface HomeAnswer {
  /** Positions that the node has; empty if it has nothing of the session. */
  readonly positions: ReadonlyMap<GroupName, Position>;
  /** False if the node may have lost records of a live session (restart, early eviction). */
  readonly complete: boolean;
}

/** Text under which nodes are ranked; the tenant's length keeps keys of two tenants apart. */
export function homeKey(name: SessionKeyName): string {
  return `${name.tenant.length}:${name.tenant}/${name.sessionId}`;
}

/**
 * Home nodes of a session. `members` are the nodes of the machine list, together with those that
 * left it within the life of a session: a departed node still counts, unreachable, so that the set
 * never changes by more than what the quorum bears.
 */
export function homeNodesOf(
  name: SessionKeyName,
  members: readonly string[],
  rank: NodeRanking,
): readonly string[] {
  return rank(homeKey(name), members).slice(0, HOME_SET_SIZE);
}

/** Number of home nodes that must answer; in a cluster of one node, that one. */
export function quorumOf(homeNodeCount: number): number {
  return Math.min(HOME_QUORUM, homeNodeCount);
}

/** True once enough home nodes keep a record for the write's acknowledgement to be released. */
export function isRecorded(acknowledgements: number, homeNodeCount: number): boolean {
  return homeNodeCount > 0 && acknowledgements >= quorumOf(homeNodeCount);
}

/**
 * The session as those of its home nodes tell it that answered. A group is known if a quorum
 * vouches for it: a node vouches that lists the group or can't have lost it. All other groups are
 * unknown, never zero: the first read there goes to a confirmed primary and is then recorded.
 */
export function combineAnswers(
  answers: readonly HomeAnswer[],
  homeNodeCount: number,
): SessionState {
  const quorum = Math.max(1, quorumOf(homeNodeCount));
  const groups = new Map<GroupName, SessionRequirement>();
  for (const [group, position] of latestPositions(answers)) {
    const vouching = answers.filter((answer) => answer.complete || answer.positions.has(group));
    if (vouching.length >= quorum) groups.set(group, { type: 'known', position });
  }
  return { ...unknownSession(), groups };
}

function latestPositions(answers: readonly HomeAnswer[]): ReadonlyMap<GroupName, Position> {
  const latest = new Map<GroupName, Position>();
  for (const answer of answers) {
    for (const [group, position] of answer.positions) {
      latest.set(group, laterPosition(latest.get(group) ?? ZERO_POSITION, position));
    }
  }
  return latest;
}
