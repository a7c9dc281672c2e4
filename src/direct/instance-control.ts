/**
 * Control calls to instances, on one separate connection for each instance that is reused by consecutive calls.
 * Idle connections are closed, since an instance accepts few connections and every node queries it from time to time.
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
 * Longer than the pauses between the calls of one primary change (150 to 400 ms). Without a timeout these connections
 * took 3 to 6 of the 16 that an instance accepts, in a fleet of 9 nodes.
 */
const IDLE_TIMEOUT_MS: Milliseconds = 1000;
/** Delay before another connection to an instance that refused one; an earlier attempt would not succeed. */
const FULL_RETRY_DELAY_MS: Milliseconds = 100;

/** A connection and the timer that closes it once it is idle. */
interface KeptConnection {
  readonly connection: SocketConnection;
  idleTimer: NodeJS.Timeout | undefined;
}

/** Parses the row with an instance's status; undefined if it is invalid. */
export type StatusRowParser = (row: string) => InstanceStatus | undefined;

/** What a failed control call shows about the instance. */
export function classifyControlFailure(error: MeadowstackError): ControlFailure {
  const answer = error instanceof InstanceControlError ? error.answer : undefined;
  if (answer === undefined) return classifyBySystemCall(error);
  if (answer === 'busy' || answer === 'connection-limit') return 'busy';
  // Another instance has its address, so the intended one is gone.
  return answer === 'misrouted' ? 'refused' : 'rejected';
}

/** The status in an instance's answer to a command, or the error. */
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
  /** Time at which each instance last refused a connection because of its limit, by instance id. */
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

  /** Closes the connections to all other instances. */
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
      // A kept connection may have ended long ago; a new one shows whether the instance is reachable.
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
      return new InstanceControlError(
        `${instance.id}: recently refused a connection because of its limit`,
        'connection-limit',
      );
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

  /** Keeps a new connection; closes one that another call has opened in the meantime. */
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

  /** Called at the end of a call: closes its connection unless another call follows in time. */
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
