/** Properties of the lexer, normal form, classification and markers that hold for all generated statements. */
import * as assert from 'node:assert/strict';
import fc from 'fast-check';
import { test } from 'uvu';
import { classify } from '../../../src/postgres/statements/classify.js';
import { Lexer, tokenize } from '../../../src/postgres/statements/lexer.js';
import { NO_MARKERS, readMarkers } from '../../../src/postgres/statements/markers.js';
import { normalize } from '../../../src/postgres/statements/normalize.js';

const SEED = 20261202;
const NUM_RUNS = 400;

/** Text with characters that are special to the lexer, and ordinary ones. */
const trickyText = fc.string({
  unit: fc.constantFrom(
    'a',
    'E',
    '1',
    ' ',
    "'",
    '"',
    '\\',
    '$',
    '/',
    '*',
    '-',
    ';',
    '(',
    ')',
    ',',
    '\n',
    'é',
  ),
  maxLength: 25,
});
const MARKER = "/*meadowstack_once='x'*/";

/** Quotes `content` as a properly terminated literal or identifier. */
const literalOf = fc.constantFrom<(content: string) => string>(
  (content) => `'${content.replaceAll("'", "''")}'`,
  (content) => `E'${content.replaceAll('\\', '\\\\').replaceAll("'", "\\'")}'`,
  (content) => `$q$${content.replaceAll('$', '')}$q$`,
  (content) => `"x${content.replaceAll('"', '""')}"`,
);
const space = fc.constantFrom(' ', '\n', '/* a */', ' -- b\n', '/* /* nested */ */', '\t');
const tricky = fc
  .tuple(literalOf, trickyText)
  .map(([quote, content]) => ({ plain: quote(content), quote, content }));

const WRITING = [
  ['insert', 'into', 't', 'values', '(1)'],
  ['update', 't', 'set', 'a', '=', '1'],
  ['delete', 'from', 't'],
  ['select', 'nextval', '(a)'],
  ['select', 'own_schema.lower', '(a)'],
  ['select', '1', 'from', 't', 'for', 'update'],
  ['with', 'a', 'as', '(delete', 'from', 't', 'returning', '1)', 'select', '1', 'from', 'a'],
  ['select', '1', 'into', 'u'],
  ['select', 'a', 'from', 't', 'where', 'setval', "('s',", '1)', '=', '1'],
] as const;

const writingStatement = fc
  .tuple(
    fc.constantFrom(...WRITING),
    fc.array(space, { minLength: 12, maxLength: 12 }),
    fc.boolean(),
  )
  .map(([words, spaces, upper]) => {
    const text = words.map((word, index) => (spaces[index] ?? ' ') + word).join('');
    return upper ? text.toUpperCase() : text;
  });

test('a writing statement is never classified as a read, whatever surrounds it', () => {
  const before = fc.constantFrom('', 'select 1;', ';;', '/* read */', "select 'a' ;");
  const after = fc.constantFrom('', ';', '; select 1', ' -- select', '/* x */');
  fc.assert(
    fc.property(before, writingStatement, after, tricky, (start, text, end, literal) => {
      assert.equal(classify(start + text + end).access, 'write');
      assert.equal(classify(`select ${literal.plain};${text}${end}`).access, 'write');
    }),
    { seed: SEED, numRuns: NUM_RUNS },
  );
});

test('a writing call is found after literals, and a literal alone is no write', () => {
  const strings = literalOf.filter((quote) => !quote('').startsWith('"'));
  fc.assert(
    fc.property(strings, trickyText, writingStatement, (quote, content, writing) => {
      const literal = quote(content);
      assert.equal(classify(`select ${literal}, nextval(${literal})`).access, 'write');
      assert.equal(classify(`select ${literal}, lower(${quote(writing)})`).access, 'read');
    }),
    { seed: SEED, numRuns: NUM_RUNS },
  );
});

test('markers inside literals are never found', () => {
  fc.assert(
    fc.property(tricky, trickyText, ({ quote, content }, tail) => {
      const inside = quote(`${content}${MARKER}${tail}`);
      assert.deepEqual(readMarkers(`select ${inside}`)._unsafeUnwrap(), NO_MARKERS);
      assert.deepEqual(readMarkers(`select ${inside} from t`)._unsafeUnwrap(), NO_MARKERS);
      const outside = readMarkers(`select ${inside} ${MARKER}`)._unsafeUnwrap();
      assert.equal(outside.once, 'x');
    }),
    { seed: SEED, numRuns: NUM_RUNS },
  );
});

test('any value is decoded from its URL-encoded marker', () => {
  fc.assert(
    fc.property(fc.string({ unit: 'grapheme', minLength: 1, maxLength: 50 }), (value) => {
      const encoded = encodeURIComponent(value).replaceAll("'", '%27').replaceAll('*', '%2A');
      const markers = readMarkers(`/*meadowstack_once='${encoded}'*/ select 1`)._unsafeUnwrap();
      assert.equal(markers.once, value);
    }),
    { seed: SEED, numRuns: NUM_RUNS },
  );
});

test('the lexer covers arbitrary text, and nothing throws', () => {
  fc.assert(
    fc.property(fc.oneof(trickyText, fc.string({ unit: 'binary' })), (text) => {
      const lexer = new Lexer(text);
      let covered = 0;
      while (lexer.next()) {
        assert.ok(lexer.start === covered && lexer.end > lexer.start);
        covered = lexer.end;
      }
      assert.equal(covered, text.length);
      classify(text);
      readMarkers(text + MARKER);
    }),
    { seed: SEED, numRuns: NUM_RUNS * 5 },
  );
});

test('the normal form has the words of the text, and normalising it changes nothing', () => {
  fc.assert(
    fc.property(trickyText, (text) => {
      const normal = normalize(text);
      if (typeof normal !== 'string') return;
      const words = (source: string): string[] =>
        (tokenize(source) ?? [])
          .filter(({ kind }) => kind === 2 || kind === 3)
          .map(({ value }) => value);
      assert.deepEqual(words(normal), words(text));
      assert.equal(normalize(normal), normal);
    }),
    { seed: SEED, numRuns: NUM_RUNS * 5 },
  );
});

test.run();
