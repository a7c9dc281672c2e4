/**
 * Opens back-end connections by instance name, with the address from the machine list and the
 * credentials and TLS mode from the settings.
 */
import { errAsync, type ResultAsync } from 'neverthrow';
import { MeadowstackError } from '../../core/errors.js';
import type { DatabaseRole, GroupName, InstanceName } from '../../core/request.js';
import type { Logger } from '../../observability/logger.js';
import type { DatabaseMachine } from '../../platform/contract.js';
import { connectBackend } from '../../postgres/backend/connect.js';
import { type BackendTlsOptions, createBackendCounters } from '../../postgres/backend/options.js';
import type { BackendConnection } from '../../postgres/contract.js';
import type { Settings } from '../settings.js';
import { type ForeignInstanceError, InstanceIdentity } from './instance-identity.js';

type BackendSettings = Settings['backend'];

/** A connection could not be opened. `refusedByLimit`: the instance has no connection left. */
export class ConnectFailedError extends MeadowstackError {
  readonly code = 'MS-CONNECT-FAILED';

  constructor(
    message: string,
    readonly refusedByLimit: boolean,
    cause?: MeadowstackError,
  ) {
    super(message, { cause });
  }
}

/** Opens connections to instances. */
export class BackendConnector {
  readonly #settings: BackendSettings;
  #machines: ReadonlyMap<InstanceName, DatabaseMachine> = new Map();
  readonly counters = createBackendCounters();
  readonly #identity: InstanceIdentity;
  /** Messages about instances of other systems that were logged. */
  readonly #logged = new Set<string>();
  #attemptCount = 0;

  constructor(settings: BackendSettings, logger?: Pick<Logger, 'warn'>) {
    this.#settings = settings;
    this.#identity = new InstanceIdentity({
      instancesOf: (group) => this.#instancesOf(group),
      timeoutMs: settings.connectTimeoutMs,
      onForeign: (error) => this.#handleForeign(error, logger),
    });
  }

  /** Sets the addresses of the instances. */
  setMachines(machines: readonly DatabaseMachine[]): void {
    this.#machines = new Map(machines.map((machine) => [machine.name, machine]));
  }

  /** Connection attempts since start. */
  get attemptCount(): number {
    return this.#attemptCount;
  }

  /** Opens a connection for the pool. */
  connect(
    instance: InstanceName,
    role: DatabaseRole,
    database: string,
  ): ResultAsync<BackendConnection, ConnectFailedError> {
    return this.#open(instance, role, database);
  }

  /** Opens a connection for probes, with the probe role and database of the settings. */
  connectForProbe(instance: InstanceName): ResultAsync<BackendConnection, ConnectFailedError> {
    const { probeRole, probeDatabase } = this.#settings;
    return this.#open(instance, probeRole, probeDatabase);
  }

  #open(
    instance: InstanceName,
    role: DatabaseRole,
    database: string,
  ): ResultAsync<BackendConnection, ConnectFailedError> {
    const machine = this.#machines.get(instance);
    if (machine === undefined) {
      return errAsync(new ConnectFailedError(`instance ${instance} is not listed`, false));
    }
    this.#attemptCount += 1;
    return connectBackend({
      host: machine.host,
      port: machine.port,
      user: role,
      password: this.#passwordOf(role),
      database,
      connectTimeoutMs: this.#settings.connectTimeoutMs,
      counters: this.counters,
      startupParameters: { application_name: 'meadowstack' },
      tls: tlsOptionsOf(this.#settings),
    })
      .mapErr(
        (error) =>
          new ConnectFailedError(error.message, error.failure === 'refused-by-limit', error),
      )
      .andThen((connection) =>
        this.#identity
          .verify(connection, machine)
          .mapErr((error) => new ConnectFailedError(error.message, false, error)),
      );
  }

  #instancesOf(group: GroupName): readonly InstanceName[] {
    const machines = [...this.#machines.values()];
    return machines.filter((machine) => machine.group === group).map(({ name }) => name);
  }

  /** Logs each instance and system once, however often it is tried. */
  #handleForeign(error: ForeignInstanceError, logger: Pick<Logger, 'warn'> | undefined): void {
    this.counters.foreignInstances += 1;
    if (this.#logged.has(error.message)) return;
    this.#logged.add(error.message);
    logger?.warn('instance of another database system refused', {
      code: error.code,
      reason: error.message,
    });
  }

  #passwordOf(role: DatabaseRole): string | undefined {
    const configuredRole = this.#settings.roles.find((entry) => entry.role === role);
    return configuredRole?.password ?? this.#settings.defaultPassword;
  }
}

function tlsOptionsOf(settings: BackendSettings): BackendTlsOptions | undefined {
  if (settings.tls === 'disable') return undefined;
  return { verify: settings.tls === 'verify' };
}
