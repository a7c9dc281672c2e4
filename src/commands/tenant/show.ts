/** The command `meadowstack tenant show`. */
import { EXIT_CODES_HELP } from '../../cli/exit-codes.js';
import {
  type DeclarationReport,
  nameArgument,
  ReadCommand,
  SHOW_EXAMPLES,
  showFlags,
} from '../../cli/read-commands.js';

/** `meadowstack tenant show` */
export default class TenantShow extends ReadCommand {
  static override summary =
    'Shows the version of a tenant in force, or one of its stored versions.';
  static override description = EXIT_CODES_HELP;
  static override examples = SHOW_EXAMPLES;
  static override args = nameArgument;
  static override flags = showFlags;

  override async run(): Promise<DeclarationReport> {
    const { args, flags } = await this.parse(TenantShow);
    return this.show(`tenant/${args.name}`, flags);
  }
}
