/** Base class of `template publish` and `tenant publish`; each requires a document of its kind. */
import { Args, Flags } from '@oclif/core';
import type { Declaration } from '../core/configuration/declaration.js';
import type { PublishedState } from '../core/configuration/publish.js';
import { fillVerifiers, readDeclarations, readPassword } from './declaration-files.js';
import { EXIT_CODES_HELP, UsageError } from './exit-codes.js';
import { PublishCommand, type PublishFlagValues, type PublishReport } from './publish-command.js';

/** The argument of the `publish` commands. */
export const filesArgument = {
  files: Args.string({ description: 'YAML files; - is standard input', required: true }),
};

/** Flag for the password of tenants without a verifier. */
export const passwordFlag = Flags.string({
  description: 'environment variable that holds the password of tenants without a verifier',
  helpValue: 'NAME',
});

/** Description of the `publish` commands. */
export const PUBLISH_DESCRIPTION = `All documents of all files are published in one transaction. If another publish has changed a declaration since it was read (or since the revision given by --expect), that is a conflict, and both versions are shown.

${EXIT_CODES_HELP}`;

/** Publishes the declarations of several files in one transaction. */
export abstract class PublishFilesCommand extends PublishCommand {
  protected async publishFiles(
    kind: Declaration['kind'],
    paths: readonly string[],
    flags: PublishFlagValues & { readonly 'password-env'?: string | undefined },
  ): Promise<PublishReport> {
    const read = readDeclarations(paths);
    if (read.isErr()) throw read.error;
    if (!read.value.some(({ declaration }) => declaration.kind === kind)) {
      throw new UsageError(`expected at least one document with kind: ${kind}`);
    }
    const publisher = this.publisherAt(flags.store);
    const state = await publisher.read();
    if (state.isErr()) throw state.error;
    const passwordVariable = flags['password-env'];
    const declarations =
      passwordVariable === undefined
        ? read.value
        : fillVerifiers(
            read.value,
            readPassword(passwordVariable),
            createVerifierLookup(state.value),
          );
    const changes = declarations.map((located) => ({ type: 'put', located }) as const);
    return this.publishChanges(publisher, state.value, changes, flags);
  }
}

function createVerifierLookup(state: PublishedState): (tenant: string) => string | undefined {
  return (tenant) => {
    const declaration = state.entries.get(`tenant/${tenant}`)?.declaration;
    return declaration?.kind === 'Tenant' ? declaration.scramVerifier : undefined;
  };
}
