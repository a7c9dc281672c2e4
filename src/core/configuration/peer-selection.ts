/** Which peers a node asks. */
import type { RandomSource } from './backoff.js';
import type { ConfigurationMember } from './relays.js';

/** Share of anti-entropy rounds that go to another zone. */
const OTHER_ZONE_SHARE = 0.25;

/** The peer of one anti-entropy round, mostly of the own zone; undefined if there is no other. */
export function antiEntropyPeer(
  ownZone: readonly ConfigurationMember[],
  otherZones: readonly ConfigurationMember[],
  random: RandomSource,
): ConfigurationMember | undefined {
  const wantOther = random() < OTHER_ZONE_SHARE;
  const [preferred, rest] = wantOther ? [otherZones, ownZone] : [ownZone, otherZones];
  const members = preferred.length > 0 ? preferred : rest;
  return members[Math.floor(random() * members.length)];
}

/** Some members, each at most once. */
export function sample(
  members: readonly ConfigurationMember[],
  count: number,
  random: RandomSource,
): readonly ConfigurationMember[] {
  const pool = [...members];
  const chosen: ConfigurationMember[] = [];
  while (chosen.length < count && pool.length > 0) {
    chosen.push(...pool.splice(Math.floor(random() * pool.length), 1));
  }
  return chosen;
}
