/** The operator's configuration in a soak: publishes changes one by one and checks acknowledged versions. */
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
/** Flags of the stand-in for the services to which routes lead. */
export const SERVICE_FLAGS = ['--service', `${SERVICE}=3`, '--service', `${OTHER_SERVICE}=3`];
/** Timeout of the first version; it rises with changes, so that versions differ. */
const INITIAL_TIMEOUT_MS: Milliseconds = 2000;
/** Time limit for an acknowledged version to be in force everywhere, including gateways that must start first. */
const MAX_PROPAGATION_MS: Milliseconds = 15_000;

const ARCHIVE: TestRoute = { database: 'archive', service: SERVICE, routeType: 'primary' };
const ROAM: TestRoute = {
  ...{ database: 'roam', service: SERVICE, routeType: 'primary', mayMove: true },
};

/** Different priorities, so that instances admit requests by priority. */
const PRIORITIES: Readonly<Record<TestRoute['routeType'], number>> = {
  ...{ primary: 0, read_your_writes: 1, bounded_staleness: 2 },
};

interface DesiredConfiguration {
  readonly timeoutMs: Milliseconds;
  readonly hasArchive: boolean;
  readonly roamService: string;
  /** Databases whose only purpose is to distinguish versions. */
  readonly markerDatabases: readonly string[];
}

const CHANGES: {
  readonly [Change in ConfigurationChange]: (desired: DesiredConfiguration) => DesiredConfiguration;
} = {
  'add-route': (desired) => ({ ...desired, hasArchive: true }),
  'remove-route': (desired) => ({ ...desired, hasArchive: false }),
  'move-route': (desired) => ({
    ...desired,
    roamService: desired.roamService === SERVICE ? OTHER_SERVICE : SERVICE,
  }),
  'set-timeouts': (desired) => ({ ...desired, timeoutMs: desired.timeoutMs + 1 }),
};

function routesOf({
  timeoutMs,
  hasArchive,
  roamService,
  markerDatabases,
}: DesiredConfiguration): readonly TestRoute[] {
  const marked = markerDatabases.map((database) => ({ ...ARCHIVE, database }));
  const routes = [...ROUTES, { ...ROAM, service: roamService }, ...marked];
  return [...routes, ...(hasArchive ? [ARCHIVE] : [])].map((route) => ({
    ...{ ...route, timeoutMs },
    priority: PRIORITIES[route.routeType],
  }));
}

const INITIAL_CONFIGURATION: DesiredConfiguration = {
  ...{ timeoutMs: INITIAL_TIMEOUT_MS, hasArchive: true, roamService: SERVICE, markerDatabases: [] },
};
/** Routes at the start of a round. */
export const INITIAL_ROUTES = routesOf(INITIAL_CONFIGURATION);

export class OperatorConfiguration {
  #desired = INITIAL_CONFIGURATION;
  /** Version that the store acknowledged last. */
  #acknowledged = INITIAL_CONFIGURATION;
  #lastTask: Promise<unknown> = Promise.resolve();

  constructor(private readonly cluster: DirectCluster) {}

  /** Publishes a change after all earlier ones; false if the store doesn't accept it. */
  change(change: ConfigurationChange): Promise<boolean> {
    return this.#enqueue(() => this.#publish(CHANGES[change](this.#desired)));
  }

  /**
   * Publishes a version and runs the task right after the acknowledgement. Publishes no other version
   * until this one is in force at every gateway. Returns the parts that a gateway lacks.
   */
  publishThen(task: () => Promise<void>): Promise<readonly string[]> {
    return this.#enqueue(async () => {
      const markerDatabases = [
        ...this.#desired.markerDatabases,
        `mark-${this.#desired.markerDatabases.length + 1}`,
      ];
      if (!(await this.#publish({ ...this.#desired, markerDatabases }))) return [];
      await task();
      return this.waitUntilInForce();
    });
  }

  /** Waits until the acknowledged version is in force at every gateway; returns the parts that one lacks. */
  async waitUntilInForce(): Promise<readonly string[]> {
    let missing: readonly string[] = [];
    const isInForce = async (): Promise<boolean> => {
      const probes = await Promise.all(this.cluster.gateways.map((one) => this.#probe(one)));
      missing = checkServedRoutes(probes.flat()).map(({ detail }) => detail);
      return missing.length === 0 && probes.every((one) => one.length > 0);
    };
    try {
      await until('the acknowledged configuration is in force', isInForce, MAX_PROPAGATION_MS);
      return [];
    } catch (error) {
      return missing.length > 0 ? missing : [String(error)];
    }
  }

  async #publish(desired: DesiredConfiguration): Promise<boolean> {
    this.#desired = desired;
    try {
      await this.cluster.publish(routesOf(desired));
    } catch (error) {
      if (error instanceof ControlCallError) return false;
      throw error;
    }
    this.#acknowledged = desired;
    return true;
  }

  #enqueue<Result>(task: () => Promise<Result>): Promise<Result> {
    const result = this.#lastTask.then(task);
    this.#lastTask = result.catch(() => undefined);
    return result;
  }

  /** Empty while the gateway accepts no connections. */
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
