/**
 * Home nodes store the positions of sessions that callers identify only by a session id, without a
 * token. This module selects a session's home nodes and combines their answers. A position must be
 * stored by `HOME_QUORUM` of `HOME_SET_SIZE` nodes before the write is acknowledged to the caller,
 * and is read from `HOME_QUORUM` nodes, so that every read reaches a node that has the latest
 * record. See docs/design/sessions.md.
 */
import { laterPosition, type Position, ZERO_POSITION } from '../position.js';
import type { GroupName, SessionRequirement, TenantName } from '../request.js';
import { type SessionState, unknownSession } from './state.js';

/** Number of home nodes of a session. */
export const HOME_SET_SIZE = 3;
/** Number of home nodes that must store a position, or answer a look-up. */
export const HOME_QUORUM = 2;

/** Identifies a session; the same session id of two tenants names two sessions. */
export interface SessionIdentity {
  readonly tenant: TenantName;
  readonly sessionId: string;
}

/** Rendezvous hashing: ranks nodes for a key, best first, with the same result on every node. */
export type NodeRanking = (key: string, nodeIds: readonly string[]) => readonly string[];

/** A session's position in one group. */
export interface GroupPosition {
  readonly group: GroupName;
  readonly position: Position;
}

/** A home node's answer to a look-up. */
export interface HomeNodeAnswer {
  /** Positions that the node stores; empty if it has no record of the session. */
  readonly positions: ReadonlyMap<GroupName, Position>;
  /** False if the node may have lost records of an active session (restart, early eviction). */
  readonly complete: boolean;
}

/** Key by which home nodes are ranked; the tenant's length keeps keys of two tenants distinct. */
export function homeKey(name: SessionIdentity): string {
  return `${name.tenant.length}:${name.tenant}/${name.sessionId}`;
}

/**
 * Home nodes of a session. `members` are the nodes of the machine list and those that left it
 * within the session idle timeout. A node that has left still counts, as unreachable, so that the
 * set never changes by more nodes than the quorum tolerates.
 */
export function homeNodesOf(
  name: SessionIdentity,
  members: readonly string[],
  rank: NodeRanking,
): readonly string[] {
  return rank(homeKey(name), members).slice(0, HOME_SET_SIZE);
}

/** Number of home nodes that must answer; fewer than `HOME_QUORUM` in a cluster of one node. */
export function quorumOf(homeNodeCount: number): number {
  return Math.min(HOME_QUORUM, homeNodeCount);
}

/** True once enough home nodes store a record for the write to be acknowledged to the caller. */
export function isRecorded(acknowledgements: number, homeNodeCount: number): boolean {
  return homeNodeCount > 0 && acknowledgements >= quorumOf(homeNodeCount);
}

/**
 * Combines the answers of a session's home nodes. A group's position is known if a quorum of
 * answers is authoritative for it, that is, lists the group or is complete. All other groups are
 * unknown, never at position zero: the first read there goes to a confirmed primary and is then
 * recorded.
 */
export function combineAnswers(
  answers: readonly HomeNodeAnswer[],
  homeNodeCount: number,
): SessionState {
  const quorum = Math.max(1, quorumOf(homeNodeCount));
  const groups = new Map<GroupName, SessionRequirement>();
  for (const [group, position] of latestPositions(answers)) {
    const authoritativeAnswers = answers.filter(
      (answer) => answer.complete || answer.positions.has(group),
    );
    if (authoritativeAnswers.length >= quorum) groups.set(group, { type: 'known', position });
  }
  return { ...unknownSession(), groups };
}

function latestPositions(answers: readonly HomeNodeAnswer[]): ReadonlyMap<GroupName, Position> {
  const latest = new Map<GroupName, Position>();
  for (const answer of answers) {
    for (const [group, position] of answer.positions) {
      latest.set(group, laterPosition(latest.get(group) ?? ZERO_POSITION, position));
    }
  }
  return latest;
}
