/** The command `meadowstack config history`. */
import { Args } from '@oclif/core';
import { BaseCommand, storeFlag } from '../../cli/base-command.js';
import { formatTable, redact } from '../../cli/declaration-text.js';
import { EXIT_CODES_HELP } from '../../cli/exit-codes.js';
import { parseDeclarationKey } from '../../cli/publish-command.js';
import type { DeclarationKey } from '../../core/configuration/declaration.js';
import type { PublishHistoryEntry } from '../../node/configuration/publisher.js';

/** `meadowstack config history` */
export default class ConfigHistory extends BaseCommand {
  static override summary = 'Lists the publishes, or the stored versions of one declaration.';
  static override description =
    `The last 20 versions of each declaration and the last 200 publishes are stored.

${EXIT_CODES_HELP}`;
  static override examples = [
    '<%= config.bin %> <%= command.id %>',
    '<%= config.bin %> <%= command.id %> tenant/bureau --json',
  ];
  static override args = {
    key: Args.string({ description: 'template/NAME or tenant/NAME; default: all publishes' }),
  };
  static override flags = { store: storeFlag };

  override async run(): Promise<unknown> {
    const { args, flags } = await this.parse(ConfigHistory);
    return args.key === undefined
      ? this.#listPublishes(flags.store)
      : this.#listVersions(flags.store, parseDeclarationKey(args.key));
  }

  async #listPublishes(store: string): Promise<unknown> {
    const publishes = await this.publisherAt(store).publishes();
    if (publishes.isErr()) throw publishes.error;
    const rows = publishes.value.map((publish) => [
      String(publish.revision),
      new Date(publish.publishedAt).toISOString(),
      publish.author,
      formatChanges(publish),
      publish.comment,
    ]);
    const header = ['REVISION', 'PUBLISHED', 'AUTHOR', 'CHANGES', 'MESSAGE'];
    for (const line of formatTable(header, rows)) this.log(line);
    return publishes.value;
  }

  async #listVersions(store: string, key: DeclarationKey): Promise<unknown> {
    const history = await this.publisherAt(store).history(key);
    if (history.isErr()) throw history.error;
    const rows = history.value.map(({ version, revision, publishId, declaration }) => [
      String(version),
      String(revision),
      declaration === null ? 'removed' : 'put',
      publishId,
    ]);
    const header = ['VERSION', 'REVISION', 'CHANGE', 'PUBLISH ID'];
    for (const line of formatTable(header, rows)) this.log(line);
    return history.value.map(redact);
  }
}

function formatChanges({ changes }: PublishHistoryEntry): string {
  return changes.map(({ key, removed }) => (removed ? `-${key}` : key)).join(',');
}
