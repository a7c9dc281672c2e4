/**
 * Declarations as operators write them: YAML documents of `kind: Template` or `kind: Tenant`.
 * docs/operations/publishing.md shows both.
 */
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import {
  type DocumentProblem,
  type FieldPath,
  type LocatedDocument,
  parseYaml,
  type SourceLocation,
  toDocumentProblems,
} from './document.js';
import { InvalidDeclarationError } from './errors.js';
import { parameterSchema } from './parameters.js';
import { nameSchema, postgresNameSchema, templatePolicySchema } from './policy-schema.js';
import { type RouteTemplateDeclaration, routeTemplateSchema } from './route-template-schema.js';

/** Format of a SCRAM verifier in PostgreSQL's `pg_authid`. */
export const SCRAM_VERIFIER_PATTERN =
  /^SCRAM-SHA-256\$\d{4,7}:[A-Za-z0-9+/]{16,}={0,2}\$[A-Za-z0-9+/]{43}=:[A-Za-z0-9+/]{43}=$/;

const templateSchema = z.strictObject({
  kind: z.literal('Template'),
  /** The gateway that uses the template; absent: `meadowstack proxy`. */
  gateway: z.literal('proxy').optional(),
  name: nameSchema,
  description: z.string().max(1000).optional(),
  parameters: z.record(nameSchema, parameterSchema).default({}),
  policy: templatePolicySchema,
});

const tenantSchema = z.strictObject({
  kind: z.literal('Tenant'),
  name: nameSchema,
  description: z.string().max(1000).optional(),
  template: nameSchema,
  /** User name of the tenant's callers; absent: the tenant's name. */
  user: postgresNameSchema.optional(),
  /** May be absent in a file; the command line then derives it from a password. */
  scramVerifier: z
    .string()
    .regex(SCRAM_VERIFIER_PATTERN, {
      error: 'expected SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>',
    })
    .optional(),
  /** False: callers are refused and their open connections are closed. */
  enabled: z.boolean().default(true),
  parameters: z.record(nameSchema, z.unknown()).default({}),
});

/** Schema of one declaration. */
export const declarationSchema = z.discriminatedUnion('kind', [
  z.discriminatedUnion('gateway', [templateSchema, routeTemplateSchema]),
  tenantSchema,
]);

/** A published template. */
export type TemplateDeclaration = z.output<typeof templateSchema>;
/** A published tenant. */
export type TenantDeclaration = z.output<typeof tenantSchema>;
/** Any declaration. Templates of the direct gateway are checked, but not published. */
export type Declaration = TemplateDeclaration | RouteTemplateDeclaration | TenantDeclaration;

/** `template/<name>` or `tenant/<name>`; orders templates before tenants. */
export type DeclarationKey = `template/${string}` | `tenant/${string}`;

/** A declaration with a function that returns the source location of its fields. */
export interface LocatedDeclaration {
  readonly declaration: Declaration;
  locate(path: FieldPath): SourceLocation;
}

/** A file's text, and the name under which its problems are reported. */
export interface DeclarationFile {
  readonly source: string;
  readonly text: string;
}

/** The key of a declaration. */
export function keyOf(declaration: Pick<Declaration, 'kind' | 'name'>): DeclarationKey {
  return declaration.kind === 'Template'
    ? `template/${declaration.name}`
    : `tenant/${declaration.name}`;
}

/** Parses all documents of all files; the error lists every problem of every file. */
export function parseDeclarations(
  files: readonly DeclarationFile[],
): Result<readonly LocatedDeclaration[], InvalidDeclarationError> {
  const declarations: LocatedDeclaration[] = [];
  const problems: DocumentProblem[] = [];
  for (const file of files) {
    const parsed = parseYaml(file.text, file.source);
    problems.push(...parsed.problems);
    for (const document of parsed.documents) {
      const checked = checkDocument(document);
      if (checked.isErr()) problems.push(...checked.error);
      else declarations.push(checked.value);
    }
  }
  problems.push(...findDuplicates(declarations));
  return problems.length > 0 ? err(new InvalidDeclarationError(problems)) : ok(declarations);
}

/** A declaration from no file, such as a stored one; its problems are located by its key. */
export function withoutLocation(declaration: Declaration): LocatedDeclaration {
  const location = { source: keyOf(declaration), line: undefined, column: undefined };
  return { declaration, locate: () => location };
}

function checkDocument(
  document: LocatedDocument,
): Result<LocatedDeclaration, readonly DocumentProblem[]> {
  const locate = (path: FieldPath) => document.locate(path);
  const parsed = declarationSchema.safeParse(document.value);
  if (!parsed.success) return err(toDocumentProblems(parsed.error.issues, locate));
  return ok({ declaration: parsed.data, locate });
}

function findDuplicates(declarations: readonly LocatedDeclaration[]): DocumentProblem[] {
  const seen = new Set<DeclarationKey>();
  const problems: DocumentProblem[] = [];
  for (const { declaration, locate } of declarations) {
    const key = keyOf(declaration);
    if (seen.has(key)) {
      problems.push({
        location: locate(['name']),
        field: 'name',
        expected: `one declaration of ${key} in a publish`,
      });
    }
    seen.add(key);
  }
  return problems;
}
