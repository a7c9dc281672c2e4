/** Selects the peers that a node queries. */
import type { RandomSource } from './backoff.js';
import type { ConfigurationMember } from './relays.js';

/** Fraction of anti-entropy rounds that query a peer in another zone. */
const OTHER_ZONE_FRACTION = 0.25;

/** A random peer for one anti-entropy round, mostly of the own zone; undefined if there is none. */
export function selectAntiEntropyPeer(
  ownZone: readonly ConfigurationMember[],
  otherZones: readonly ConfigurationMember[],
  random: RandomSource,
): ConfigurationMember | undefined {
  const prefersOtherZone = random() < OTHER_ZONE_FRACTION;
  const [preferred, rest] = prefersOtherZone ? [otherZones, ownZone] : [ownZone, otherZones];
  const members = preferred.length > 0 ? preferred : rest;
  return members[Math.floor(random() * members.length)];
}

/** Random members, up to `count`, each at most once. */
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
