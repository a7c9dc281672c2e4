/** A caller that pipelines statements during a planned stop. */
import { setTimeout as pause } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lineWire } from '../../../platform/line-wire.js';
import { CallerSession } from '../../../src/direct/caller-session.js';
import { createRunner, createSessionDependencies } from '../../support/caller-session-fixture.js';

/**
 * BEGIN, WRITE and COMMIT, sent in one piece, arrive after the stop notice was sent. The notice refuses BEGIN. If the
 * session then handled the next statements normally, the WRITE would run outside any transaction.
 */
test('a write that is pipelined after a BEGIN refused at the planned stop does not run', async () => {
  const ran: string[] = [];
  const lines: string[] = [];
  const session = new CallerSession({
    ...createSessionDependencies(),
    runner: createRunner('COMPLETE sig\r\n', ran),
    write: (text) => lines.push(...text.split('\r\n').filter((line) => line !== '')),
    end: () => {},
  });
  const receive = (line: string) => session.receive(lineWire.decodeCallerMessage(line));
  receive('START orders u1');
  await new Promise((resolve) => setImmediate(resolve));
  session.notifyStop();
  receive('QUERY 1 BEGIN');
  receive('QUERY 2 WRITE k v');
  receive('QUERY 3 COMMIT');
  await pause(100);
  assert.equal(ran, [], lines.join(' | '));
});

test.run();
