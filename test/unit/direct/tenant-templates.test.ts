/** The route templates of the direct gateway: the generated module matches the file, and the file is validated. */
import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  GENERATED_FILE,
  generateTemplateModule,
  TEMPLATES_FILE,
} from '../../../bench/generate-templates.js';
import { buildCatalogue, resolveCatalogue } from '../../../src/core/configuration/catalogue.js';
import { parseDeclarations } from '../../../src/core/configuration/declaration.js';
import { formatProblem } from '../../../src/core/configuration/document.js';
import { planPublish } from '../../../src/core/configuration/publish.js';
import { compileRouteTemplates } from '../../../src/core/configuration/route-templates.js';
import { declared, tenantYaml } from '../../support/declarations.js';

/** Relative to dist/test/unit/direct. */
const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..', '..', '..');
const TEXT = readFileSync(join(ROOT, TEMPLATES_FILE), 'utf8');

/** The problems reported for the file after `from` is replaced by `to` in its first template. */
function problemsWith(from: string, to: string): string {
  assert.ok(TEXT.includes(from));
  const parsed = parseDeclarations([{ source: 'F', text: TEXT.replace(from, to) }]);
  const problems = parsed.isErr()
    ? parsed.error.problems
    : resolveCatalogue(buildCatalogue(parsed.value)).problems;
  return problems.map(formatProblem).join('\n');
}

test('the generated module of the gateway matches the template file', () => {
  const generated = readFileSync(join(ROOT, GENERATED_FILE), 'utf8');
  assert.is(generated, generateTemplateModule(TEXT), 'run npm run generate:templates');
});

test('problems name the field and the expected value', () => {
  assert.match(problemsWith('queueWeight: 1', 'queueWeight: 0'), /policy.queueWeight: expected/);
  assert.match(problemsWith('queueWeight: 1', 'weight: 1'), /policy.weight: expected no such/);
  assert.match(problemsWith('maxWaiting: 200', 'maxWaiting: many'), /policy.maxWaiting/);
  assert.match(problemsWith('routeType: primary', 'routeType: any'), /routeType/);
  assert.match(problemsWith('  priority: { type', '  hostname: { type'), /parameters/);
  assert.match(problemsWith('gateway: direct', 'gateway: other'), /gateway/);
});

test('a parameter must be declared and used, and its bounds must be valid for each field that it fills', () => {
  assert.match(problemsWith('  priority: { type: integer }\n', ''), /not priority/);
  assert.match(
    problemsWith('targetLatencyMs: { parameter: targetLatencyMs }', 'targetLatencyMs: 5'),
    /parameters.targetLatencyMs: expected a parameter that the policy refers to/,
  );
  const filled = 'queueWeight: { parameter: priority }';
  assert.match(problemsWith('queueWeight: 1', filled), /policy.queueWeight: .*bounds fit/);
  const bounded = TEXT.replace('{ type: integer }', '{ type: integer, minimum: 1, maximum: 9 }');
  const declarations = declared(bounded.replace('queueWeight: 1', filled));
  assert.equal(resolveCatalogue(buildCatalogue(declarations)).problems, []);
});

test('there is one template for each type of route', () => {
  const [, second = '', third = ''] = TEXT.split('---\n');
  const missing = compileRouteTemplates(declared(second, third));
  assert.match(missing._unsafeUnwrapErr().message, /a template for primary/);
  const twice = compileRouteTemplates(declared(TEXT, second.replace('lookup', 'other')));
  assert.match(twice._unsafeUnwrapErr().message, /one template for routes of type bounded/);
});

test('the proxy accepts none of these templates, neither in a publish nor for a tenant', () => {
  const changes = declared(TEXT).map((located) => ({ type: 'put', located }) as const);
  const planned = planPublish(
    { headRevision: 0, entries: new Map() },
    {
      publishId: 'p1',
      publishedAt: 0,
      author: 'operator',
      comment: '',
      changes,
      expectedRevisions: new Map(),
    },
  );
  assert.match(planned._unsafeUnwrapErr().message, /gateway: expected a template for the proxy/);
  const tenant = tenantYaml('bureau').replace('template: standard', 'template: strict');
  const { problems } = resolveCatalogue(buildCatalogue(declared(TEXT, tenant)));
  assert.match(problems.map(formatProblem).join(), /template: expected a template .*for the proxy/);
});

test.run();
