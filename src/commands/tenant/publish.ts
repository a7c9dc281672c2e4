/** The command `meadowstack tenant publish`. */
import { type PublishReport, publishFlags } from '../../cli/publish-command.js';
import {
  filesArgument,
  PUBLISH_DESCRIPTION,
  PublishFilesCommand,
  passwordFlag,
} from '../../cli/publish-files.js';

/** `meadowstack tenant publish` */
export default class TenantPublish extends PublishFilesCommand {
  static override summary =
    'Publishes declarations, at least one of them a tenant, in one transaction.';
  static override description = PUBLISH_DESCRIPTION;
  static override examples = [
    '<%= config.bin %> <%= command.id %> tenant.yaml --dry-run',
    '<%= config.bin %> <%= command.id %> template.yaml tenants.yaml -m "more connections"',
    'PASSWORD=… <%= config.bin %> <%= command.id %> bureau.yaml --password-env PASSWORD',
  ];
  static override strict = false;
  static override args = filesArgument;
  static override flags = { ...publishFlags, 'password-env': passwordFlag };

  override async run(): Promise<PublishReport> {
    const { argv, flags } = await this.parse(TenantPublish);
    return this.publishFiles('Tenant', argv.map(String), flags);
  }
}
