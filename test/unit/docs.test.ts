/** Compares the lists of the documentation pages with the code, so that they stay complete. */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CONFIGURATION_MECHANISMS } from '../../src/core/configuration/mechanisms.js';
import { ALL_MECHANISMS } from '../../src/core/group/options.js';
import { SETTING_FIELDS } from '../../src/node/setting-fields.js';
import { createMetrics } from '../../src/observability/metrics.js';

/** From dist/test/unit. */
const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..', '..');
const CODE_IN_SOURCE = /'(MS-[A-Z][A-Z-]*[A-Z])'/g;
const CODE_TEMPLATE = /`(MS-[A-Z-]+-)\$\{(\w+)\.toUpperCase\(\)\}`/g;
const CODE_LINE_OF_PAGE = /^\| `(MS-[A-Z-]+)`/gm;
const MARKDOWN_LINK = /\]\(([^)#\s]+)(?:#[^)]*)?\)/g;

function read(...path: string[]): string {
  return readFileSync(join(ROOT, ...path), 'utf8');
}

function filesBelow(directory: string, ending: string): string[] {
  return readdirSync(join(ROOT, directory), { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith(ending))
    .map((file) => join(directory, file));
}

function firstGroups(text: string, pattern: RegExp): string[] {
  return [...text.matchAll(pattern)].map((match) => match[1] ?? '');
}

/** Members of the union that the constructor parameter `name` of this source has as its type. */
function unionMembers(source: string, name: string): string[] {
  const type = new RegExp(`readonly ${name}: (\\w+)`).exec(source)?.[1];
  const union = new RegExp(`export type ${type} =([^;]+);`).exec(source)?.[1] ?? '';
  return firstGroups(union, /'([a-z-]+)'/g);
}

/** Codes that a source builds from the reason given to a constructor. */
function builtCodes(source: string): string[] {
  return [...source.matchAll(CODE_TEMPLATE)].flatMap(([, prefix = '', name = '']) => {
    // Two classes of one file may use the same parameter name; the nearest one above counts.
    const before = source.slice(0, source.indexOf(`\`${prefix}\${`));
    const nearest = before.slice(before.lastIndexOf('class '));
    const type = new RegExp(`readonly ${name}: (\\w+)`).exec(nearest)?.[0] ?? '';
    return unionMembers(`${type}\n${source}`, name).map((one) => prefix + one.toUpperCase());
  });
}

function codesOfSource(): Set<string> {
  const files = [...filesBelow('src', '.ts'), ...filesBelow('platform', '.ts')];
  const sources = files.map((file) => read(file));
  return new Set(
    sources.flatMap((source) => [...firstGroups(source, CODE_IN_SOURCE), ...builtCodes(source)]),
  );
}

/** The elements of `wanted` that `present` lacks. */
function missingFrom(present: Iterable<string>, wanted: Iterable<string>): string[] {
  const known = new Set(present);
  return [...wanted].filter((one) => !known.has(one)).sort();
}

test('every error code has a line in docs/ERRORS.md, and every line has an error code', () => {
  const codes = codesOfSource();
  assert.ok(codes.has('MS-NOT-RUN-NO-PRIMARY') && codes.has('MS-READ-REPLICA-BEHIND'));
  assert.ok(codes.has('MS-BACKEND-CONNECT-TIMEOUT') && codes.has('MS-BACKEND-CLOSED'));
  const listed = firstGroups(read('docs', 'ERRORS.md'), CODE_LINE_OF_PAGE);
  assert.equal(missingFrom(listed, codes), [], 'codes without a line');
  assert.equal(missingFrom(codes, listed), [], 'lines without a code');
});

test('every metric has a line in docs/operations/status.md, and every line has a metric', () => {
  const metrics = createMetrics('docs', false).registry.getMetricsAsArray();
  const page = read('docs', 'operations', 'status.md');
  const listed = firstGroups(page, /^\| `(meadowstack_\w+)`/gm);
  const names = metrics.map(({ name }) => name);
  assert.equal(missingFrom(listed, names), [], 'metrics without a line');
  assert.equal(missingFrom(names, listed), [], 'lines without a metric');
});

test('every metric that is declared is written by some code', () => {
  const writers = filesBelow('src', '.ts').filter(
    (file) => !file.endsWith('metrics.ts') || file.includes('node-metrics'),
  );
  const code = writers.map((file) => read(file)).join('\n');
  const metrics = Object.entries(createMetrics('docs', false)).filter(
    ([key]) => key !== 'registry',
  );
  for (const [property] of metrics) {
    assert.match(code, new RegExp(`metrics\\.${property}\\b`), property);
  }
});

test('every setting is described in docs/operations/settings.md', () => {
  const page = read('docs', 'operations', 'settings.md');
  const shown = SETTING_FIELDS.filter((field) => field.hidden !== true);
  const missing = shown.filter(({ path }) => !page.includes(`\`${path}\``));
  assert.equal(
    missing.map(({ path }) => path),
    [],
  );
});

test('every mechanism that can be disabled is listed in docs/design/mechanisms.md', () => {
  const page = read('docs', 'design', 'mechanisms.md');
  assert.equal(
    [...ALL_MECHANISMS, ...CONFIGURATION_MECHANISMS].filter(
      (mechanism) => !page.includes(`\`${mechanism}\``),
    ),
    [],
  );
});

test('links between pages lead to files that exist', () => {
  const rootPages = readdirSync(ROOT).filter((file) => file.endsWith('.md'));
  const broken = [...rootPages, ...filesBelow('docs', '.md')].flatMap((page) =>
    firstGroups(read(page), MARKDOWN_LINK)
      .filter((target) => !/^[a-z]+:/.test(target))
      .filter((target) => !existsSync(join(ROOT, dirname(page), target)))
      .map((target) => `${page}: ${target}`),
  );
  assert.equal(broken, []);
});

test.run();
