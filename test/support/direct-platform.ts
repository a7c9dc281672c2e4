/** Runs the platform stand-in of the direct gateway as a process. */
import { z } from 'zod';
import { type StartedChild, startChild } from '../../bench/harness/child-process.js';
import { ControlClient } from '../../bench/harness/control-client.js';
import {
  decodeRecord,
  parsePrimaryRecord,
  serviceOfPrimaryKey,
} from '../../src/core/promotion/records.js';
import { type DirectLog, logSchema } from '../../standins/direct/run-log.js';
import { until } from './until.js';

const HOST = '127.0.0.1';

const instanceSchema = z.object({
  ...{ id: z.string(), service: z.string(), zone: z.string(), address: z.string() },
  ...{ role: z.enum(['primary', 'replica']), term: z.int(), heldTerm: z.int() },
  ...{ isRunning: z.boolean(), isDark: z.boolean(), connectionCount: z.int() },
  ...{ received: z.string(), applied: z.string(), slotsInUse: z.int() },
});
const stateSchema = z.object({ instances: z.array(instanceSchema), leases: z.array(z.string()) });
const storeValuesSchema = z.object({ values: z.record(z.string(), z.string()) });
const announcementSchema = z.object({
  ...{ storePort: z.int(), promotionPort: z.int(), controlPort: z.int() },
  instances: z.array(instanceSchema),
});
export type InstanceState = z.infer<typeof instanceSchema>;

/** The stand-in's process and its control port. */
export class DirectPlatform {
  readonly control: ControlClient;

  private constructor(
    readonly child: StartedChild<z.output<typeof announcementSchema>>,
    readonly heartbeatMs: number,
  ) {
    this.control = new ControlClient(HOST, child.announcement.controlPort);
  }

  static async start(flags: readonly string[] = [], heartbeatMs = 300): Promise<DirectPlatform> {
    const all = [...flags, '--heartbeat-ms', String(heartbeatMs)];
    const child = await startChild('standins/direct/main.js', all, announcementSchema);
    return new DirectPlatform(child, heartbeatMs);
  }

  get storePort(): number {
    return this.child.announcement.storePort;
  }

  get promotionPort(): number {
    return this.child.announcement.promotionPort;
  }

  /** `POST` to the control port. */
  async set(path: string, body: unknown = {}): Promise<void> {
    await this.control.call('POST', path, z.looseObject({}), body);
  }

  async instances(): Promise<readonly InstanceState[]> {
    return (await this.control.call('GET', '/state', stateSchema)).instances;
  }

  async instance(id: string): Promise<InstanceState> {
    const found = (await this.instances()).find((one) => one.id === id);
    if (found === undefined) throw new Error(`no instance ${id}`);
    return found;
  }

  /** Waits until an instance other than `old` is the service's primary. */
  async waitForNewPrimary(service: string, old: string): Promise<InstanceState> {
    let found: InstanceState | undefined;
    await until(`a primary of ${service} other than ${old}`, async () => {
      const instances = await this.instances();
      const isNew = (one: InstanceState): boolean => one.service === service && one.id !== old;
      found = instances.find((one) => isNew(one) && one.role === 'primary');
      return found !== undefined;
    });
    if (found === undefined) throw new Error('no new primary');
    return found;
  }

  /** Takes the store down while no primary is being replaced: such a change could not end without it. */
  async stopStoreOutsideChanges(faults: {
    readonly down: 'silent' | 'unavailable';
    readonly leasesWait: boolean;
  }): Promise<void> {
    await until('the store is down outside a change of primary', async () => {
      await this.set('/store/faults', faults);
      if (!(await this.isChangingPrimary())) return true;
      await this.set('/store/faults', { down: 'no' });
      return false;
    });
  }

  /** Whether the records in the store name a change of primary that has not ended. */
  private async isChangingPrimary(): Promise<boolean> {
    return Object.entries(await this.storeValues()).some(([key, value]) => {
      const service = serviceOfPrimaryKey(key);
      const entry = { key, value, createRevision: 0, modRevision: 0 };
      return service !== undefined && decodeRecord(entry, parsePrimaryRecord)?.phase === 'changing';
    });
  }

  /** All keys of the store with their values. */
  async storeValues(): Promise<Readonly<Record<string, string>>> {
    return (await this.control.call('GET', '/store/values', storeValuesSchema)).values;
  }

  log(): Promise<DirectLog> {
    return this.control.call('GET', '/log', logSchema);
  }

  /** The log once each service has a primary; during a primary change it can't be checked. */
  async settledLog(): Promise<DirectLog> {
    let log: DirectLog | undefined;
    await until('a primary of each service', async () => {
      log = await this.log();
      return log.services.every(({ primary }) => primary !== undefined);
    });
    if (log === undefined) throw new Error('no log');
    return log;
  }

  stop(): Promise<void> {
    return this.child.stop();
  }
}
