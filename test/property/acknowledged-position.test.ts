/** The position proven by the members' responses covers every acknowledged commit, whichever members are unresponsive. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { comparePositions, type Position, ZERO_POSITION } from '../../src/core/position.js';
import { acknowledgedPosition, type MemberResponse } from '../../src/core/promotion/evidence.js';

const SEED = 20_261_202;

interface Member {
  readonly id: string;
  received: Position;
}

type Step =
  | { readonly type: 'commit'; readonly receivers: readonly number[] }
  | { readonly type: 'catch-up'; readonly member: number }
  | { readonly type: 'promote'; readonly member: number };

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc
      .array(fc.nat(), { maxLength: 4 })
      .map((receivers) => ({ type: 'commit', receivers }) as const),
  },
  { weight: 2, arbitrary: fc.nat().map((member) => ({ type: 'catch-up', member }) as const) },
  { weight: 1, arbitrary: fc.nat().map((member) => ({ type: 'promote', member }) as const) },
);

/** A group in which a commit is acknowledged once `syncReplicas` replicas have received it. */
class Group {
  readonly members: readonly Member[];
  acknowledged = ZERO_POSITION;
  #primary = 0;
  #term = 1;
  #commits = 0n;

  constructor(
    size: number,
    private readonly syncReplicas: number,
  ) {
    this.members = Array.from({ length: size }, (_, index) => ({
      ...{ id: `i-${index}`, received: { timeline: 1, lsn: 0n } },
    }));
  }

  get primary(): Member {
    return this.#member(this.#primary);
  }

  play(step: Step): void {
    if (step.type === 'commit') this.#commit(step.receivers);
    else if (step.type === 'catch-up') this.#member(step.member).received = this.primary.received;
    else this.#promote(step.member);
  }

  #commit(receivers: readonly number[]): void {
    this.#commits += 1n;
    const position = { timeline: this.#term, lsn: this.#commits };
    this.primary.received = position;
    const replicas = new Set(receivers.map((index) => this.#member(index)));
    replicas.delete(this.primary);
    for (const replica of replicas) replica.received = position;
    if (replicas.size >= this.syncReplicas) this.acknowledged = position;
  }

  /** Promotes a member only if it has every acknowledged commit; the others then follow its log. */
  #promote(index: number): void {
    const chosen = this.#member(index);
    if (comparePositions(chosen.received, this.acknowledged) < 0) return;
    this.#primary = index % this.members.length;
    this.#term += 1;
    for (const member of this.members) {
      if (comparePositions(member.received, chosen.received) > 0) member.received = chosen.received;
    }
  }

  #member(index: number): Member {
    const member = this.members[index % this.members.length];
    if (member === undefined) throw new Error('a group has members');
    return member;
  }
}

function responsesOf({ members, primary }: Group, silent: ReadonlySet<string>) {
  return new Map(
    members.map((member): [string, MemberResponse] => {
      if (silent.has(member.id)) return [member.id, 'none'];
      const role = member === primary ? 'primary' : 'replica';
      const rest = { heldTerm: 0, lagMs: 0, busySlots: 0, connections: 0 };
      return [
        member.id,
        { role, term: member.received.timeline, received: member.received, ...rest },
      ];
    }),
  );
}

test('no acknowledged commit is beyond the position that the responses prove', () => {
  let proven = 0;
  fc.assert(
    fc.property(
      fc.integer({ min: 2, max: 5 }),
      fc.integer({ min: 1, max: 2 }),
      fc.array(step, { maxLength: 30 }),
      fc.array(fc.nat(), { maxLength: 3 }),
      (size, wanted, steps, away) => {
        const syncReplicas = Math.min(wanted, size - 1);
        const group = new Group(size, syncReplicas);
        for (const one of steps) group.play(one);
        const silent = new Set(away.map((index) => `i-${index % size}`));
        const position = acknowledgedPosition(responsesOf(group, silent), syncReplicas);
        if (position === undefined) return;
        proven += 1;
        assert.ok(comparePositions(position, group.acknowledged) >= 0);
      },
    ),
    { seed: SEED, numRuns: 2000 },
  );
  assert.ok(proven > 500, `proven in ${proven} of 2000`);
});

test('the position of the primary covers a commit that only it and a new, unknown replica have', () => {
  const status = (role: 'primary' | 'replica', lsn: bigint): MemberResponse => ({
    ...{ role, term: 4, received: { timeline: 4, lsn } },
    ...{ heldTerm: 0, lagMs: 0, busySlots: 0, connections: 0 },
  });
  // The new replica is not known yet, so it isn't queried; the other replica lags.
  const answers = new Map([
    ['primary', status('primary', 9n)],
    ['lagging', status('replica', 5n)],
  ]);
  assert.equal(acknowledgedPosition(answers, 1), { timeline: 4, lsn: 9n });
});

test('nothing is proven if as many members are unresponsive as replicas receive each commit', () => {
  const group = new Group(3, 1);
  group.play({ type: 'commit', receivers: [1] });
  const answers = responsesOf(group, new Set(['i-1']));
  assert.is(acknowledgedPosition(answers, 1), undefined);
});

test.run();
