/**
 * A node's totals and gauges reach its metrics; a total that restarts at zero never lowers a
 * counter.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { NodeMetricsRecorder } from '../../src/node/node-metrics.js';
import type { GroupStatus, NodeStatus } from '../../src/node/node-status.js';
import { createMetrics } from '../../src/observability/metrics.js';

function groupStatus(replicaReads: number): GroupStatus {
  return {
    group: 'orders',
    queued: 3,
    running: 2,
    primary: 'orders-a',
    timeline: 4,
    replicaReads,
    primaryReads: 1,
    eligibleReplicaReads: replicaReads,
    writes: 0,
    notRun: 0,
    unknown: 0,
    retries: 5,
    confirmationsSent: 6,
    writesConfirmed: 0,
    connectionsOpen: 7,
  };
}

/** Only the fields that the recorder reads. */
function nodeStatus(group: GroupStatus): NodeStatus {
  return {
    state: 'leaving',
    callers: 9,
    configuration: { revision: 12 },
    members: [{ nodeId: 'other', zone: 'a', status: 'alive' }],
    groups: [group],
    backend: {
      cancelsSent: 1,
      notificationsDropped: 0,
      protocolViolations: 0,
      foreignInstances: 0,
    },
    peers: { linksOpened: 2, linksLost: 1, bytesSent: 100, bytesReceived: 50 },
    backendConnectionsOpened: 8,
    storeRequests: 10,
    primaryChanges: 1,
  } as unknown as NodeStatus;
}

test('counters and gauges follow the status', async () => {
  const metrics = createMetrics('n1', false);
  const recorder = new NodeMetricsRecorder(metrics);
  recorder.refresh(nodeStatus(groupStatus(20)));
  recorder.refresh(nodeStatus(groupStatus(5)));
  recorder.requestEnded({
    requestId: 'n1-1',
    kind: 'unlock',
    access: 'write',
    outcome: 'not-run',
    route: 'primary',
    reason: 'MS-NOT-RUN-QUEUE-FULL',
    elapsedMs: 1,
  });
  const text = await metrics.registry.metrics();
  const has = (line: string): void => assert.ok(text.includes(line), line);
  has('meadowstack_replica_reads_total{group="orders",node="n1"} 20');
  has('meadowstack_queue_depth{group="orders",node="n1"} 3');
  has('meadowstack_open_connections{side="backend",node="n1"} 7');
  has('meadowstack_retries_total{node="n1"} 5');
  has('meadowstack_peer_links_total{event="lost",node="n1"} 1');
  has('meadowstack_members{state="alive",node="n1"} 1');
  has('meadowstack_configuration_revision{node="n1"} 12');
  has('meadowstack_draining{node="n1"} 1');
  has('meadowstack_not_run_total{reason="MS-NOT-RUN-QUEUE-FULL",node="n1"} 1');
});

test.run();
