/** Measures one membership state machine that knows a fleet of a given size. */
import { DEFAULT_MEMBERSHIP_OPTIONS } from '../../src/core/membership/contract.js';
import { MembershipStateMachine } from '../../src/core/membership/machine.js';
import type { MemberUpdate } from '../../src/core/membership/member.js';
import { roundTo } from '../distribution.js';
import type { NodeLocation } from '../hollow-node.js';
import { meanMs, measureMemory } from './measure.js';

const OPERATIONS = 200;
const MEMBERS_PER_PAGE = 512;
const INCARNATION = 1_790_000_000_000;

export interface MembershipCost {
  readonly members: number;
  readonly memoryBytes: number;
  /** Time to list all members, as the configuration does once a second. */
  readonly listMs: number;
  /** Time to respond to a sync whose digests agree. */
  readonly syncAnswerMs: number;
}

export function measureMembership(
  locations: readonly NodeLocation[],
  random: () => number,
): MembershipCost {
  const { built: machine, bytes } = measureMemory(() => createStateMachine(locations, random));
  const listMs = meanMs(OPERATIONS, () => {
    machine.members();
  });
  const [first] = locations;
  if (first === undefined) return { members: 0, memoryBytes: bytes, listMs, syncAnswerMs: 0 };
  const probe = machine.handle(
    {
      type: 'sync-requested',
      requestId: 0,
      request: { sender: toMemberUpdate(first), digests: [], cursor: 0 },
    },
    1,
  );
  const reply = probe.find((effect) => effect.type === 'sync-reply');
  const digests = reply?.type === 'sync-reply' ? reply.answer.digests : [];
  const request = { sender: toMemberUpdate(first), digests, cursor: 0 };
  const syncAnswerMs = meanMs(OPERATIONS, () => {
    machine.handle({ type: 'sync-requested', requestId: 0, request }, 1);
  });
  return {
    members: locations.length,
    memoryBytes: bytes,
    listMs: roundTo(listMs, 3),
    syncAnswerMs: roundTo(syncAnswerMs, 3),
  };
}

function createStateMachine(
  locations: readonly NodeLocation[],
  random: () => number,
): MembershipStateMachine {
  const [self, ...others] = locations;
  const location = self ?? { nodeId: 'self', zone: 'z', host: '10.0.0.1', peerPort: 1 };
  const { nodeId, zone, host, peerPort } = location;
  const machine = new MembershipStateMachine(
    { nodeId, incarnation: INCARNATION, zone, host, peerPort },
    DEFAULT_MEMBERSHIP_OPTIONS,
    random,
  );
  machine.handle({ type: 'start', nodes: locations }, 0);
  for (let from = 0; from < others.length; from += MEMBERS_PER_PAGE) {
    const page = others.slice(from, from + MEMBERS_PER_PAGE).map(toMemberUpdate);
    const [sender] = page;
    if (sender === undefined) continue;
    machine.handle({ type: 'sync-pushed', push: { sender, updates: page } }, 0);
  }
  return machine;
}

/** An update as decoded from a message, with its own copies of the strings. */
function toMemberUpdate({ nodeId, zone, host, peerPort }: NodeLocation): MemberUpdate {
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
