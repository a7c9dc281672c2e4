/** The operator's configuration in a soak: one change after the other, and what was acknowledged of it. */
import type { Milliseconds } from '../../src/core/units.js';
import { type ConfigurationProbe, checkServedRoutes } from '../../test/support/direct-answers.js';
import { type DirectCluster, ROUTES, type TestRoute } from '../../test/support/direct-cluster.js';
import type { DirectGatewayProcess } from '../../test/support/direct-process.js';
import { startErrorCode } from '../../test/support/line-client.js';
import { until } from '../../test/support/until.js';
import { ControlCallError } from '../harness/control-client.js';
import type { ConfigurationChange } from './planned-schedule.js';

const SERVICE = 'orders';
const OTHER_SERVICE = 'ledger';
/** The stand-in's flags for the services that routes lead to. */
export const SERVICE_FLAGS = ['--service', `${SERVICE}=3`, '--service', `${OTHER_SERVICE}=3`];
/** Time-outs rise from here with each change, so that each version differs. */
const FIRST_TIMEOUT_MS: Milliseconds = 2000;
/** A version that was acknowledged is in force everywhere after so long, also where gateways start first. */
const IN_FORCE_MS: Milliseconds = 15_000;

const ARCHIVE: TestRoute = { database: 'archive', service: SERVICE, routeType: 'primary' };
const ROAM: TestRoute = {
  ...{ database: 'roam', service: SERVICE, routeType: 'primary', mayMove: true },
};

/** Callers compete, so that instances admit by priority. */
const PRIORITIES: Readonly<Record<TestRoute['routeType'], number>> = {
  ...{ primary: 0, read_your_writes: 1, bounded_staleness: 2 },
};

interface Wanted {
  readonly timeoutMs: Milliseconds;
  readonly hasArchive: boolean;
  readonly roamAt: string;
  /** Databases that were only added to tell versions apart. */
  readonly marks: readonly string[];
}

const CHANGES: { readonly [Change in ConfigurationChange]: (wanted: Wanted) => Wanted } = {
  'add-route': (wanted) => ({ ...wanted, hasArchive: true }),
  'remove-route': (wanted) => ({ ...wanted, hasArchive: false }),
  'move-route': (wanted) => ({
    ...wanted,
    roamAt: wanted.roamAt === SERVICE ? OTHER_SERVICE : SERVICE,
  }),
  'set-timeouts': (wanted) => ({ ...wanted, timeoutMs: wanted.timeoutMs + 1 }),
};

function routesOf({ timeoutMs, hasArchive, roamAt, marks }: Wanted): readonly TestRoute[] {
  const marked = marks.map((database) => ({ ...ARCHIVE, database }));
  const routes = [...ROUTES, { ...ROAM, service: roamAt }, ...marked];
  return [...routes, ...(hasArchive ? [ARCHIVE] : [])].map((route) => ({
    ...{ ...route, timeoutMs },
    priority: PRIORITIES[route.routeType],
  }));
}

const FIRST: Wanted = {
  ...{ timeoutMs: FIRST_TIMEOUT_MS, hasArchive: true, roamAt: SERVICE, marks: [] },
};
/** Routes that a round begins with. */
export const FIRST_ROUTES = routesOf(FIRST);

export class OperatorConfiguration {
  #wanted = FIRST;
  /** What the store acknowledged last. */
  #acknowledged = FIRST;
  #last: Promise<unknown> = Promise.resolve();

  constructor(private readonly cluster: DirectCluster) {}

  /** Publishes a change after those that were asked for before; false while the store takes nothing. */
  change(change: ConfigurationChange): Promise<boolean> {
    return this.#next(() => this.#publish(CHANGES[change](this.#wanted)));
  }

  /**
   * Publishes a version and does this right after it was acknowledged; no other version is published
   * until it is in force again at every gateway. Returns what a gateway lacks of it.
   */
  publishAndDo(task: () => Promise<void>): Promise<readonly string[]> {
    return this.#next(async () => {
      const marks = [...this.#wanted.marks, `mark-${this.#wanted.marks.length + 1}`];
      if (!(await this.#publish({ ...this.#wanted, marks }))) return [];
      await task();
      return this.inForce();
    });
  }

  /** Waits until what was acknowledged is in force at every gateway; returns what a gateway lacks of it. */
  async inForce(): Promise<readonly string[]> {
    let lacking: readonly string[] = [];
    const look = async (): Promise<boolean> => {
      const probes = await Promise.all(this.cluster.gateways.map((one) => this.#probe(one)));
      lacking = checkServedRoutes(probes.flat()).map(({ detail }) => detail);
      return lacking.length === 0 && probes.every((one) => one.length > 0);
    };
    try {
      await until('the acknowledged configuration is in force', look, IN_FORCE_MS);
      return [];
    } catch (error) {
      return lacking.length > 0 ? lacking : [String(error)];
    }
  }

  async #publish(wanted: Wanted): Promise<boolean> {
    this.#wanted = wanted;
    try {
      await this.cluster.publish(routesOf(wanted));
    } catch (error) {
      if (error instanceof ControlCallError) return false;
      throw error;
    }
    this.#acknowledged = wanted;
    return true;
  }

  #next<Result>(task: () => Promise<Result>): Promise<Result> {
    const result = this.#last.then(task);
    this.#last = result.catch(() => undefined);
    return result;
  }

  /** Nothing while the gateway takes no connections. */
  async #probe(gateway: DirectGatewayProcess): Promise<readonly ConfigurationProbe[]> {
    const expected = routesOf(this.#acknowledged).map(({ database }) => database);
    const databases = new Set([...expected, ARCHIVE.database]);
    try {
      return await Promise.all(
        [...databases].map(async (database) => ({
          ...{ gateway: gateway.name, database, isExpected: expected.includes(database) },
          code: await startErrorCode(gateway.callersPort, database),
        })),
      );
    } catch {
      return [];
    }
  }
}
