/** Control port of `npm run dev`: lists, begins and ends faults by name, with JSON over HTTP. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Deployment } from '../deployments.js';
import type { FaultContext, InjectedFault } from '../faults/fault.js';
import { FAULTS, findFault, UnknownFaultError } from '../faults/registry.js';
import { NoTargetError } from '../faults/targets.js';
import type { Cluster } from '../harness/cluster.js';
import { createRandom } from '../load/random.js';
import { RunRecorder } from '../recorders/run-recorder.js';
import { toClusterTenant } from '../run/deployment-cluster.js';

const LOOPBACK = '127.0.0.1';
const DEFAULT_SEED = 1;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_INTERNAL_ERROR = 500;

interface ControlResponse {
  readonly status: number;
  readonly body: unknown;
}

export class ControlServer {
  readonly #server: Server;
  readonly #recorder = new RunRecorder();
  readonly #random = createRandom(DEFAULT_SEED);
  readonly #activeFaults = new Map<string, InjectedFault>();

  constructor(
    private readonly cluster: Cluster,
    private readonly deployments: readonly Deployment[],
  ) {
    for (const nodeId of cluster.proxies.keys()) this.#recorder.recordProxyStart(nodeId);
    this.#server = createServer((request, response) => void this.#respond(request, response));
  }

  /** Resolves with `host:port`. */
  listen(): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(0, LOOPBACK, () => {
        const address = this.#server.address();
        const port = typeof address === 'object' ? address?.port : undefined;
        resolve(`${LOOPBACK}:${port}`);
      });
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #respond(request: IncomingMessage, response: ServerResponse): Promise<void> {
    request.resume();
    const url = new URL(request.url ?? '/', 'http://control');
    const { status, body } = await this.#handle(request.method ?? '', url).catch(toFailureResponse);
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(`${JSON.stringify(body)}\n`);
  }

  async #handle(method: string, url: URL): Promise<ControlResponse> {
    const [, root, name] = url.pathname.split('/');
    if (root !== 'faults') return { status: STATUS_NOT_FOUND, body: { error: 'see /faults' } };
    if (name === undefined || name === '') return { status: STATUS_OK, body: this.#listFaults() };
    if (method === 'POST') return this.#beginFault(name, url.searchParams.get('deployment'));
    if (method === 'DELETE') return this.#endFault(name);
    return {
      status: STATUS_OK,
      body: { name, target: this.#activeFaults.get(name)?.target ?? null },
    };
  }

  #listFaults(): unknown {
    return FAULTS.map(({ name, summary }) => {
      return { name, summary, target: this.#activeFaults.get(name)?.target ?? null };
    });
  }

  async #beginFault(name: string, deploymentName: string | null): Promise<ControlResponse> {
    const fault = findFault(name);
    if (this.#activeFaults.has(name))
      return { status: STATUS_CONFLICT, body: { error: 'has begun' } };
    const injected = await fault.begin(this.#createContext(deploymentName));
    this.#activeFaults.set(name, injected);
    return { status: STATUS_OK, body: { name, target: injected.target } };
  }

  async #endFault(name: string): Promise<ControlResponse> {
    const injected = this.#activeFaults.get(name);
    if (injected === undefined) return { status: STATUS_CONFLICT, body: { error: 'not begun' } };
    this.#activeFaults.delete(name);
    await injected.end();
    return { status: STATUS_OK, body: { name, target: null } };
  }

  #createContext(deploymentName: string | null): FaultContext {
    const [first] = this.deployments;
    const named = this.deployments.find(({ name }) => name === deploymentName);
    const deployment = named ?? first;
    if (deployment === undefined) throw new NoTargetError('no deployment');
    const { cluster } = this;
    const tenant = toClusterTenant(deployment);
    return { cluster, deployment, random: this.#random, recorder: this.#recorder, tenant };
  }
}

function toFailureResponse(error: unknown): ControlResponse {
  const message = error instanceof Error ? error.message : String(error);
  if (error instanceof UnknownFaultError) {
    return { status: STATUS_NOT_FOUND, body: { error: message } };
  }
  const status = error instanceof NoTargetError ? STATUS_CONFLICT : STATUS_INTERNAL_ERROR;
  return { status, body: { error: message } };
}
