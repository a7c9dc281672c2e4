/** Base class of the commands: `--json`, typed errors with their exit codes, and the store client. */
import { Command, Flags } from '@oclif/core';
import { InvalidDeclarationError, PublishConflictError } from '../core/configuration/errors.js';
import { MeadowstackError } from '../core/errors.js';
import { Publisher } from '../node/configuration/publisher.js';
import { DEFAULT_STORE_CLIENT_OPTIONS, StoreClient } from '../platform/store-client.js';
import { redact } from './declaration-text.js';
import { exitCodeOf, UsageError } from './exit-codes.js';

/** Flag for the URL of the store. */
export const storeFlag = Flags.string({
  description: 'URL of the store',
  env: 'MEADOWSTACK_STORE_ENDPOINTS',
  default: 'http://127.0.0.1:2379',
  helpValue: 'URL',
});

/** Base class of the commands that report typed errors. */
export abstract class BaseCommand extends Command {
  static override enableJsonFlag = true;
  readonly #stores: StoreClient[] = [];

  /** Creates a publisher for the store at this URL; of a comma-separated list the first is used. */
  protected publisherAt(url: string): Publisher {
    const store = new StoreClient({
      ...DEFAULT_STORE_CLIENT_OPTIONS,
      endpoint: parseEndpoint(url),
      clientName: 'meadowstack-cli',
    });
    this.#stores.push(store);
    return new Publisher({ store, random: Math.random, wait });
  }

  /** Reports a typed error and sets its exit code; other errors are left to oclif. */
  protected override async catch(error: Error & { exitCode?: number }): Promise<unknown> {
    if (!(error instanceof MeadowstackError)) return super.catch(error);
    process.exitCode = exitCodeOf(error);
    if (this.jsonEnabled()) this.logJson({ error: errorJson(error) });
    else this.logToStderr(errorText(error));
    return undefined;
  }

  protected override async finally(error: Error | undefined): Promise<unknown> {
    for (const store of this.#stores) store.close();
    return super.finally(error);
  }
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

function parseEndpoint(urls: string): { readonly host: string; readonly port: number } {
  const [first = ''] = urls.split(',');
  const url = URL.parse(first.trim());
  if (url === null || url.protocol !== 'http:') {
    throw new UsageError(`--store: expected a URL such as http://127.0.0.1:2379`);
  }
  return { host: url.hostname, port: url.port === '' ? 80 : Number(url.port) };
}

function errorJson(error: MeadowstackError): object {
  const { code, message } = error;
  if (error instanceof InvalidDeclarationError) return { code, problems: error.problems };
  if (!(error instanceof PublishConflictError)) return { code, message };
  const conflicts = error.conflicts.map((conflict) => ({
    ...conflict,
    current: redact(conflict.current),
    proposed: redact(conflict.proposed),
  }));
  return { code, message, conflicts };
}

function errorText(error: MeadowstackError): string {
  if (!(error instanceof PublishConflictError)) return `${error.code}: ${error.message}`;
  const versions = error.conflicts.map(
    ({ current, proposed }) =>
      `in force:   ${JSON.stringify(redact(current))}\nto publish: ${JSON.stringify(redact(proposed))}`,
  );
  return [`${error.code}: ${error.message}`, ...versions].join('\n');
}
