/** How long a control connection is kept, and how often connections to a full instance are attempted. */
import { once } from 'node:events';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lineWire, parseStatusRow } from '../../../platform/line-wire.js';
import { InstanceControlError } from '../../../src/direct/errors.js';
import {
  classifyControlFailure,
  WireInstanceControl,
} from '../../../src/direct/instance-control.js';
import { StatusInstance } from '../../support/status-instance.js';

const LONG_MS = 60_000;

test('an idle control connection is closed, which frees a connection slot of the instance', async () => {
  const instance = new StatusInstance();
  const entry = await instance.start();
  const control = new WireInstanceControl(lineWire, parseStatusRow, () => performance.now());
  const status = await control.status(entry, LONG_MS);
  assert.ok(status.isOk());
  const [socket] = instance.sockets;
  assert.ok(socket !== undefined);
  await once(socket, 'close');
  assert.is(instance.acceptedConnections, 1);
  instance.stop();
});

test('consecutive calls share a connection', async () => {
  const instance = new StatusInstance();
  const entry = await instance.start();
  const control = new WireInstanceControl(lineWire, parseStatusRow, () => performance.now());
  for (let call = 0; call < 5; call += 1) {
    assert.ok((await control.status(entry, LONG_MS)).isOk());
  }
  assert.is(instance.acceptedConnections, 1);
  control.close();
  instance.stop();
});

test('an instance that accepts no more connections is tried again only after a pause', async () => {
  const instance = new StatusInstance();
  const entry = await instance.start();
  instance.isFull = true;
  let now = 1000;
  const control = new WireInstanceControl(lineWire, parseStatusRow, () => now);
  for (let call = 0; call < 5; call += 1) {
    const status = await control.status(entry, LONG_MS);
    const error = status.isErr() ? status.error : undefined;
    assert.instance(error, InstanceControlError);
    assert.is(error instanceof InstanceControlError ? error.answer : '', 'connection-limit');
  }
  assert.is(instance.acceptedConnections, 1);
  now += 100;
  await control.status(entry, LONG_MS);
  assert.is(instance.acceptedConnections, 2);
  instance.stop();
});

test('a connection that is reset while it opens does not prove that the instance has stopped; a port where nothing listens does', async () => {
  const instance = new StatusInstance();
  const entry = await instance.start();
  instance.resets = true;
  const control = new WireInstanceControl(lineWire, parseStatusRow, () => performance.now());
  const failure = async () => {
    const status = await control.status(entry, LONG_MS);
    return status.isErr() ? classifyControlFailure(status.error) : 'answered';
  };
  assert.is(await failure(), 'silent');
  instance.stop();
  assert.is(await failure(), 'refused');
});

test.run();
