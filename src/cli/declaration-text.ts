/** Formats declarations and their differences for people. */
import { stringify } from 'yaml';
import type { PlannedChange } from '../core/configuration/publish.js';

const VERIFIER_SECRET = /^(SCRAM-SHA-256\$\d+):.*$/;
const REDACTED = '(hidden; --show-verifier)';

/** Formats a declaration as YAML. */
export function formatDeclarationYaml(declaration: unknown): string {
  return stringify(declaration).trimEnd();
}

/** Hides verifiers: they don't reveal the password, but allow guessing it offline. */
export function redact(value: unknown): unknown {
  if (typeof value === 'string') return value.replace(VERIFIER_SECRET, `$1:${REDACTED}`);
  if (Array.isArray(value)) return value.map(redact);
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(Object.entries(value).map(([key, item]) => [key, redact(item)]));
}

/** Formats a planned change: one line for the declaration, one for each changed field. */
export function formatChange(change: PlannedChange): string[] {
  const verb = change.removed ? 'remove' : 'put';
  const fields = change.differences.map(
    ({ field, before, after }) => `  ${field}: ${formatValue(before)} -> ${formatValue(after)}`,
  );
  return [`${verb} ${change.key} version ${change.version}`, ...fields];
}

/** Formats rows under a header, in aligned columns. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string[] {
  const all = [header, ...rows];
  const widths = header.map((_, column) => Math.max(...all.map((row) => row[column]?.length ?? 0)));
  return all.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}

function formatValue(value: unknown): string {
  return value === undefined ? '(absent)' : JSON.stringify(redact(value));
}
