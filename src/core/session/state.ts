/**
 * The log position that a session has observed in each database group. A state is immutable: each
 * function returns a new one. The rules are described in docs/design/sessions.md.
 */
import { laterPosition, type Position, ZERO_POSITION } from '../position.js';
import type { GroupName, SessionRequirement } from '../request.js';

/** State of the groups that a session's state does not list. */
export type UnlistedGroups =
  /** The session has not accessed these groups. */
  | 'untouched'
  /** The session may have written to these groups. */
  | 'unknown';

/** Positions of one session. Groups are ordered by last use, most recent last. */
export interface SessionState {
  readonly groups: ReadonlyMap<GroupName, SessionRequirement>;
  readonly unlistedGroups: UnlistedGroups;
}

/** Source of an observed position. */
export type PositionSource =
  /** A primary that a majority confirmed after the statement ran: it has all earlier writes. */
  | 'confirmed-primary'
  /** A replica, or a primary that was not confirmed. */
  | 'unconfirmed';

const UNKNOWN_REQUIREMENT: SessionRequirement = { type: 'unknown' };
/** Requirement of a session that has not accessed a group. */
export const UNTOUCHED_REQUIREMENT: SessionRequirement = { type: 'known', position: ZERO_POSITION };

/** State of a new session: the caller sent neither a token nor a session id. */
export function freshSession(): SessionState {
  return { groups: new Map(), unlistedGroups: 'untouched' };
}

/** State of a session known only by an id for which the home nodes returned no positions. */
export function unknownSession(): SessionState {
  return { groups: new Map(), unlistedGroups: 'unknown' };
}

/** Position that an instance must have reached to serve the session's reads in this group. */
export function requirementFor(state: SessionState, group: GroupName): SessionRequirement {
  const listed = state.groups.get(group);
  if (listed !== undefined) return listed;
  return state.unlistedGroups === 'unknown' ? UNKNOWN_REQUIREMENT : UNTOUCHED_REQUIREMENT;
}

/**
 * Records that the session wrote or read at this position. A group's position never moves back. An
 * unknown position becomes known only through a confirmed primary, because only a confirmed primary
 * is certain to have all of the session's earlier writes.
 */
export function observe(
  state: SessionState,
  group: GroupName,
  position: Position,
  source: PositionSource,
): SessionState {
  const earlier = requirementFor(state, group);
  if (earlier.type === 'unknown') {
    if (source === 'unconfirmed') return state;
    return withGroup(state, group, { type: 'known', position });
  }
  const later = laterPosition(earlier.position, position);
  return withGroup(state, group, { type: 'known', position: later });
}

/**
 * Records that the outcome of a write in this group is unknown. The write may be beyond every
 * observed position, so the next read must go to a confirmed primary to determine the outcome.
 */
export function markUnknown(state: SessionState, group: GroupName): SessionState {
  return withGroup(state, group, UNKNOWN_REQUIREMENT);
}

/** Drops the least recently used groups beyond `maxGroups`: what the session knew of them is unknown from then on. */
export function limitGroups(state: SessionState, maxGroups: number): SessionState {
  const excess = state.groups.size - maxGroups;
  if (excess <= 0) return state;
  return { groups: new Map([...state.groups].slice(excess)), unlistedGroups: 'unknown' };
}

/**
 * Merges two states of the same session, such as those from its token and its home nodes. Positions
 * known to both are valid, so the later one is used. A group that either side does not know stays
 * unknown.
 */
export function mergeSessions(left: SessionState, right: SessionState): SessionState {
  const groups = new Map<GroupName, SessionRequirement>();
  for (const group of [...left.groups.keys(), ...right.groups.keys()]) {
    const merged = mergeRequirements(requirementFor(left, group), requirementFor(right, group));
    groups.delete(group);
    groups.set(group, merged);
  }
  const bothUntouched = left.unlistedGroups === 'untouched' && right.unlistedGroups === 'untouched';
  return { groups, unlistedGroups: bothUntouched ? 'untouched' : 'unknown' };
}

function mergeRequirements(
  left: SessionRequirement,
  right: SessionRequirement,
): SessionRequirement {
  if (left.type === 'unknown' || right.type === 'unknown') return UNKNOWN_REQUIREMENT;
  return { type: 'known', position: laterPosition(left.position, right.position) };
}

function withGroup(
  state: SessionState,
  group: GroupName,
  requirement: SessionRequirement,
): SessionState {
  const groups = new Map(state.groups);
  groups.delete(group);
  groups.set(group, requirement);
  return { groups, unlistedGroups: state.unlistedGroups };
}
