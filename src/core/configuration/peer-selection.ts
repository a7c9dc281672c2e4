/** Which peers a node asks. */
import type { RandomSource } from './backoff.js';
import type { ConfigurationMember } from './relays.js';

/** Share of anti-entropy rounds that go to another zone. */
const OTHER_ZONE_SHARE = 0.25;

/** The peer of one anti-entropy round, mostly of the own zone; none if there is no other member. */
export function antiEntropyPeer(
  zone: string,
  members: readonly ConfigurationMember[],
  random: RandomSource,
): readonly ConfigurationMember[] {
  const wantOther = random() < OTHER_ZONE_SHARE;
  const preferred = members.filter((member) => (member.zone !== zone) === wantOther);
  return sample(preferred.length > 0 ? preferred : members, 1, random);
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
