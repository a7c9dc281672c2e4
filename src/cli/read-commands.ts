/** Base class, flags and arguments of the `show` and `list` commands. */
import { Args, Flags } from '@oclif/core';
import type { DeclarationKey } from '../core/configuration/declaration.js';
import { DeclarationNotFoundError } from '../core/configuration/errors.js';
import type { PublishedEntry } from '../core/configuration/publish.js';
import { BaseCommand, storeFlag } from './base-command.js';
import { formatDeclarationYaml, formatTable, redact } from './declaration-text.js';

/** The argument of commands that act on one declaration. */
export const nameArgument = {
  name: Args.string({ description: 'name of the declaration', required: true }),
};

/** The flags of the `show` commands. */
export const showFlags = {
  store: storeFlag,
  version: Flags.integer({ description: 'version to show instead of the one in force', min: 1 }),
  'show-verifier': Flags.boolean({ description: "show a tenant's SCRAM verifier" }),
};

/** Examples of the `show` commands. */
export const SHOW_EXAMPLES = [
  '<%= config.bin %> <%= command.id %> NAME',
  '<%= config.bin %> <%= command.id %> NAME --version 3 --json',
];

/** Examples of the `list` commands. */
export const LIST_EXAMPLES = [
  '<%= config.bin %> <%= command.id %>',
  '<%= config.bin %> <%= command.id %> --json',
];

/** The values of `showFlags`. */
export interface ShowFlagValues {
  readonly store: string;
  readonly version?: number | undefined;
  readonly 'show-verifier': boolean;
}

/** One declaration in the output of `--json`. */
export interface DeclarationReport {
  readonly key: string;
  readonly version: number;
  readonly revision: number;
  readonly publishId: string;
  readonly declaration: unknown;
}

/** Base class of the commands that show declarations. */
export abstract class ReadCommand extends BaseCommand {
  protected async show(key: DeclarationKey, flags: ShowFlagValues): Promise<DeclarationReport> {
    const entry = await this.#find(key, flags);
    const { version, revision, publishId } = entry;
    const declaration = flags['show-verifier'] ? entry.declaration : redact(entry.declaration);
    this.log(`# ${key} version ${version}, revision ${revision}, publish id ${publishId}`);
    this.log(formatDeclarationYaml(declaration));
    return { key, version, revision, publishId, declaration };
  }

  /** Lists the declarations of a kind in force; `columns` are shown after name, version and revision. */
  protected async list(
    kind: 'template' | 'tenant',
    store: string,
    columns: Readonly<Record<string, (entry: PublishedEntry) => string>>,
  ): Promise<readonly DeclarationReport[]> {
    const state = await this.publisherAt(store).read();
    if (state.isErr()) throw state.error;
    const live = [...state.value.entries].filter(
      ([key, { declaration }]) => key.startsWith(`${kind}/`) && declaration !== null,
    );
    const rows = live.map(([key, entry]) => [
      key.slice(kind.length + 1),
      String(entry.version),
      String(entry.revision),
      ...Object.values(columns).map((column) => column(entry)),
    ]);
    const header = ['NAME', 'VERSION', 'REVISION', ...Object.keys(columns)];
    for (const line of formatTable(header, rows)) this.log(line);
    return live.map(([key, { version, revision, publishId, declaration }]) => ({
      key,
      version,
      revision,
      publishId,
      declaration: redact(declaration),
    }));
  }

  async #find(key: DeclarationKey, flags: ShowFlagValues): Promise<PublishedEntry> {
    const publisher = this.publisherAt(flags.store);
    if (flags.version === undefined) {
      const state = await publisher.read();
      if (state.isErr()) throw state.error;
      const entry = state.value.entries.get(key);
      if (entry === undefined || entry.declaration === null)
        throw new DeclarationNotFoundError(key);
      return entry;
    }
    const history = await publisher.history(key);
    if (history.isErr()) throw history.error;
    const entry = history.value.find(({ version }) => version === flags.version);
    if (entry !== undefined) return entry;
    throw new DeclarationNotFoundError(`version ${flags.version} of ${key}`);
  }
}
