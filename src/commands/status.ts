/** The command `meadowstack status`. */
import { Flags } from '@oclif/core';
import {
  type AdminRequestError,
  fetchStatus,
  type NodeStatus,
  parseAdminAddresses,
} from '../cli/admin-client.js';
import { BaseCommand } from '../cli/base-command.js';
import { formatTable } from '../cli/declaration-text.js';
import { EXIT_CODES_HELP, ExitCode } from '../cli/exit-codes.js';

interface NodeReport {
  readonly address: string;
  readonly status: NodeStatus | undefined;
  readonly error: AdminRequestError | undefined;
}

/** Output of `status --json`. */
interface StatusReport {
  readonly nodes: readonly object[];
  /** Highest configuration revision of any node. */
  readonly highestRevision: number;
  /** True if every node responded and has `highestRevision`. */
  readonly inForceEverywhere: boolean;
}

/** `meadowstack status` */
export default class Status extends BaseCommand {
  static override summary =
    'Shows the configuration, database groups and owners that the proxies report.';
  static override description =
    `Queries the admin port of each of the given proxies. BEHIND is the number of revisions between a node's configuration and the highest one.

${EXIT_CODES_HELP}`;
  static override examples = [
    '<%= config.bin %> <%= command.id %> --admin 10.0.0.1:9432,10.0.0.2:9432',
    '<%= config.bin %> <%= command.id %> --admin 10.0.0.1:9432 --json',
  ];
  static override flags = {
    admin: Flags.string({
      description: 'comma-separated admin ports of proxies',
      env: 'MEADOWSTACK_ADMIN_ADDRESSES',
      helpValue: 'HOST:PORT,…',
      required: true,
    }),
  };

  override async run(): Promise<StatusReport> {
    const { flags } = await this.parse(Status);
    const nodes = await Promise.all(parseAdminAddresses(flags.admin).map(fetchNodeReport));
    const revisions = nodes.map(({ status }) => status?.configuration.revision);
    const highestRevision = Math.max(0, ...revisions.map((revision) => revision ?? 0));
    this.#showNodes(nodes, highestRevision);
    this.#showGroups(nodes);
    if (nodes.some(({ error }) => error !== undefined)) process.exitCode = ExitCode.UNEXPECTED;
    return {
      nodes: nodes.map(toNodeJson),
      highestRevision,
      inForceEverywhere: revisions.every((revision) => revision === highestRevision),
    };
  }

  #showNodes(nodes: readonly NodeReport[], highest: number): void {
    const header = [
      'ADMIN',
      'NODE',
      'ZONE',
      'STATE',
      'REVISION',
      'BEHIND',
      'LAG MS',
      'SOURCE',
      'RELAY',
    ];
    const rows = nodes.map(({ address, status, error }) => {
      if (status === undefined) return [address, error?.message ?? ''];
      const { revision, lagMs, source, relay } = status.configuration;
      const behind = String(highest - revision);
      const lag = String(Math.round(lagMs));
      const { nodeId, zone, state } = status;
      return [
        address,
        nodeId,
        zone,
        state,
        String(revision),
        behind,
        lag,
        source,
        relay ? 'yes' : 'no',
      ];
    });
    for (const line of formatTable(header, rows)) this.log(line);
  }

  #showGroups(nodes: readonly NodeReport[]): void {
    const rows = nodes.flatMap(({ status }) =>
      (status?.groups ?? []).map(({ group, primary, timeline, queued, running }) => [
        group,
        status?.nodeId ?? '',
        primary ?? '-',
        String(timeline ?? '-'),
        String(queued ?? '-'),
        String(running ?? '-'),
      ]),
    );
    if (rows.length === 0) return;
    this.log('');
    const header = ['GROUP', 'OWNER', 'PRIMARY', 'TIMELINE', 'QUEUED', 'RUNNING'];
    const sorted = rows.sort(([left = ''], [right = '']) => left.localeCompare(right));
    for (const line of formatTable(header, sorted)) this.log(line);
  }
}

async function fetchNodeReport(address: string): Promise<NodeReport> {
  const result = await fetchStatus(address);
  return result.match<NodeReport>(
    (status) => ({ address, status, error: undefined }),
    (error) => ({ address, status: undefined, error }),
  );
}

function toNodeJson({ address, status, error }: NodeReport): object {
  if (status !== undefined) return { address, ...status };
  return { address, error: { code: error?.code, message: error?.message } };
}
