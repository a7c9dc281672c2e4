import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { LineReader, LineTooLongError } from '../../src/platform/line-reader.js';

const SEED = 20261202;
const MAX_LINE_BYTES = 1000;

test('the lines do not depend on how the bytes are divided into chunks', () => {
  const line = fc.string({ unit: 'grapheme' }).filter((text) => !text.includes('\n'));
  const cuts = fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 });
  fc.assert(
    fc.property(fc.array(line), cuts, (lines, sizes) => {
      const bytes = Buffer.from(lines.map((text) => `${text}\n`).join(''));
      const reader = new LineReader(MAX_LINE_BYTES);
      const read: string[] = [];
      let start = 0;
      for (let turn = 0; start < bytes.length; turn += 1) {
        const size = sizes[turn % sizes.length] ?? 1;
        read.push(...reader.push(bytes.subarray(start, start + size))._unsafeUnwrap());
        start += size;
      }
      assert.equal(
        read,
        lines.filter((text) => text !== ''),
      );
    }),
    { seed: SEED },
  );
});

test('a line beyond the limit is rejected before its end arrives', () => {
  const reader = new LineReader(MAX_LINE_BYTES);
  assert.ok(reader.push(Buffer.alloc(MAX_LINE_BYTES, 'a')).isOk());
  assert.instance(reader.push(Buffer.from('a'))._unsafeUnwrapErr(), LineTooLongError);
});

test.run();
