/** Runs `meadowstack proxy` as a process that can be stopped gracefully, killed or paused. */
import { z } from 'zod';
import { startChild } from './child-process.js';

const addressSchema = z.object({ host: z.string(), port: z.number().int() });
const announcementSchema = z.object({
  nodeId: z.string(),
  callers: addressSchema,
  peer: addressSchema,
  admin: addressSchema.optional(),
});

export interface ProxyFlags {
  readonly nodeId: string;
  readonly zone: string;
  /** Port for the links of other proxies; by default one that the system chooses. */
  readonly peerPort?: number;
  readonly storePort: number;
  readonly machinesPort: number;
  readonly sessionKeyHex: string;
  readonly backendPassword: string;
  /** Further flags, such as `--drain-limit-ms=500`. */
  readonly extraFlags?: readonly string[];
}

/** A proxy process that accepts callers. */
export interface RunningProxy {
  readonly nodeId: string;
  readonly zone: string;
  readonly pid: number;
  readonly callers: { readonly host: string; readonly port: number };
  readonly peer: { readonly host: string; readonly port: number };
  readonly admin: { readonly host: string; readonly port: number } | undefined;
  /** SIGKILL. */
  kill(): Promise<void>;
  /** SIGSTOP. */
  pause(): void;
  /** SIGCONT. */
  resume(): void;
  /** SIGTERM: a graceful shutdown; resolves with the exit code. */
  stop(): Promise<number | null>;
}

const LOOPBACK = '127.0.0.1';

export async function startProxy(flags: ProxyFlags): Promise<RunningProxy> {
  const child = await startChild(
    '../bin/run.js',
    [
      'proxy',
      `--node-id=${flags.nodeId}`,
      `--zone=${flags.zone}`,
      '--callers-port=0',
      `--peer-port=${flags.peerPort ?? 0}`,
      '--admin-port=0',
      `--store-endpoints=http://${LOOPBACK}:${flags.storePort}`,
      `--machines-endpoint=http://${LOOPBACK}:${flags.machinesPort}`,
      `--session-keys=k1:${flags.sessionKeyHex}`,
      `--backend-default-password=${flags.backendPassword}`,
      '--log-level=info',
      '--stop-with-stdin',
      ...(flags.extraFlags ?? []),
    ],
    announcementSchema,
  );
  const { announcement } = child;
  const exited = new Promise<number | null>((resolve) => child.process.once('exit', resolve));
  return {
    nodeId: announcement.nodeId,
    zone: flags.zone,
    pid: child.pid,
    callers: announcement.callers,
    peer: announcement.peer,
    admin: announcement.admin,
    kill: () => child.kill('SIGKILL'),
    pause: () => void child.process.kill('SIGSTOP'),
    resume: () => void child.process.kill('SIGCONT'),
    stop: () => {
      child.process.kill('SIGTERM');
      return exited;
    },
  };
}
