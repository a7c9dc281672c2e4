/** A caller that sends ahead, at a planned stop. */
import { setTimeout as pause } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lineWire } from '../../../platform/line-wire.js';
import { CallerSession } from '../../../src/direct/caller-session.js';
import type { StatementRunner } from '../../../src/direct/statement-runner.js';
import { sessionDependencies } from '../../support/caller-session-fixture.js';

/** A runner that answers every statement with these rows, and notes that it ran. */
function runnerWith(payload: string, ran: string[]): StatementRunner {
  const real = sessionDependencies().runner;
  return Object.assign(Object.create(real), {
    run: async (request: { encode(after: undefined): string }) => {
      ran.push(request.encode(undefined));
      return {
        type: 'answered',
        answer: { payload, state: 'idle', position: undefined, error: undefined },
      };
    },
  });
}

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
  session.tellToLeave();
  receive('QUERY 1 BEGIN');
  receive('QUERY 2 WRITE k v');
  receive('QUERY 3 COMMIT');
  await pause(100);
  assert.equal(ran, [], lines.join(' | '));
});

test.run();
