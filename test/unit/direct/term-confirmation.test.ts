/** What a round of queries to the members of a group proves if this node may not know all of them. */
import { okAsync } from 'neverthrow';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { InstanceEntry, InstanceStatus } from '../../../src/direct/contract.js';
import { classifyBySystemCall } from '../../../src/direct/promotion/control-failure.js';
import { TermConfirmation } from '../../../src/direct/promotion/term-confirmation.js';

const SERVICE = 'orders';
const PRIMARY = 'primary';
const POSITION = { timeline: 4, lsn: 9n };

function member(id: string): InstanceEntry {
  const place = { service: SERVICE, host: '10.0.0.1', port: 80, zone: 'a', slots: 3 };
  return { id, ...place, draining: false, role: id === PRIMARY ? 'primary' : 'replica' };
}

function status({ role }: InstanceEntry): InstanceStatus {
  const rest = { heldTerm: 0, lagMs: 0, busySlots: 0, connections: 0 };
  return { role, term: POSITION.timeline, received: POSITION, ...rest };
}

/** Every known member responds. `withoutAddress`: ids of members without an address, undefined if members are unknown. */
function confirmation(withoutAddress: readonly string[] | undefined) {
  let queryCount = 0;
  const rounds = new TermConfirmation({
    control: {
      status: (instance) => {
        queryCount += 1;
        return okAsync(status(instance));
      },
    },
    classifyFailure: classifyBySystemCall,
    membersOf: () => [member(PRIMARY), member('replica')],
    membersWithoutAddressOf: () => withoutAddress,
    syncReplicasOf: () => 1,
    now: () => performance.now(),
    minRoundIntervalMs: 0,
    timeoutMs: 60_000,
  });
  return { rounds, queryCount: () => queryCount };
}

test('if all members are known their responses prove the primary and a position', async () => {
  const { rounds } = confirmation([]);
  assert.is(await rounds.confirm(SERVICE, PRIMARY, 'read'), true);
  assert.equal(await rounds.acknowledgedPosition(SERVICE), POSITION);
});

test('a member that cannot be queried counts as unresponsive', async () => {
  const { rounds } = confirmation(['left']);
  assert.is(await rounds.confirm(SERVICE, PRIMARY, 'read'), true);
  assert.is(await rounds.confirm(SERVICE, PRIMARY, 'commit'), false);
  assert.is(await rounds.acknowledgedPosition(SERVICE), undefined);
});

test('while the members are unknown nothing is proven, and no member is queried', async () => {
  const { rounds, queryCount } = confirmation(undefined);
  assert.is(await rounds.confirm(SERVICE, PRIMARY, 'read'), false);
  assert.is(await rounds.acknowledgedPosition(SERVICE), undefined);
  assert.is(queryCount(), 0);
});

test.run();
