/** The command `meadowstack drain`. */
import { Flags } from '@oclif/core';
import { parseAdminAddresses, startDrain } from '../cli/admin-client.js';
import { BaseCommand } from '../cli/base-command.js';
import { EXIT_CODES_HELP, UsageError } from '../cli/exit-codes.js';

interface DrainReport {
  readonly address: string;
  readonly draining: true;
}

/** `meadowstack drain` */
export default class Drain extends BaseCommand {
  static override summary = 'Starts the graceful shutdown of one proxy.';
  static override description =
    `The proxy announces that it is leaving, transfers its database groups to other proxies, closes each session between requests, and exits once the last transaction has ended or the drain limit is reached.

${EXIT_CODES_HELP}`;
  static override examples = [
    '<%= config.bin %> <%= command.id %> --admin 10.0.0.1:9432',
    '<%= config.bin %> <%= command.id %> --admin 10.0.0.1:9432 --json',
  ];
  static override flags = {
    admin: Flags.string({
      description: 'admin port of the proxy',
      helpValue: 'HOST:PORT',
      required: true,
    }),
  };

  override async run(): Promise<DrainReport> {
    const { flags } = await this.parse(Drain);
    const [address, extra] = parseAdminAddresses(flags.admin);
    if (address === undefined || extra !== undefined) {
      throw new UsageError('--admin: expected the address of one proxy');
    }
    const response = await startDrain(address);
    if (response.isErr()) throw response.error;
    this.log(`${address} is stopping`);
    return { address, draining: true };
  }
}
