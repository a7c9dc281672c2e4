/** How a single node's machine list changes with individual poll answers and pushes. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { MachineListAgent } from '../../src/core/machine-list/agent.js';
import { type ListEntry, MachineListReplica } from '../../src/core/machine-list/replica.js';
import { hashOf } from '../support/machine-list-network.js';

const SELF = { nodeId: 'n0', zone: 'a', host: 'n0', port: 1 };
const OTHERS = Array.from({ length: 6 }, (_, index) => {
  const nodeId = `n${index + 1}`;
  return { ...SELF, nodeId, host: nodeId };
});
const LONG_MS = 60_000;

function entries(...texts: readonly string[]): ListEntry<string>[] {
  return texts.map((text) => ({ id: text.split(':')[0] ?? '', hash: hashOf(text), item: text }));
}

function agentWith(version: number, ...texts: readonly string[]): MachineListAgent<string> {
  const agent = new MachineListAgent<string>({ self: SELF, random: () => 0.5 });
  agent.handle({ type: 'started' }, 0);
  agent.handle(
    { type: 'read', reading: { knownVersion: 0, version, entries: entries(...texts) } },
    0,
  );
  return agent;
}

function read(
  agent: MachineListAgent<string>,
  knownVersion: number,
  version: number,
  ...texts: readonly string[]
): void {
  agent.handle({ type: 'read', reading: { knownVersion, version, entries: entries(...texts) } }, 0);
}

test('a response that is older than received pushes changes nothing, however often it arrives', () => {
  const agent = agentWith(12, 'm0:leaving');
  read(agent, 10, 11, 'm0:live');
  read(agent, 10, 11, 'm0:live');
  assert.equal(agent.replica.items(), ['m0:leaving']);
});

test('a service that responds twice with an earlier version than the known one is accepted the second time', () => {
  const agent = agentWith(12, 'm0:leaving');
  read(agent, 12, 10, 'm0:live');
  assert.equal(agent.replica.items(), ['m0:leaving']);
  read(agent, 10, 10, 'm0:live');
  assert.equal(agent.replica.items(), ['m0:live']);
  assert.equal(agent.replica.stamp, { epoch: 1, version: 10 });
});

test('a single response with an earlier version, followed by the known list, does not reset the list', () => {
  const agent = agentWith(12, 'm0:leaving');
  read(agent, 12, 10, 'm0:live');
  read(agent, 10, 13, 'm0:leaving', 'm1:live');
  read(agent, 13, 12, 'm0:leaving');
  assert.equal(agent.replica.stamp, { epoch: 0, version: 13 });
});

test('the same version with other contents is a restart of the service', () => {
  const agent = agentWith(12, 'm0:live');
  read(agent, 0, 12, 'm0:leaving', 'm0:leaving');
  assert.equal(agent.replica.stamp, { epoch: 1, version: 12 });
  read(agent, 0, 12, 'm0:leaving', 'm0:leaving');
  assert.is(agent.replica.stamp.epoch, 1, 'a repeated entry is not a difference');
});

function deltaOf(version: number, before: readonly string[], after: readonly string[]) {
  const replica = new MachineListReplica<string>();
  replica.replace({ epoch: 0, version }, entries(...before));
  return replica.replace({ epoch: 0, version: version + 1 }, entries(...after));
}

test('a difference is applied only if it leads to the list of its sender', () => {
  const delta = deltaOf(4, ['m0:live', 'm1:live'], ['m0:leaving', 'm1:live']);
  const holding = (version: number, ...texts: readonly string[]) => {
    const replica = new MachineListReplica<string>();
    replica.replace({ epoch: 0, version }, entries(...texts));
    return replica;
  };
  assert.is(holding(4, 'm0:live', 'm1:live').apply(delta), 'applied');
  assert.is(holding(4, 'm0:live', 'm1:gone').apply(delta), 'gap', 'other contents');
  assert.is(holding(3, 'm0:live', 'm1:live').apply(delta), 'gap', 'an earlier list');
  assert.is(holding(5, 'm0:leaving', 'm1:live').apply(delta), 'known');
  assert.is(holding(6, 'm0:live', 'm1:live').apply(delta), 'known', 'a later list');
});

test('only a push of a reader is a heartbeat: after any other push the node continues to poll', () => {
  const delta = deltaOf(4, ['m0:live'], ['m0:leaving']);
  const ended = OTHERS.map(({ nodeId }) => {
    const agent = agentWith(4, 'm0:live');
    agent.handle({ type: 'members-changed', members: [SELF, ...OTHERS] }, LONG_MS);
    const push = { type: 'push-received', nodeId, root: nodeId, delta } as const;
    return agent
      .handle(push, LONG_MS)
      .some((effect) => effect.type === 'set-reading' && !effect.isPolling);
  });
  assert.is(ended.filter(Boolean).length, 2);
});

test.run();
