/** Runs a proxy as a process: signals, admin server, and the line that tells its addresses. */
import type { Result } from 'neverthrow';
import { createLogger } from '../observability/logger.js';
import { ProxyNode, type ProxyStartError } from './proxy-node.js';
import type { Settings } from './settings.js';

/** Resolves when the process has stopped as planned. `announce` gets one JSON line. */
export async function runProxy(
  settings: Settings,
  announce: (line: string) => void,
): Promise<Result<void, ProxyStartError>> {
  const logger = createLogger({ ...settings.log, fields: { node: settings.nodeId } });
  const node = new ProxyNode({ settings, logger, metrics: { requestEnded: () => undefined } });
  const stopped = new Promise<void>((resolve) => {
    const stop = (): void => void node.drain().then(resolve);
    process.once('SIGTERM', stop);
    process.once('SIGINT', stop);
  });
  const started = await node.start();
  if (started.isErr()) return started.map(() => undefined);
  announce(JSON.stringify({ nodeId: settings.nodeId, pid: process.pid, ...started.value }));
  await stopped;
  return started.map(() => undefined);
}
