/** One membership machine that knows a fleet of a given size. */
import { DEFAULT_MEMBERSHIP_OPTIONS } from '../../src/core/membership/contract.js';
import { MembershipStateMachine } from '../../src/core/membership/machine.js';
import type { MemberUpdate } from '../../src/core/membership/member.js';
import { rounded } from '../distribution.js';
import type { NodePlace } from '../hollow-node.js';
import { kept, meanMs } from './measure.js';

const OPERATIONS = 200;
const PAGE = 512;
const INCARNATION = 1_790_000_000_000;

export interface MembershipCost {
  readonly members: number;
  readonly memoryBytes: number;
  /** Listing all members, as the configuration does once a second. */
  readonly listMs: number;
  /** Answering a sync whose digests agree. */
  readonly syncAnswerMs: number;
}

export function membershipCost(places: readonly NodePlace[], random: () => number): MembershipCost {
  const { built: machine, bytes } = kept(() => machineThatKnows(places, random));
  const listMs = meanMs(OPERATIONS, () => {
    machine.members();
  });
  const [first] = places;
  if (first === undefined) return { members: 0, memoryBytes: bytes, listMs, syncAnswerMs: 0 };
  const probe = machine.handle(
    {
      type: 'sync-requested',
      requestId: 0,
      request: { sender: updateOf(first), digests: [], cursor: 0 },
    },
    1,
  );
  const answer = probe.find((effect) => effect.type === 'sync-reply');
  const digests = answer?.type === 'sync-reply' ? answer.answer.digests : [];
  const request = { sender: updateOf(first), digests, cursor: 0 };
  const syncAnswerMs = meanMs(OPERATIONS, () => {
    machine.handle({ type: 'sync-requested', requestId: 0, request }, 1);
  });
  return {
    members: places.length,
    memoryBytes: bytes,
    listMs: rounded(listMs, 3),
    syncAnswerMs: rounded(syncAnswerMs, 3),
  };
}

function machineThatKnows(
  places: readonly NodePlace[],
  random: () => number,
): MembershipStateMachine {
  const [self, ...others] = places;
  const place = self ?? { nodeId: 'self', zone: 'z', host: '10.0.0.1', peerPort: 1 };
  const { nodeId, zone, host, peerPort } = place;
  const machine = new MembershipStateMachine(
    { nodeId, incarnation: INCARNATION, zone, host, peerPort },
    DEFAULT_MEMBERSHIP_OPTIONS,
    random,
  );
  machine.handle({ type: 'start', nodes: places }, 0);
  for (let from = 0; from < others.length; from += PAGE) {
    const page = others.slice(from, from + PAGE).map(updateOf);
    const [sender] = page;
    if (sender === undefined) continue;
    machine.handle({ type: 'sync-pushed', push: { sender, updates: page } }, 0);
  }
  return machine;
}

/** As decoded from a message: with texts of its own. */
function updateOf({ nodeId, zone, host, peerPort }: NodePlace): MemberUpdate {
  const text = (value: string): string => Buffer.from(value).toString();
  return {
    nodeId: text(nodeId),
    incarnation: INCARNATION,
    version: 0,
    liveness: 'alive',
    leaving: false,
    zone: text(zone),
    host: text(host),
    peerPort,
    configurationRevision: 1,
  };
}
