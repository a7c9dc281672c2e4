/** Reads declarations from files, and fills in SCRAM verifiers from a password in the environment. */
import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import {
  type DeclarationFile,
  type LocatedDeclaration,
  parseDeclarations,
} from '../core/configuration/declaration.js';
import type { InvalidDeclarationError } from '../core/configuration/errors.js';
import { createScramVerifier, matchesScramVerifier } from '../postgres/scram-verifier.js';
import { UsageError } from './exit-codes.js';

/** Reads and validates all files; `-` is standard input. */
export function readDeclarations(
  paths: readonly string[],
): Result<readonly LocatedDeclaration[], InvalidDeclarationError | UsageError> {
  const files: DeclarationFile[] = [];
  for (const path of paths) {
    const file = readFile(path);
    if (file.isErr()) return err(file.error);
    files.push(file.value);
  }
  return parseDeclarations(files);
}

/**
 * Reads the password from the environment variable that `--password-env` names.
 * @throws UsageError if the variable is not set
 */
export function readPassword(name: string): string {
  const password = process.env[name];
  if (password !== undefined && password !== '') return password;
  throw new UsageError(`--password-env: the environment variable ${name} is not set`);
}

/**
 * Adds a verifier of the password to each tenant that has none. A verifier in force that already
 * matches the password is kept, so that publishing the same files again changes nothing.
 */
export function fillVerifiers(
  declarations: readonly LocatedDeclaration[],
  password: string,
  verifierInForce: (tenant: string) => string | undefined,
): readonly LocatedDeclaration[] {
  return declarations.map((located) => {
    const { declaration } = located;
    if (declaration.kind !== 'Tenant' || declaration.scramVerifier !== undefined) return located;
    const inForce = verifierInForce(declaration.name);
    const isKept = inForce !== undefined && matchesScramVerifier(password, inForce);
    const scramVerifier = isKept ? inForce : createScramVerifier(password);
    return { ...located, declaration: { ...declaration, scramVerifier } };
  });
}

function readFile(path: string): Result<DeclarationFile, UsageError> {
  try {
    const text = readFileSync(path === '-' ? 0 : path, 'utf8');
    return ok({ source: path === '-' ? 'stdin' : path, text });
  } catch {
    return err(new UsageError(`${path}: expected a readable file`));
  }
}
