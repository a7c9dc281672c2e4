/** What a node knows about the positions of the commits that it has confirmed to callers. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Position } from '../../src/core/position.js';
import { AcknowledgedCommits } from '../../src/core/promotion/acknowledged-commits.js';

const SERVICE = 'orders';

function at(timeline: number, lsn: bigint): Position {
  return { timeline, lsn };
}

test('a commit comes after the end of the log that was known before it was sent', () => {
  const commits = new AcknowledgedCommits();
  commits.record(SERVICE, { logEnd: at(4, 12n), logEndBefore: at(4, 8n) });
  assert.equal(commits.replicatedOf(SERVICE), at(4, 9n));
  assert.equal(commits.latestOf(SERVICE), at(4, 12n));
  commits.record(SERVICE, { logEnd: at(4, 11n), logEndBefore: at(4, 7n) });
  assert.equal(commits.replicatedOf(SERVICE), at(4, 9n), 'an earlier commit answered later');
  assert.equal(commits.latestOf(SERVICE), at(4, 12n));
  assert.is(commits.replicatedOf('billing'), undefined);
});

/** Otherwise a position that no replica has would keep every replica from being promoted. */
test('ends of different logs show no position that replicas have received', () => {
  for (const logEndBefore of [undefined, at(3, 8n), at(5, 8n), at(4, 12n), at(4, 40n)]) {
    const commits = new AcknowledgedCommits();
    commits.record(SERVICE, { logEnd: at(4, 12n), logEndBefore });
    assert.is(commits.replicatedOf(SERVICE), undefined);
    assert.equal(commits.latestOf(SERVICE), at(4, 12n));
  }
});

test.run();
