/**
 * Compiles deploy/templates.yaml to the module that the direct gateway holds, and writes it there:
 * `npm run generate:templates`. The test unit/direct/tenant-templates compares the two.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { buildCatalogue, resolveCatalogue } from '../src/core/configuration/catalogue.js';
import { parseDeclarations } from '../src/core/configuration/declaration.js';
import { InvalidDeclarationError } from '../src/core/configuration/errors.js';
import { compileRouteTemplates } from '../src/core/configuration/route-templates.js';
import type { RouteTemplates } from '../src/core/tenancy/route-template.js';

/** Relative to the repository's root. */
export const TEMPLATES_FILE = 'deploy/templates.yaml';
export const GENERATED_FILE = 'src/direct/tenant-templates.generated.ts';

const MOST_KEYS_ON_A_LINE = 2;
const IDENTIFIER = /^[A-Za-z]\w*$/;

/**
 * The generated module for a file of templates.
 * @throws InvalidDeclarationError with every problem of the file
 */
export function generateTemplateModule(text: string): string {
  const parsed = parseDeclarations([{ source: TEMPLATES_FILE, text }]);
  if (parsed.isErr()) throw parsed.error;
  const { problems } = resolveCatalogue(buildCatalogue(parsed.value));
  if (problems.length > 0) throw new InvalidDeclarationError(problems);
  const compiled = compileRouteTemplates(parsed.value);
  if (compiled.isErr()) throw compiled.error;
  return moduleOf(compiled.value);
}

function moduleOf(templates: RouteTemplates): string {
  return `/** Generated from ${TEMPLATES_FILE} by \`npm run generate:templates\`; not to be edited. */
import type { RouteTemplates } from '../core/tenancy/route-template.js';

/** The template of each type of route. */
export const ROUTE_TEMPLATES: RouteTemplates = ${literalOf(templates, '')};
`;
}

/** A value as Biome formats it. */
function literalOf(value: unknown, indent: string): string {
  if (typeof value === 'string') return `'${value}'`;
  if (typeof value !== 'object' || value === null) return String(value);
  const inner = `${indent}  `;
  const entries = Object.entries(value).map(([key, item]) => {
    const name = IDENTIFIER.test(key) ? key : `'${key}'`;
    return `${name}: ${literalOf(item, inner)}`;
  });
  if (entries.length === 0) return '{}';
  const isFlat = Object.values(value).every((item) => typeof item !== 'object');
  if (isFlat && entries.length <= MOST_KEYS_ON_A_LINE) return `{ ${entries.join(', ')} }`;
  return `{\n${entries.map((entry) => `${inner}${entry},\n`).join('')}${indent}}`;
}

if (process.argv[1]?.endsWith('generate-templates.js') === true) {
  writeFileSync(GENERATED_FILE, generateTemplateModule(readFileSync(TEMPLATES_FILE, 'utf8')));
}
