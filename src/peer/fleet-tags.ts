/**
 * Tags by which two nodes find out whether they belong to the same fleet. Addresses are reused: a node of another fleet
 * may listen where one of this fleet did. All nodes of a fleet share a session key, and no other fleet has it.
 */
import { createHmac } from 'node:crypto';

const PURPOSE = 'meadowstack fleet';
const TAG_LENGTH = 22;
/** Maximum number of tags that are accepted from a peer. */
export const MAX_FLEET_TAGS = 16;

/** One tag for each session key; from a tag nothing follows about its key. Empty: the fleet is unknown. */
export function createFleetTags(keySecrets: readonly Buffer[]): readonly string[] {
  const tags = keySecrets.map((secret) => {
    return createHmac('sha256', secret).update(PURPOSE).digest('base64url').slice(0, TAG_LENGTH);
  });
  return tags.slice(0, MAX_FLEET_TAGS);
}

/** False only if both sides know their fleet and share no tag: during a rotation of keys they share at least one. */
export function mayBeSameFleet(own: readonly string[], other: readonly string[]): boolean {
  if (own.length === 0 || other.length === 0) return true;
  return own.some((tag) => other.includes(tag));
}
