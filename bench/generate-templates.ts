/**
 * `npm run generate:templates`: compiles deploy/templates.yaml to the module from which the direct
 * gateway takes its templates. The test unit/direct/tenant-templates checks that the two agree.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { buildCatalogue, resolveCatalogue } from '../src/core/configuration/catalogue.js';
import { parseDeclarations } from '../src/core/configuration/declaration.js';
import { InvalidDeclarationError } from '../src/core/configuration/errors.js';
import { compileRouteTemplates } from '../src/core/configuration/route-templates.js';
import type { RouteTemplates } from '../src/core/tenancy/route-template.js';

/** Paths are relative to the root of the repository. */
export const TEMPLATES_FILE = 'deploy/templates.yaml';
export const GENERATED_FILE = 'src/direct/tenant-templates.generated.ts';

const MAX_KEYS_PER_LINE = 2;
const IDENTIFIER_PATTERN = /^[A-Za-z]\w*$/;

/**
 * Generates the module's text from a file of templates.
 * @throws InvalidDeclarationError with all problems of the file
 */
export function generateTemplateModule(text: string): string {
  const parsed = parseDeclarations([{ source: TEMPLATES_FILE, text }]);
  if (parsed.isErr()) throw parsed.error;
  const { problems } = resolveCatalogue(buildCatalogue(parsed.value));
  if (problems.length > 0) throw new InvalidDeclarationError(problems);
  const compiled = compileRouteTemplates(parsed.value);
  if (compiled.isErr()) throw compiled.error;
  return formatModule(compiled.value);
}

function formatModule(templates: RouteTemplates): string {
  return `/** Generated from ${TEMPLATES_FILE} by \`npm run generate:templates\`; not to be edited. */
import type { RouteTemplates } from '../core/tenancy/route-template.js';

/** The template of each type of route. */
export const ROUTE_TEMPLATES: RouteTemplates = ${formatLiteral(templates, '')};
`;
}

/** Formats a value as a TypeScript literal, as Biome formats it. */
function formatLiteral(value: unknown, indent: string): string {
  if (typeof value === 'string') return `'${value}'`;
  if (typeof value !== 'object' || value === null) return String(value);
  const inner = `${indent}  `;
  const entries = Object.entries(value).map(([key, item]) => {
    const name = IDENTIFIER_PATTERN.test(key) ? key : `'${key}'`;
    return `${name}: ${formatLiteral(item, inner)}`;
  });
  if (entries.length === 0) return '{}';
  const isFlat = Object.values(value).every((item) => typeof item !== 'object');
  if (isFlat && entries.length <= MAX_KEYS_PER_LINE) return `{ ${entries.join(', ')} }`;
  return `{\n${entries.map((entry) => `${inner}${entry},\n`).join('')}${indent}}`;
}

if (process.argv[1]?.endsWith('generate-templates.js') === true) {
  writeFileSync(GENERATED_FILE, generateTemplateModule(readFileSync(TEMPLATES_FILE, 'utf8')));
}
