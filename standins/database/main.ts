/** Entry point: a process that stands in for one PostgreSQL instance of a database group. */
import { readFileSync } from 'node:fs';
import type { AddressInfo, Server } from 'node:net';
import { createSecureContext, type SecureContext } from 'node:tls';
import { createControlServer } from './control/server.js';
import { DatabaseInstance } from './instance.js';
import { type DatabaseOptions, parseOptions, parsePeers } from './options.js';

/** First line of standard output. */
export interface BoundPorts {
  readonly name: string;
  readonly pid: number;
  readonly host: string;
  readonly pgPort: number;
  readonly controlPort: number;
  readonly replicationPort: number;
}

async function main(): Promise<void> {
  const options = parseOptions(process.argv.slice(2));
  if (options === undefined) return;
  if (options['exit-with-stdin']) exitWithStandardInput();
  const instance = new DatabaseInstance(options, loadTls(options));
  const replicationPort = await instance.links.listen(options['replication-port']);
  const pgPort = await instance.listen(options.port);
  const control = createControlServer(instance);
  const controlPort = await listen(control, options['control-port'], options.host);
  if (options.peers !== '') instance.start(parsePeers(options.peers));
  const { name, host } = options;
  const ports: BoundPorts = { name, pid: process.pid, host, pgPort, controlPort, replicationPort };
  process.stdout.write(`${JSON.stringify(ports)}\n`);
}

function loadTls(options: DatabaseOptions): SecureContext | undefined {
  const { 'tls-key': key, 'tls-cert': cert } = options;
  if (key === undefined || cert === undefined) return undefined;
  return createSecureContext({ key: readFileSync(key), cert: readFileSync(cert) });
}

function listen(server: Server, port: number, host: string): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve((server.address() as AddressInfo).port));
  });
}

/** Exits when the harness ends in any way, since that closes the other end of stdin. */
function exitWithStandardInput(): void {
  process.stdin.resume();
  process.stdin.on('end', () => process.exit(0));
  process.stdin.on('error', () => process.exit(0));
}

await main();
