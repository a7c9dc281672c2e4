/** The command `meadowstack template list`. */
import { storeFlag } from '../../cli/base-command.js';
import { EXIT_CODES_HELP } from '../../cli/exit-codes.js';
import { type DeclarationReport, LIST_EXAMPLES, ReadCommand } from '../../cli/read-commands.js';

/** `meadowstack template list` */
export default class TemplateList extends ReadCommand {
  static override summary = 'Lists the templates in force.';
  static override description = EXIT_CODES_HELP;
  static override examples = LIST_EXAMPLES;
  static override flags = { store: storeFlag };

  override async run(): Promise<readonly DeclarationReport[]> {
    const { flags } = await this.parse(TemplateList);
    return this.list('template', flags.store, {
      PARAMETERS: ({ declaration }) =>
        declaration?.kind === 'Template' ? Object.keys(declaration.parameters).join(',') : '',
    });
  }
}
