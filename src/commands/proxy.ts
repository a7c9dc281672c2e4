/** `meadowstack proxy`: runs one proxy process until SIGTERM or SIGINT. */
import { Command, Flags } from '@oclif/core';
import { runProxy } from '../node/run-proxy.js';
import { flagName, SETTING_FIELDS } from '../node/setting-fields.js';
import { loadSettings } from '../node/settings.js';

const EXIT_INVALID_SETTINGS = 4;
const EXIT_FAILED = 1;

export default class ProxyCommand extends Command {
  static override summary = 'Run one proxy process.';
  static override description = [
    'Settings come from a YAML file, environment variables and flags; later ones override earlier',
    'ones. The first line on standard output is JSON with the bound addresses. SIGTERM and SIGINT',
    'start a graceful shutdown. Exit codes: 0 shut down, 1 could not start, 4 invalid settings.',
  ].join('\n');
  static override examples = [
    '<%= config.bin %> proxy --settings proxy.yaml',
    '<%= config.bin %> proxy --zone a --callers-port 6432 --store-endpoints http://127.0.0.1:2379',
  ];
  static override flags = {
    settings: Flags.string({ description: 'YAML file with settings' }),
    'stop-with-stdin': Flags.boolean({
      description: 'exit at once when standard input closes, for supervisors and tests',
    }),
    ...Object.fromEntries(
      SETTING_FIELDS.map((field) => [
        flagName(field),
        Flags.string({
          description: field.description,
          helpGroup: 'SETTINGS',
          hidden: field.hidden === true,
        }),
      ]),
    ),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(ProxyCommand);
    const settings = loadSettings({ file: flags.settings, env: process.env, flags });
    if (settings.isErr()) this.error(settings.error.message, { exit: EXIT_INVALID_SETTINGS });
    if (flags['stop-with-stdin']) process.stdin.on('end', () => process.exit(0)).resume();
    const outcome = await runProxy(settings.value, (line) => this.log(line));
    if (outcome.isErr()) this.error(outcome.error.message, { exit: EXIT_FAILED });
    this.exit(0);
  }
}
