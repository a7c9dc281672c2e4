/** Runs a proxy as a process: signals, admin server, and the output line with its addresses. */
import { err, ok, type Result } from 'neverthrow';
import type { MeadowstackError } from '../core/errors.js';
import { startAdminServer } from '../observability/admin-server.js';
import { createLogger } from '../observability/logger.js';
import { createMetrics, type NodeMetrics } from '../observability/metrics.js';
import { NodeMetricsRecorder } from './node-metrics.js';
import { ProxyNode } from './proxy-node.js';
import type { Settings } from './settings.js';

/**
 * Runs a proxy; resolves after its graceful shutdown. `announce` is called with one JSON line that
 * contains the addresses.
 */
export async function runProxy(
  settings: Settings,
  announce: (line: string) => void,
): Promise<Result<void, MeadowstackError>> {
  const logger = createLogger({ ...settings.log, fields: { node: settings.nodeId } });
  const metrics = createMetrics(settings.nodeId);
  const recorder = new NodeMetricsRecorder(metrics);
  const started = await ProxyNode.start({
    settings,
    logger,
    metrics: {
      requestEnded: (request) => {
        recorder.requestEnded(request);
        logger.debug('request ended', () => ({ ...request }));
      },
    },
  });
  if (started.isErr()) return err(started.error);
  const node = started.value;
  const admin = await openAdminPort(settings, node, metrics, recorder);
  if (admin.isErr()) return err(admin.error);
  const { host, port } = admin.value;
  const stopped = stopOnSignal(node);
  announce(
    JSON.stringify({
      nodeId: settings.nodeId,
      pid: process.pid,
      ...node.addresses,
      admin: { host, port },
    }),
  );
  await stopped;
  await admin.value.close();
  return ok(undefined);
}

function openAdminPort(
  settings: Settings,
  node: ProxyNode,
  metrics: NodeMetrics,
  recorder: NodeMetricsRecorder,
): ReturnType<typeof startAdminServer> {
  return startAdminServer({
    ...settings.admin,
    registry: metrics.registry,
    beforeScrape: () => recorder.refresh(node.status()),
    readiness: () => node.readiness(),
    status: () => ({ ...node.status() }),
    drain: () => void node.drain(),
  });
}

function stopOnSignal(node: ProxyNode): Promise<void> {
  return new Promise((resolve) => {
    node.onDrained = resolve;
    const stop = (): void => void node.drain();
    // `on`, not `once`: a second signal must not end the process during its graceful shutdown.
    process.on('SIGTERM', stop);
    process.on('SIGINT', stop);
  });
}
