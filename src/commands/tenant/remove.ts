/** The command `meadowstack tenant remove`. */
import { EXIT_CODES_HELP } from '../../cli/exit-codes.js';
import { PublishCommand, type PublishReport, publishFlags } from '../../cli/publish-command.js';
import { nameArgument } from '../../cli/read-commands.js';

/** `meadowstack tenant remove` */
export default class TenantRemove extends PublishCommand {
  static override summary = 'Removes a tenant; its history is kept.';
  static override description = EXIT_CODES_HELP;
  static override examples = [
    '<%= config.bin %> <%= command.id %> NAME --dry-run',
    '<%= config.bin %> <%= command.id %> NAME -m "no longer needed"',
  ];
  static override args = nameArgument;
  static override flags = publishFlags;

  override async run(): Promise<PublishReport> {
    const { args, flags } = await this.parse(TenantRemove);
    return this.removeDeclaration(`tenant/${args.name}`, flags);
  }
}
