/** Control calls to instances, each on a connection of this module's own that is kept while it works. */
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import type { MeadowstackError } from '../core/errors.js';
import type { ControlFailure } from '../core/promotion/contract.js';
import type { Milliseconds } from '../core/units.js';
import type { InstanceControl, InstanceEntry, InstanceStatus } from './contract.js';
import { InstanceControlError } from './errors.js';
import { openInstanceConnection, type SocketConnection } from './instance-connection.js';
import { classifyBySystemCall } from './promotion/control-failure.js';
import type { ControlCommand, StatementWire } from './wire.js';
import { firstWithin } from './within.js';

/** Reads the row that an instance tells of itself; none if it is not in its form. */
export type StatusRowParser = (row: string) => InstanceStatus | undefined;

/** What a failed control call says of the instance. */
export function classifyControlFailure(error: MeadowstackError): ControlFailure {
  const answer = error instanceof InstanceControlError ? error.answer : undefined;
  if (answer === undefined) return classifyBySystemCall(error);
  if (answer === 'busy' || answer === 'connection-limit') return 'busy';
  // Another instance has its address: the one that was meant is gone.
  return answer === 'misrouted' ? 'refused' : 'rejected';
}

export class WireInstanceControl implements InstanceControl {
  readonly #connections = new Map<string, SocketConnection>();

  constructor(
    private readonly wire: StatementWire,
    private readonly parseStatusRow: StatusRowParser,
    private readonly now: () => Milliseconds,
  ) {}

  status(
    instance: InstanceEntry,
    timeoutMs: Milliseconds,
  ): ResultAsync<InstanceStatus, MeadowstackError> {
    return this.#call(instance, { type: 'status' }, timeoutMs);
  }

  pause(
    instance: InstanceEntry,
    term: number,
    timeoutMs: Milliseconds,
  ): ResultAsync<InstanceStatus, MeadowstackError> {
    return this.#call(instance, { type: 'pause', term }, timeoutMs);
  }

  resume(
    instance: InstanceEntry,
    timeoutMs: Milliseconds,
  ): ResultAsync<InstanceStatus, MeadowstackError> {
    return this.#call(instance, { type: 'resume' }, timeoutMs);
  }

  demote(
    instance: InstanceEntry,
    term: number,
    timeoutMs: Milliseconds,
  ): ResultAsync<InstanceStatus, MeadowstackError> {
    return this.#call(instance, { type: 'demote', term }, timeoutMs);
  }

  close(): void {
    for (const connection of this.#connections.values()) connection.close();
    this.#connections.clear();
  }

  /** Ends the connections to instances other than these. */
  keepOnly(instanceIds: ReadonlySet<string>): void {
    for (const [id, connection] of this.#connections) {
      if (!instanceIds.has(id)) connection.close();
    }
  }

  #call(
    instance: InstanceEntry,
    command: ControlCommand,
    timeoutMs: Milliseconds,
  ): ResultAsync<InstanceStatus, MeadowstackError> {
    const result = this.#exchange(instance, command, timeoutMs);
    return ResultAsync.fromSafePromise(result).andThen((outcome) =>
      outcome instanceof InstanceControlError ? errAsync(outcome) : okAsync(outcome),
    );
  }

  async #exchange(
    instance: InstanceEntry,
    command: ControlCommand,
    timeoutMs: Milliseconds,
  ): Promise<InstanceStatus | InstanceControlError> {
    const deadline = this.now() + timeoutMs;
    const isKept = this.#connections.get(instance.id)?.closed === false;
    const connection = await this.#connection(instance, timeoutMs);
    if (connection instanceof InstanceControlError) return connection;
    const exchange = connection.exchangeRows(this.wire.encodeControl(command));
    const settled = await firstWithin([exchange], deadline - this.now());
    if (settled === undefined || settled.answer.isErr()) {
      connection.close();
      const remainingMs = deadline - this.now();
      // A kept connection may have ended long ago: a new one tells whether the instance is there.
      if (settled !== undefined && isKept && remainingMs > 0) {
        return this.#exchange(instance, command, remainingMs);
      }
      return new InstanceControlError(`${instance.id}: no answer to ${command.type}`, undefined);
    }
    const { error } = settled.answer.value;
    if (error !== undefined) {
      return new InstanceControlError(`${instance.id}: ${command.type} refused`, error.code);
    }
    const status = this.parseStatusRow(settled.rows[0] ?? '');
    return status ?? new InstanceControlError(`${instance.id}: unknown status row`, undefined);
  }

  async #connection(
    instance: InstanceEntry,
    connectTimeoutMs: Milliseconds,
  ): Promise<SocketConnection | InstanceControlError> {
    const known = this.#connections.get(instance.id);
    if (known !== undefined && !known.closed) return known;
    const opened = await openInstanceConnection({ wire: this.wire, instance, connectTimeoutMs });
    if (opened.isErr()) {
      const { message, answer, cause } = opened.error;
      return new InstanceControlError(message, answer, { cause });
    }
    const connection = opened.value;
    this.#connections.get(instance.id)?.close();
    this.#connections.set(instance.id, connection);
    connection.onClose = () => {
      if (this.#connections.get(instance.id) === connection) this.#connections.delete(instance.id);
    };
    return connection;
  }
}
