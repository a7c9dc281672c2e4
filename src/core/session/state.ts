/**
 * What is known of a session's past, per database group. Immutable: each function gives a new
 * state. The rules are in docs/design/sessions.md.
 */
import { laterPosition, type Position, ZERO_POSITION } from '../position.js';
import type { GroupName, SessionRequirement } from '../request.js';

/** What holds for the groups that a session's state does not list. */
export type UnlistedGroups =
  /** The session did nothing there. */
  | 'untouched'
  /** It can't be told whether the session wrote there. */
  | 'unknown';

/** Positions of one session. Groups are in order of last use, the most recent last. */
export interface SessionState {
  readonly groups: ReadonlyMap<GroupName, SessionRequirement>;
  readonly unlistedGroups: UnlistedGroups;
}

/** Where an observed position comes from. */
export type PositionSource =
  /** A primary that a majority confirmed after the statement ran: it holds all earlier writes. */
  | 'confirmed-primary'
  /** A replica, or a primary that nobody confirmed. */
  | 'unconfirmed';

const UNKNOWN_REQUIREMENT: SessionRequirement = { type: 'unknown' };
const UNTOUCHED_REQUIREMENT: SessionRequirement = { type: 'known', position: ZERO_POSITION };

/** A session that claims no past: neither a token nor a session id came with it. */
export function freshSession(): SessionState {
  return { groups: new Map(), unlistedGroups: 'untouched' };
}

/** A session that has a past which can't be told: its id came alone and its home nodes don't know. */
export function unknownSession(): SessionState {
  return { groups: new Map(), unlistedGroups: 'unknown' };
}

/** What a read in this group must have seen. */
export function requirementFor(state: SessionState, group: GroupName): SessionRequirement {
  const listed = state.groups.get(group);
  if (listed !== undefined) return listed;
  return state.unlistedGroups === 'unknown' ? UNKNOWN_REQUIREMENT : UNTOUCHED_REQUIREMENT;
}

/**
 * The session wrote or read at this position. Never moves a group backwards. An unknown group
 * becomes known only by a confirmed primary, since only that surely holds the session's past.
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
 * The outcome of a write in this group is unknown: it may lie beyond every position seen, so the
 * next read needs a confirmed primary to show what became of it.
 */
export function markUnknown(state: SessionState, group: GroupName): SessionState {
  return withGroup(state, group, UNKNOWN_REQUIREMENT);
}

/**
 * Takes in what a token or the home nodes tell of the same session. Each side tells the truth about
 * what it lists, so the later position holds; what only one side can't tell the other may.
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
