/**
 * Queries the state of one instance on a dedicated connection. A connection that hangs is closed
 * after a timeout, so that the next query uses a new one.
 */
import { errAsync, ResultAsync } from 'neverthrow';
import { MeadowstackError } from '../../core/errors.js';
import type { InstanceState } from '../../core/group/contract.js';
import type { InstanceName } from '../../core/request.js';
import { POSITION_QUERY, parseInstanceState } from '../../postgres/backend/position-query.js';
import type { BackendConnection } from '../../postgres/contract.js';
import type { BackendConnector } from './backend-connector.js';

/** Wait for one response before the connection is closed. */
const PROBE_TIMEOUT_MS = 400;

/** An instance did not answer a probe. */
export class ProbeFailedError extends MeadowstackError {
  readonly code = 'MS-PROBE-FAILED';

  constructor(instance: InstanceName, cause: MeadowstackError | undefined) {
    super(`probe of ${instance} failed: ${cause?.message ?? 'no answer in time'}`, { cause });
  }
}

/** Probes one instance over a dedicated connection. */
export class InstanceProbe {
  #connection: BackendConnection | undefined;
  #connecting: ResultAsync<BackendConnection, MeadowstackError> | undefined;
  #isClosed = false;

  constructor(
    readonly instance: InstanceName,
    readonly connector: BackendConnector,
  ) {}

  /** Queries the instance's state; connects first if necessary. */
  queryState(): ResultAsync<InstanceState, ProbeFailedError> {
    if (this.#isClosed) return errAsync(new ProbeFailedError(this.instance, undefined));
    return this.#getConnection()
      .andThen((connection) => this.#query(connection))
      .mapErr((error) =>
        error instanceof ProbeFailedError ? error : new ProbeFailedError(this.instance, error),
      );
  }

  close(): void {
    this.#isClosed = true;
    this.#connection?.close();
    this.#connection = undefined;
  }

  #getConnection(): ResultAsync<BackendConnection, MeadowstackError> {
    if (this.#connection !== undefined)
      return ResultAsync.fromSafePromise(Promise.resolve(this.#connection));
    if (this.#connecting !== undefined) return this.#connecting;
    const connecting = this.connector.connectForProbe(this.instance).map((connection) => {
      this.#connecting = undefined;
      if (this.#isClosed) connection.close();
      this.#connection = connection;
      connection.onClose = () => {
        if (this.#connection === connection) this.#connection = undefined;
      };
      return connection;
    });
    this.#connecting = connecting.mapErr((error) => {
      this.#connecting = undefined;
      return error;
    });
    return this.#connecting;
  }

  #query(connection: BackendConnection): ResultAsync<InstanceState, MeadowstackError> {
    const timer = setTimeout(() => {
      if (this.#connection === connection) this.#connection = undefined;
      connection.close();
    }, PROBE_TIMEOUT_MS);
    return connection
      .query(POSITION_QUERY)
      .andThen((rows) => parseInstanceState(rows))
      .map((state) => {
        clearTimeout(timer);
        return state;
      })
      .mapErr((error) => {
        clearTimeout(timer);
        return error;
      });
  }
}
