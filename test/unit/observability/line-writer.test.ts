/** Log output never blocks the process, and the number of lines of a kind per second is limited. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { EventLimit } from '../../../src/observability/event-limit.js';
import { LineWriter } from '../../../src/observability/line-writer.js';

/** A pipe whose reader consumes nothing until `read` is called. */
class StoppedPipe {
  written = '';
  taken = 0;

  get writableLength(): number {
    return this.written.length - this.taken;
  }

  write(text: string): void {
    this.written += text;
  }

  read(): void {
    this.taken = this.written.length;
  }
}

test('a stalled reader costs lines, not memory, and the number of dropped lines is logged', () => {
  const pipe = new StoppedPipe();
  const writer = new LineWriter(pipe, 100);
  for (let number = 0; number < 1000; number += 1) writer.write(`line ${number}`);
  assert.ok(pipe.writableLength <= 120);
  assert.ok(writer.dropped > 900);
  const kept = pipe.written;
  pipe.read();
  writer.write('back');
  const [dropReport = '', back] = pipe.written.slice(kept.length).split('\n');
  const { event, lines } = JSON.parse(dropReport);
  assert.is(event, 'log lines dropped');
  assert.is(lines, writer.dropped);
  assert.is(back, 'back');
  writer.write('next');
  assert.match(pipe.written, /back\nnext\n$/);
});

test('each kind has its own limit per second, and the next line contains the number of omitted ones', () => {
  const limit = new EventLimit(2);
  const admitted = (kind: string, now: number) => limit.admit(kind, now).isAdmitted;
  assert.equal([admitted('a', 0), admitted('a', 1), admitted('a', 2)], [true, true, false]);
  assert.ok(admitted('b', 3));
  assert.not(admitted('a', 999));
  assert.equal(limit.admit('a', 1000), { isAdmitted: true, leftOut: 2 });
  assert.equal(limit.admit('a', 1001), { isAdmitted: true, leftOut: 0 });
});

test.run();
