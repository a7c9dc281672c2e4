import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  buildCatalogue,
  buildSnapshot,
  resolveCatalogue,
} from '../../src/core/configuration/catalogue.js';
import { parseDeclarations } from '../../src/core/configuration/declaration.js';
import { formatProblem } from '../../src/core/configuration/document.js';
import { declared, TEMPLATE_YAML, tenantYaml } from '../support/declarations.js';

function parseProblems(text: string): string[] {
  const parsed = parseDeclarations([{ source: 'F', text }]);
  return parsed._unsafeUnwrapErr().problems.map(formatProblem);
}

function catalogueProblems(...texts: string[]): string[] {
  return resolveCatalogue(buildCatalogue(declared(...texts))).problems.map(formatProblem);
}

test('a tenant gets its template filled with its parameters and defaults', () => {
  const catalogue = buildCatalogue(declared(TEMPLATE_YAML, tenantYaml('bureau', 30)));
  assert.equal(resolveCatalogue(catalogue).problems, []);
  const policy = buildSnapshot(catalogue, 7).tenantsByUser.get('bureau');
  assert.is(policy?.maxConnections, 30);
  assert.equal(policy?.databases, [
    { database: 'orders', group: 'orders', backendDatabase: 'orders' },
  ]);
  const [first, lookup] = policy?.requestKinds ?? [];
  assert.equal(first, {
    kind: 'default',
    stalenessBoundMs: 0,
    repeatable: false,
    weight: 1,
    deadlineMs: 30_000,
  });
  assert.is(lookup?.stalenessBoundMs, 500);
});

test('format problems name the file, line, column, field and expected value', () => {
  const broken = TEMPLATE_YAML.replace('maxQueued: 100', 'maxQueued: plenty').replace(
    'queueWeight: 1',
    'queueWait: 1',
  );
  const problems = parseProblems(broken);
  assert.ok(
    problems.some((line) => line.startsWith('F:12:3: policy.maxQueued: expected number')),
    problems.join('\n'),
  );
  assert.ok(problems.some((line) => line.startsWith('F:14:3: policy.queueWait: expected no such')));
  assert.ok(
    problems.some((line) =>
      /^F:7:1: policy.queueWeight: expected number, but it is missing/.test(line),
    ),
  );
  assert.match(parseProblems('kind: Tennant\nname: x\n')[0] ?? '', /^F:1:1: kind: /);
});

test('every document of every file is checked before any is refused', () => {
  const text = 'kind: Tenant\nname: 1x\ntemplate: t\n---\nkind: Tenant\nname: ok\ntemplate: 7\n';
  assert.is(parseProblems(text).length, 2);
});

test('a name that occurs twice in a publish is refused', () => {
  assert.match(
    parseProblems(`${tenantYaml('a')}---\n${tenantYaml('a')}`)[0] ?? '',
    /^F:11:1: name/,
  );
});

test("a parameter out of bounds is reported at its position in the tenant's document", () => {
  assert.equal(catalogueProblems(TEMPLATE_YAML, tenantYaml('bureau', 101)), [
    'file2.yaml:8:3: parameters.connections: expected number to be <=100',
  ]);
  const otherGroup = tenantYaml('bureau').replace('group: orders', 'group: hire');
  assert.equal(catalogueProblems(TEMPLATE_YAML, otherGroup), [
    'file2.yaml:7:35: parameters.databases[0].group: expected one of the groups orders, glossary',
  ]);
});

test('unknown and missing parameters are reported by name', () => {
  const unknown = `${tenantYaml('bureau')}  extra: 1\n`;
  assert.match(
    catalogueProblems(TEMPLATE_YAML, unknown)[0] ?? '',
    /^file2.yaml:9:3: parameters.extra/,
  );
  const missing = tenantYaml('bureau').replace(/ {2}databases.*\n/, '');
  assert.match(
    catalogueProblems(TEMPLATE_YAML, missing)[0] ?? '',
    /^file2.yaml:6:1: parameters.databases: expected a value of type databases/,
  );
});

test('templates, users and references are checked over all declarations', () => {
  assert.match(catalogueProblems(tenantYaml('bureau'))[0] ?? '', /^file1.yaml:3:1: template: /);
  assert.match(
    catalogueProblems(TEMPLATE_YAML, tenantYaml('a', 1, 'u'), tenantYaml('b', 1, 'u'))[0] ?? '',
    /^file3.yaml:4:1: user: expected a user that no other tenant has \(a has it\)/,
  );
  const dangling = TEMPLATE_YAML.replace('parameter: staleness', 'parameter: stale');
  assert.is(catalogueProblems(dangling).length, 2);
});

test("a default outside its parameter's bounds is refused", () => {
  const text = TEMPLATE_YAML.replace('default: 20', 'default: 200');
  assert.match(
    catalogueProblems(text)[0] ?? '',
    /^file1.yaml:5:33: parameters.connections.default: expected number to be <=100/,
  );
});

test.run();
