/** Verifies new connections to instances: that the instance is one of its group, before any statement is sent. */
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { MeadowstackError } from '../../core/errors.js';
import { SystemIdentities } from '../../core/group/system-identity.js';
import type { GroupName, InstanceName } from '../../core/request.js';
import type { Milliseconds } from '../../core/units.js';
import type { DatabaseMachine } from '../../platform/contract.js';
import type { BackendConnection } from '../../postgres/contract.js';

const IDENTITY_QUERY = 'SELECT system_identifier FROM pg_control_system()';

/** The instance at a listed address belongs to another database system; no statement was sent to it. */
export class ForeignInstanceError extends MeadowstackError {
  readonly code = 'MS-BACKEND-FOREIGN';

  constructor(instance: InstanceName, shown: string, expected: string) {
    super(`instance ${instance} is of database system ${shown}, its group is ${expected}`);
  }
}

/** The instance's database system can't be compared: it shows none, or too few instances of its group do. */
export class UnknownInstanceIdentityError extends MeadowstackError {
  readonly code = 'MS-BACKEND-IDENTITY';
}

export interface InstanceIdentityOptions {
  /** Names of the listed instances of a group. */
  readonly instancesOf: (group: GroupName) => readonly InstanceName[];
  /** Maximum wait for an instance's answer, and then for a majority of its group to show their system. */
  readonly timeoutMs: Milliseconds;
  /** Called at each connection to an instance of another system. */
  readonly onForeign: (error: ForeignInstanceError) => void;
}

export class InstanceIdentity {
  readonly #identities = new SystemIdentities();
  /** Connections that wait for a majority, by group. */
  readonly #waiting = new Map<GroupName, Set<() => void>>();

  constructor(private readonly options: InstanceIdentityOptions) {}

  /** Resolves to the connection once its instance is known to be one of its group; closes it otherwise. */
  verify(
    connection: BackendConnection,
    { group, name }: DatabaseMachine,
  ): ResultAsync<BackendConnection, MeadowstackError> {
    // An instance that accepts connections and then hangs must not hold the attempt up.
    const timer = setTimeout(() => connection.close(), this.options.timeoutMs);
    return connection
      .query(IDENTITY_QUERY)
      .andThen((rows) => {
        clearTimeout(timer);
        return this.#compare(group, name, rows[0]?.[0] ?? undefined);
      })
      .map(() => connection)
      .mapErr((error) => {
        clearTimeout(timer);
        connection.close();
        if (error instanceof ForeignInstanceError) this.options.onForeign(error);
        return error;
      });
  }

  #compare(
    group: GroupName,
    instance: InstanceName,
    shown: string | undefined,
  ): ResultAsync<void, MeadowstackError> {
    if (shown === undefined) {
      return errAsync(new UnknownInstanceIdentityError(`instance ${instance} shows no system`));
    }
    if (this.#identities.of(group) === undefined) {
      this.#identities.record(group, instance, shown, this.options.instancesOf(group));
    }
    if (this.#identities.judge(group, shown) === 'unknown') {
      return ResultAsync.fromSafePromise(this.#majority(group)).andThen(() =>
        this.#judge(group, instance, shown),
      );
    }
    for (const resume of this.#waiting.get(group) ?? []) resume();
    return this.#judge(group, instance, shown);
  }

  #judge(
    group: GroupName,
    instance: InstanceName,
    shown: string,
  ): ResultAsync<void, MeadowstackError> {
    const expected = this.#identities.of(group);
    if (expected === shown) return okAsync(undefined);
    if (expected !== undefined) {
      return errAsync(new ForeignInstanceError(instance, shown, expected));
    }
    const message = `no majority of group ${group} has shown its database system`;
    return errAsync(new UnknownInstanceIdentityError(message));
  }

  /** Resolves once a majority has shown its system, or after the timeout. */
  #majority(group: GroupName): Promise<void> {
    return new Promise((resolve) => {
      const waiting = this.#waiting.get(group) ?? new Set();
      this.#waiting.set(group, waiting);
      const resume = (): void => {
        clearTimeout(timer);
        waiting.delete(resume);
        resolve();
      };
      const timer = setTimeout(resume, this.options.timeoutMs);
      waiting.add(resume);
    });
  }
}
