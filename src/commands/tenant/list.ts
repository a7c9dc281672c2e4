/** The command `meadowstack tenant list`. */
import { storeFlag } from '../../cli/base-command.js';
import { EXIT_CODES_HELP } from '../../cli/exit-codes.js';
import { type DeclarationReport, LIST_EXAMPLES, ReadCommand } from '../../cli/read-commands.js';
import type { TenantDeclaration } from '../../core/configuration/declaration.js';
import type { PublishedEntry } from '../../core/configuration/publish.js';

/** `meadowstack tenant list` */
export default class TenantList extends ReadCommand {
  static override summary = 'Lists the tenants in force.';
  static override description = EXIT_CODES_HELP;
  static override examples = LIST_EXAMPLES;
  static override flags = { store: storeFlag };

  override async run(): Promise<readonly DeclarationReport[]> {
    const { flags } = await this.parse(TenantList);
    return this.list('tenant', flags.store, {
      TEMPLATE: column((tenant) => tenant.template),
      USER: column((tenant) => tenant.user ?? tenant.name),
      ENABLED: column((tenant) => String(tenant.enabled)),
    });
  }
}

function column(text: (tenant: TenantDeclaration) => string): (entry: PublishedEntry) => string {
  return ({ declaration }) => (declaration?.kind === 'Tenant' ? text(declaration) : '');
}
