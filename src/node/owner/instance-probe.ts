/**
 * Asks one instance for its state on a connection kept for that purpose. A hung connection is closed
 * after a bound, so that the next question goes over a fresh one.
 */
import { errAsync, ResultAsync } from 'neverthrow';
import { MeadowstackError } from '../../core/errors.js';
import type { InstanceState } from '../../core/group/contract.js';
import type { InstanceName } from '../../core/request.js';
import { POSITION_QUERY, parseInstanceState } from '../../postgres/backend/position-query.js';
import type { BackendConnection } from '../../postgres/contract.js';
import type { BackendConnector } from './backend-connector.js';

/** Longest wait for one answer before the connection is given up, in ms. */
const PROBE_TIMEOUT_MS = 400;

/** An instance did not answer a probe. */
export class ProbeFailedError extends MeadowstackError {
  readonly code = 'MS-PROBE-FAILED';

  constructor(instance: InstanceName, cause: MeadowstackError | undefined) {
    super(`probe of ${instance} failed: ${cause?.message ?? 'no answer in time'}`, { cause });
  }
}

/** Probes one instance over a connection of its own. */
export class InstanceProbe {
  #connection: BackendConnection | undefined;
  #connecting: ResultAsync<BackendConnection, MeadowstackError> | undefined;
  #closed = false;

  constructor(
    readonly instance: InstanceName,
    readonly connector: BackendConnector,
  ) {}

  /** One question; connects first if need be. */
  ask(): ResultAsync<InstanceState, ProbeFailedError> {
    if (this.#closed) return errAsync(new ProbeFailedError(this.instance, undefined));
    return this.#ready()
      .andThen((connection) => this.#query(connection))
      .mapErr((error) =>
        error instanceof ProbeFailedError ? error : new ProbeFailedError(this.instance, error),
      );
  }

  close(): void {
    this.#closed = true;
    this.#connection?.close();
    this.#connection = undefined;
  }

  #ready(): ResultAsync<BackendConnection, MeadowstackError> {
    if (this.#connection !== undefined)
      return ResultAsync.fromSafePromise(Promise.resolve(this.#connection));
    if (this.#connecting !== undefined) return this.#connecting;
    const connecting = this.connector.connectForProbe(this.instance).map((connection) => {
      this.#connecting = undefined;
      if (this.#closed) connection.close();
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
