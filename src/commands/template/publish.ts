/** The command `meadowstack template publish`. */
import { type PublishReport, publishFlags } from '../../cli/publish-command.js';
import {
  filesArgument,
  PUBLISH_DESCRIPTION,
  PublishFilesCommand,
  passwordFlag,
} from '../../cli/publish-files.js';

/** `meadowstack template publish` */
export default class TemplatePublish extends PublishFilesCommand {
  static override summary =
    'Publishes declarations, at least one of them a template, in one transaction.';
  static override description = PUBLISH_DESCRIPTION;
  static override examples = [
    '<%= config.bin %> <%= command.id %> template.yaml --dry-run',
    '<%= config.bin %> <%= command.id %> template.yaml tenants.yaml -m "more connections"',
    '<%= config.bin %> <%= command.id %> template.yaml --expect template/standard=12',
  ];
  static override strict = false;
  static override args = filesArgument;
  static override flags = { ...publishFlags, 'password-env': passwordFlag };

  override async run(): Promise<PublishReport> {
    const { argv, flags } = await this.parse(TemplatePublish);
    return this.publishFiles('Template', argv.map(String), flags);
  }
}
