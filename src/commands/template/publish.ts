import { EXIT_CODES_HELP } from '../../cli/exit-codes.js';
import { type PublishReport, publishFlags } from '../../cli/publish-command.js';
import { filesArgument, PublishFilesCommand, passwordFlag } from '../../cli/publish-files.js';

/** `meadowstack template publish` */
export default class TemplatePublish extends PublishFilesCommand {
  static override summary = 'Publishes declarations, at least one of them a template, all or none.';
  static override description =
    `All documents of all files go into one transaction. A declaration that someone else has changed since it was read (or since the revision given by --expect) is a conflict, and both versions are shown.

${EXIT_CODES_HELP}`;
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
