/** The command `meadowstack template show`. */
import { EXIT_CODES_HELP } from '../../cli/exit-codes.js';
import {
  type DeclarationReport,
  nameArgument,
  ReadCommand,
  SHOW_EXAMPLES,
  showFlags,
} from '../../cli/read-commands.js';

/** `meadowstack template show` */
export default class TemplateShow extends ReadCommand {
  static override summary =
    'Shows the version of a template in force, or one of its stored versions.';
  static override description = EXIT_CODES_HELP;
  static override examples = SHOW_EXAMPLES;
  static override args = nameArgument;
  static override flags = showFlags;

  override async run(): Promise<DeclarationReport> {
    const { args, flags } = await this.parse(TemplateShow);
    return this.show(`template/${args.name}`, flags);
  }
}
