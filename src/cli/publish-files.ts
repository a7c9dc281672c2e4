/** `template publish` and `tenant publish`: the same publish, each wanting one of its own kind. */
import { Args, Flags } from '@oclif/core';
import type { Declaration } from '../core/configuration/declaration.js';
import type { PublishedState } from '../core/configuration/publish.js';
import { fillVerifiers, passwordFrom, readDeclarations } from './declaration-files.js';
import { EXIT_CODES_HELP, UsageError } from './exit-codes.js';
import { PublishCommand, type PublishFlagValues, type PublishReport } from './publish-command.js';

/** The argument of the `publish` commands. */
export const filesArgument = {
  files: Args.string({ description: 'YAML files; - is the standard input', required: true }),
};

/** Where the passwords of new tenants come from. */
export const passwordFlag = Flags.string({
  description: 'environment variable with the password of the tenants that have no verifier',
  helpValue: 'NAME',
});

/** Description of the `publish` commands. */
export const PUBLISH_DESCRIPTION = `All documents of all files go into one transaction. A declaration that someone else has changed since it was read (or since the revision given by --expect) is a conflict, and both versions are shown.

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
    const passwordName = flags['password-env'];
    const declarations =
      passwordName === undefined
        ? read.value
        : fillVerifiers(read.value, passwordFrom(passwordName), verifierOf(state.value));
    const changes = declarations.map((located) => ({ type: 'put', located }) as const);
    return this.publishChanges(publisher, state.value, changes, flags);
  }
}

function verifierOf(state: PublishedState): (tenant: string) => string | undefined {
  return (tenant) => {
    const declaration = state.entries.get(`tenant/${tenant}`)?.declaration;
    return declaration?.kind === 'Tenant' ? declaration.scramVerifier : undefined;
  };
}
