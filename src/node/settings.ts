/**
 * Loads the settings of a proxy process from a YAML file, environment variables and flags; each
 * overrides the one before. A problem names its file, line and field, or its variable or flag.
 */
import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import {
  type DocumentProblem,
  type FieldPath,
  formatFieldPath,
  formatProblem,
  type LocatedDocument,
  parseYaml,
  type SourceLocation,
  toDocumentProblems,
} from '../core/configuration/document.js';
import { type ErrorLabel, MeadowstackError } from '../core/errors.js';
import {
  environmentName,
  fieldPathOf,
  flagName,
  parseValue,
  SETTING_FIELDS,
  type SettingField,
} from './setting-fields.js';
import { type Settings, settingsSchema } from './settings-schema.js';

export type { BackendSettings, Settings } from './settings-schema.js';

/** Sources of the settings. */
export interface SettingsSources {
  /** Path of the YAML file; undefined if there is none. */
  readonly file: string | undefined;
  /** Environment variables; those not starting with `MEADOWSTACK_` are ignored. */
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Parsed flags, by name without dashes: `callers-port`. Other flags are ignored. */
  readonly flags: Readonly<Record<string, unknown>>;
}

/** The settings can't be used; every problem found is listed. */
export class SettingsError extends MeadowstackError {
  readonly code = 'MS-SETTINGS';
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['configuration']);

  constructor(readonly problems: readonly DocumentProblem[]) {
    super(problems.map(formatProblem).join('\n'));
  }
}

/** Loads and checks the settings of a proxy process. */
export function loadSettings(sources: SettingsSources): Result<Settings, SettingsError> {
  return readSettingsFile(sources.file).andThen((document) => checkLayers(document, sources));
}

/** A value set outside the file. */
interface Override {
  readonly path: FieldPath;
  readonly value: unknown;
  /** Variable or flag that set it. */
  readonly source: string;
}

function readSettingsFile(
  file: string | undefined,
): Result<LocatedDocument | undefined, SettingsError> {
  if (file === undefined) return ok(undefined);
  const text = readText(file);
  if (text.isErr()) return err(text.error);
  const parsed = parseYaml(text.value, file);
  if (parsed.problems.length > 0) return err(new SettingsError(parsed.problems));
  const [document, secondDocument] = parsed.documents;
  if (secondDocument !== undefined) {
    return err(new SettingsError([problemAt(secondDocument.locate([]), 'a single YAML document')]));
  }
  if (document !== undefined && !isRecord(document.value)) {
    return err(new SettingsError([problemAt(document.locate([]), 'a map of settings')]));
  }
  return ok(document);
}

function readText(file: string): Result<string, SettingsError> {
  try {
    return ok(readFileSync(file, 'utf8'));
  } catch {
    const location = { source: file, line: undefined, column: undefined };
    return err(new SettingsError([problemAt(location, 'a readable file')]));
  }
}

function checkLayers(
  document: LocatedDocument | undefined,
  sources: SettingsSources,
): Result<Settings, SettingsError> {
  const overrides = collectOverrides(sources);
  const merged = overrides.reduce<unknown>(
    (value, override) => withValueAt(value, override.path, override.value),
    document?.value ?? {},
  );
  const parsed = settingsSchema.safeParse(merged);
  if (parsed.success) return ok(parsed.data);
  const locate = (path: FieldPath) => locateSetting(path, overrides, document);
  return err(new SettingsError(toDocumentProblems(parsed.error.issues, locate)));
}

/**
 * Flags come after variables, so that flags take precedence. An empty variable counts as not set.
 */
function collectOverrides(sources: SettingsSources): Override[] {
  const variables = SETTING_FIELDS.flatMap((field) => {
    const name = environmentName(field);
    const text = sources.env[name];
    return text === undefined || text === '' ? [] : [overrideOf(field, text, name)];
  });
  const flags = SETTING_FIELDS.flatMap((field) => {
    const name = flagName(field);
    const value = sources.flags[name];
    return value === undefined ? [] : [overrideOf(field, String(value), `--${name}`)];
  });
  return [...variables, ...flags];
}

function overrideOf(field: SettingField, text: string, source: string): Override {
  return { path: fieldPathOf(field), value: parseValue(text, field.type), source };
}

function withValueAt(root: unknown, path: FieldPath, value: unknown): unknown {
  const [step, ...rest] = path;
  if (step === undefined) return value;
  const record = isRecord(root) ? root : {};
  return { ...record, [step]: withValueAt(record[step], rest, value) };
}

function locateSetting(
  path: FieldPath,
  overrides: readonly Override[],
  document: LocatedDocument | undefined,
): SourceLocation {
  const override = overrides.findLast((candidate) => startsWith(path, candidate.path));
  if (override !== undefined) {
    return { source: override.source, line: undefined, column: undefined };
  }
  return (
    document?.locate(path) ?? {
      source: `settings field ${formatFieldPath(path)}`,
      line: undefined,
      column: undefined,
    }
  );
}

function startsWith(path: FieldPath, prefix: FieldPath): boolean {
  return prefix.every((step, index) => path[index] === step);
}

function problemAt(location: SourceLocation, expected: string): DocumentProblem {
  return { location, field: '', expected };
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
