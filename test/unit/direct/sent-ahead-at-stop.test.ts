/** A caller that sends ahead, at a planned stop. */
import { setTimeout as pause } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lineWire } from '../../../platform/line-wire.js';
import { CallerSession } from '../../../src/direct/caller-session.js';
import { runnerWith, sessionDependencies } from '../../support/caller-session-fixture.js';

/**
 * A caller that sends ahead: BEGIN, WRITE, COMMIT in one piece cross the word to leave. BEGIN takes the word for its refusal
 * (nothing of the attempt is kept), but the session then forgets it, and the WRITE runs outside any transaction.
 */
test('a write sent ahead behind a BEGIN that was refused at the stop does not run', async () => {
  const ran: string[] = [];
  const lines: string[] = [];
  const session = new CallerSession({
    ...sessionDependencies(),
    runner: runnerWith('COMPLETE sig\r\n', ran),
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
