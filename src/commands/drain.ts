/** The command `meadowstack drain`. */
import { Flags } from '@oclif/core';
import { adminAddresses, startDrain } from '../cli/admin-client.js';
import { BaseCommand } from '../cli/base-command.js';
import { EXIT_CODES_HELP, UsageError } from '../cli/exit-codes.js';

interface DrainReport {
  readonly address: string;
  readonly draining: true;
}

/** `meadowstack drain` */
export default class Drain extends BaseCommand {
  static override summary = 'Asks one proxy to stop as planned.';
  static override description =
    `The proxy says that it is leaving, hands its groups over, ends each session between requests and exits once the last transaction is done or the drain limit is reached.

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
    const [address, second] = adminAddresses(flags.admin);
    if (address === undefined || second !== undefined) {
      throw new UsageError('--admin: expected the address of one proxy');
    }
    const answer = await startDrain(address);
    if (answer.isErr()) throw answer.error;
    this.log(`${address} is stopping`);
    return { address, draining: true };
  }
}
