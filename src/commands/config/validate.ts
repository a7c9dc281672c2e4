/** The command `meadowstack config validate`. */
import { BaseCommand } from '../../cli/base-command.js';
import { fillVerifiers, readDeclarations, readPassword } from '../../cli/declaration-files.js';
import { EXIT_CODES_HELP } from '../../cli/exit-codes.js';
import { filesArgument, passwordFlag } from '../../cli/publish-files.js';
import { buildCatalogue, resolveCatalogue } from '../../core/configuration/catalogue.js';
import { keyOf } from '../../core/configuration/declaration.js';
import { InvalidDeclarationError } from '../../core/configuration/errors.js';

interface ValidationReport {
  readonly valid: true;
  readonly declarations: readonly string[];
}

/** `meadowstack config validate` */
export default class ConfigValidate extends BaseCommand {
  static override summary = 'Validates declarations as publishing does, without a store.';
  static override description =
    `The files must also contain every template that their tenants refer to. Each problem is reported with its file, line, column and field, and what was expected.

${EXIT_CODES_HELP}`;
  static override examples = [
    '<%= config.bin %> <%= command.id %> templates/*.yaml tenants/*.yaml',
    'PASSWORD=x <%= config.bin %> <%= command.id %> all.yaml --password-env PASSWORD --json',
  ];
  static override strict = false;
  static override args = filesArgument;
  static override flags = { 'password-env': passwordFlag };

  override async run(): Promise<ValidationReport> {
    const { argv, flags } = await this.parse(ConfigValidate);
    const read = readDeclarations(argv.map(String));
    if (read.isErr()) throw read.error;
    const passwordVariable = flags['password-env'];
    const declarations =
      passwordVariable === undefined
        ? read.value
        : fillVerifiers(read.value, readPassword(passwordVariable), () => undefined);
    const { problems } = resolveCatalogue(buildCatalogue(declarations));
    if (problems.length > 0) throw new InvalidDeclarationError(problems);
    this.log(`${declarations.length} declarations are valid`);
    return { valid: true, declarations: declarations.map((each) => keyOf(each.declaration)) };
  }
}
