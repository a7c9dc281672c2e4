/** New connections are used only if their instance is one of its group, and an instance that hangs holds nothing up. */
import { okAsync, ResultAsync } from 'neverthrow';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { MeadowstackError } from '../../src/core/errors.js';
import {
  ForeignInstanceError,
  InstanceIdentity,
  UnknownInstanceIdentityError,
} from '../../src/node/owner/instance-identity.js';
import type { DatabaseMachine } from '../../src/platform/contract.js';
import type { BackendConnection } from '../../src/postgres/contract.js';

const TIMEOUT_MS = 20;

class ClosedError extends MeadowstackError {
  readonly code = 'MS-TEST-CLOSED';
}

interface FakeConnection {
  readonly connection: BackendConnection;
  isClosed: boolean;
}

/** A connection whose instance shows this identifier; undefined: it never answers. */
function connectionTo(identifier: string | undefined): FakeConnection {
  let fail: (error: ClosedError) => void = () => undefined;
  const never = new Promise<never>((_resolve, reject) => {
    fail = reject;
  });
  never.catch(() => undefined);
  const fake: FakeConnection = {
    isClosed: false,
    connection: {
      query: () =>
        identifier === undefined
          ? ResultAsync.fromPromise(never, (error) => error as ClosedError)
          : okAsync([[identifier]]),
      close: () => {
        fake.isClosed = true;
        fail(new ClosedError('closed'));
      },
    } as unknown as BackendConnection,
  };
  return fake;
}

function setUp() {
  const foreign: string[] = [];
  const identity = new InstanceIdentity({
    instancesOf: () => ['a', 'b', 'c'],
    timeoutMs: TIMEOUT_MS,
    onForeign: ({ message }) => foreign.push(message),
  });
  const verify = (name: string, identifier: string | undefined) => {
    const fake = connectionTo(identifier);
    const machine = { group: 'orders', name } as DatabaseMachine;
    return { fake, result: identity.verify(fake.connection, machine) };
  };
  return { foreign, verify };
}

test('connections wait for a majority, and then one to another system is closed', async () => {
  const { foreign, verify } = setUp();
  const [first, second] = [verify('a', '7'), verify('b', '7')];
  assert.ok((await first.result).isOk());
  assert.ok((await second.result).isOk());
  const other = verify('c', '8');
  assert.instance((await other.result)._unsafeUnwrapErr(), ForeignInstanceError);
  assert.equal([first.fake.isClosed, other.fake.isClosed], [false, true]);
  assert.is(foreign.length, 1);
});

test('without a majority the attempt fails after the timeout', async () => {
  const { verify } = setUp();
  const alone = verify('a', '7');
  assert.instance((await alone.result)._unsafeUnwrapErr(), UnknownInstanceIdentityError);
  assert.ok(alone.fake.isClosed);
});

test('an instance that does not answer is given up after the timeout', async () => {
  const { verify } = setUp();
  const hanging = verify('a', undefined);
  assert.instance((await hanging.result)._unsafeUnwrapErr(), ClosedError);
  assert.ok(hanging.fake.isClosed);
});

test.run();
