/** Proxies that are killed, shut down gracefully, or paused while they hold leases and groups. */
import { nowMs } from '../load/clock.js';
import type { Fault } from './fault.js';
import { pickProxy } from './targets.js';

const PAUSE_MS = 4_000;

export const PROXY_KILLED: Fault = {
  name: 'proxy-killed',
  summary: 'SIGKILL to a proxy; another takes its place when the fault ends',
  durationMs: 1_500,
  begin: async (context) => {
    const { cluster, recorder } = context;
    const { nodeId, zone, kill } = pickProxy(context);
    recorder.recordProxyStop(nodeId);
    await kill();
    return {
      target: nodeId,
      primaryFailures: [],
      end: async () => {
        await cluster.startProxy({ nodeId, zone });
        recorder.recordProxyStart(nodeId);
      },
    };
  },
};

export const PROXY_PLANNED_STOP: Fault = {
  name: 'proxy-planned-stop',
  summary: 'SIGTERM to a proxy; another takes its place once it has left',
  durationMs: 1_500,
  begin: async (context) => {
    const { cluster, recorder } = context;
    const { nodeId, zone, stop } = pickProxy(context);
    const requestedAt = nowMs();
    recorder.recordProxyStop(nodeId);
    await cluster.machines.markLeaving({ role: 'proxy', name: nodeId });
    const exited = stop().then((exitCode) => {
      recorder.recordPlannedStop({
        proxy: nodeId,
        requestedAt,
        exitedAt: nowMs(),
        exitCode: exitCode ?? undefined,
      });
    });
    return {
      target: nodeId,
      primaryFailures: [],
      end: async () => {
        await exited;
        await cluster.startProxy({ nodeId, zone });
        recorder.recordProxyStart(nodeId);
      },
    };
  },
};

export const LEASE_HOLDER_PAUSED: Fault = {
  name: 'lease-holder-paused',
  summary: 'SIGSTOP to a proxy that relays the configuration, SIGCONT after its lease has lapsed',
  durationMs: PAUSE_MS,
  begin: async (context) => {
    const { cluster, recorder } = context;
    const serving = recorder.servingProxies;
    const relay = recorder.relayProxies.find((nodeId) => serving.includes(nodeId));
    const proxy = relay === undefined ? pickProxy(context) : cluster.proxy(relay);
    proxy.pause();
    recorder.recordProxyStop(proxy.nodeId);
    await cluster.store.expireLeases();
    return {
      target: proxy.nodeId,
      primaryFailures: [],
      end: async () => {
        proxy.resume();
        recorder.recordProxyStart(proxy.nodeId);
      },
    };
  },
};
