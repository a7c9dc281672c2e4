/** The command `meadowstack config rollback`. */
import { Args, Flags } from '@oclif/core';
import { EXIT_CODES_HELP } from '../../cli/exit-codes.js';
import {
  PublishCommand,
  type PublishReport,
  parseDeclarationKey,
  publishFlags,
} from '../../cli/publish-command.js';
import { withoutLocation } from '../../core/configuration/declaration.js';
import { DeclarationNotFoundError } from '../../core/configuration/errors.js';
import type { ProposedChange } from '../../core/configuration/publish.js';

/** `meadowstack config rollback` */
export default class ConfigRollback extends PublishCommand {
  static override summary = 'Publishes an earlier version of a declaration as a new version.';
  static override description =
    `Version numbers only rise: the old content is published as a new version, and validated against the other declarations in force like any publish.

${EXIT_CODES_HELP}`;
  static override examples = [
    '<%= config.bin %> <%= command.id %> tenant/bureau --to 3 --dry-run',
    '<%= config.bin %> <%= command.id %> template/standard --to 7 -m "limits were too low"',
  ];
  static override args = {
    key: Args.string({ description: 'template/NAME or tenant/NAME', required: true }),
  };
  static override flags = {
    ...publishFlags,
    to: Flags.integer({ description: 'version to publish again', required: true, min: 1 }),
  };

  override async run(): Promise<PublishReport> {
    const { args, flags } = await this.parse(ConfigRollback);
    const key = parseDeclarationKey(args.key);
    const publisher = this.publisherAt(flags.store);
    const state = await publisher.read();
    if (state.isErr()) throw state.error;
    const history = await publisher.history(key);
    if (history.isErr()) throw history.error;
    const earlier = history.value.find(({ version }) => version === flags.to);
    if (earlier === undefined) throw new DeclarationNotFoundError(`version ${flags.to} of ${key}`);
    const { declaration } = earlier;
    const change: ProposedChange =
      declaration === null
        ? { type: 'remove', key }
        : { type: 'put', located: withoutLocation(declaration) };
    const message = flags.message === '' ? `rollback to version ${flags.to}` : flags.message;
    return this.publishChanges(publisher, state.value, [change], { ...flags, message });
  }
}
