/**
 * One read that this node runs for another node, outside any transaction. The connection is released to the
 * pool once the instance has responded; without a response in time it is closed.
 */
import type { StatementAnswer } from '../../core/statements/statement.js';
import type { Milliseconds } from '../../core/units.js';
import type { PeerStream } from '../../peer/contract.js';
import type { InstanceConnection } from '../instance-connection.js';
import { synchronise } from '../synchronise.js';
import type { StatementWire } from '../wire.js';
import { firstWithin } from '../within.js';
import type { LeaseEvent, LendableInstance, ReadRequest } from './contract.js';
import { encodeLeaseEvent } from './messages.js';

/** A response is awaited for at most this multiple of the instance's response timeout (`patienceMs`). */
const TIMEOUT_FACTOR = 2;

export interface OwnedReadOptions {
  readonly stream: PeerStream;
  readonly request: ReadRequest;
  readonly instance: LendableInstance;
  readonly connection: InstanceConnection;
  readonly wire: StatementWire;
  readonly now: () => Milliseconds;
  /** Called once, when the connection is free again or has ended. */
  onEnd(): void;
}

/** Runs from its construction on. */
export class OwnedRead {
  #isAbandoned = false;

  constructor(private readonly options: OwnedReadOptions) {
    // Too late for a cancellation: the borrower waits for the response.
    options.stream.onMessage = undefined;
    options.stream.onClose = () => {
      this.#isAbandoned = true;
    };
    void this.#run();
  }

  async #run(): Promise<void> {
    const { instance, connection, now, onEnd } = this.options;
    if (instance.isUsable(now())) this.#respond(await this.#execute());
    else this.#respond({ type: 'refused', reason: 'unusable' });
    instance.pool.release(connection);
    onEnd();
  }

  async #execute(): Promise<LeaseEvent> {
    const { request, instance, connection, wire, now } = this.options;
    const { pool } = instance;
    const sentAt = now();
    connection.cork();
    synchronise(connection, new Map(request.values), request.prepared, wire);
    const exchange = connection.exchange(request.message);
    connection.uncork();
    const endWatch = pool.health.trackAnswer('read');
    const answer = await firstWithin([exchange], pool.health.lostAfterMs * TIMEOUT_FACTOR);
    const isAnswered = answer?.isOk() === true;
    endWatch(isAnswered);
    if (!isAnswered || answer.value.state !== 'idle') connection.close();
    if (!isAnswered) return { type: 'lost' };
    pool.health.recordOutcome(answer.value.error?.code, now() - sentAt);
    this.#handleUnprepared(answer.value);
    return { type: 'answers', answers: [answer.value] };
  }

  /** If the instance does not know a prepared statement, none on this connection is assumed to exist any more. */
  #handleUnprepared({ error }: StatementAnswer): void {
    if (error?.code === 'unprepared') this.options.connection.preparedNames.clear();
  }

  #respond(event: LeaseEvent): void {
    if (this.#isAbandoned) return;
    const { stream } = this.options;
    stream.onClose = undefined;
    stream.send(encodeLeaseEvent(event));
    stream.end();
  }
}
