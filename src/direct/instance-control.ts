/**
 * Control calls to instances, each on a connection of this module's own that is kept while calls follow one
 * another. One that rests is closed: an instance takes few connections, and every node asks now and then.
 */
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import type { MeadowstackError } from '../core/errors.js';
import type { ControlFailure } from '../core/promotion/contract.js';
import type { StatementAnswer } from '../core/statements/statement.js';
import type { Milliseconds } from '../core/units.js';
import type { InstanceControl, InstanceEntry, InstanceStatus } from './contract.js';
import { InstanceControlError } from './errors.js';
import { openInstanceConnection, type SocketConnection } from './instance-connection.js';
import { classifyBySystemCall } from './promotion/control-failure.js';
import type { ControlCommand, StatementWire } from './wire.js';
import { firstWithin } from './within.js';

/**
 * A connection at rest for so long is closed. Longer than the pauses between the calls of one change (150 to
 * 400 ms). Kept for ever, such connections took 3 to 6 of the 16 that an instance takes, beside 9 nodes.
 */
const IDLE_TIMEOUT_MS: Milliseconds = 1000;
/** An instance that has just refused one more connection is tried again after this; no sooner serves. */
const FULL_RETRY_DELAY_MS: Milliseconds = 100;

/** A connection, and what closes it once it rests. */
interface KeptConnection {
  readonly connection: SocketConnection;
  idleTimer: NodeJS.Timeout | undefined;
}

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

/** What an instance's answer to a command tells of it. */
export function toStatus(
  id: string,
  command: ControlCommand['type'],
  { error }: Pick<StatementAnswer, 'error'>,
  status: InstanceStatus | undefined,
): InstanceStatus | InstanceControlError {
  if (error !== undefined) return new InstanceControlError(`${id}: ${command} refused`, error.code);
  return status ?? new InstanceControlError(`${id}: unknown status row`, undefined);
}

export class WireInstanceControl implements InstanceControl {
  readonly #kept = new Map<string, KeptConnection>();
  /** When an instance last refused one more connection, by its id. */
  readonly #refusedAt = new Map<string, Milliseconds>();

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
    for (const { connection } of [...this.#kept.values()]) connection.close();
  }

  /** Ends the connections to instances other than these. */
  retainOnly(instanceIds: ReadonlySet<string>): void {
    for (const [id, { connection }] of [...this.#kept]) {
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
    const isKept = this.#kept.has(instance.id);
    const connection = await this.#getConnection(instance, timeoutMs);
    if (connection instanceof InstanceControlError) return connection;
    const exchange = connection.exchangeRows(this.wire.encodeControl(command));
    const settled = await firstWithin([exchange], deadline - this.now());
    this.#startIdleTimer(instance.id);
    if (settled === undefined || settled.answer.isErr()) {
      connection.close();
      const remainingMs = deadline - this.now();
      // A kept connection may have ended long ago: a new one tells whether the instance is there.
      if (settled !== undefined && isKept && remainingMs > 0) {
        return this.#exchange(instance, command, remainingMs);
      }
      return new InstanceControlError(`${instance.id}: no answer to ${command.type}`, undefined);
    }
    const { answer, rows } = settled;
    return toStatus(instance.id, command.type, answer.value, this.parseStatusRow(rows[0] ?? ''));
  }

  async #getConnection(
    instance: InstanceEntry,
    connectTimeoutMs: Milliseconds,
  ): Promise<SocketConnection | InstanceControlError> {
    const known = this.#kept.get(instance.id);
    if (known !== undefined) {
      clearTimeout(known.idleTimer);
      return known.connection;
    }
    if (
      this.now() - (this.#refusedAt.get(instance.id) ?? Number.NEGATIVE_INFINITY) <
      FULL_RETRY_DELAY_MS
    ) {
      return new InstanceControlError(`${instance.id}: was full`, 'connection-limit');
    }
    const opened = await openInstanceConnection({ wire: this.wire, instance, connectTimeoutMs });
    if (opened.isErr()) {
      const { message, answer, cause } = opened.error;
      if (answer === 'connection-limit') this.#refusedAt.set(instance.id, this.now());
      return new InstanceControlError(message, answer, { cause });
    }
    this.#keep(instance.id, opened.value);
    return opened.value;
  }

  /** Keeps a new connection; one that was opened meanwhile for another call gives way to it. */
  #keep(instanceId: string, connection: SocketConnection): void {
    this.#kept.get(instanceId)?.connection.close();
    const kept: KeptConnection = { connection, idleTimer: undefined };
    this.#kept.set(instanceId, kept);
    this.#refusedAt.delete(instanceId);
    connection.onClose = () => {
      clearTimeout(kept.idleTimer);
      if (this.#kept.get(instanceId) === kept) this.#kept.delete(instanceId);
    };
  }

  /** A call has ended: its connection is closed unless another follows. */
  #startIdleTimer(instanceId: string): void {
    const kept = this.#kept.get(instanceId);
    if (kept === undefined) return;
    clearTimeout(kept.idleTimer);
    kept.idleTimer = setTimeout(() => {
      if (kept.connection.pendingCount === 0) kept.connection.close();
    }, IDLE_TIMEOUT_MS);
    kept.idleTimer.unref();
  }
}
