/**
 * One read that this node runs for another one, outside any transaction. Its connection goes back to the
 * pool once the instance has answered; if it does not in time, the connection ends.
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

/** An answer that takes so many times what it may take is waited for no longer. */
const PATIENCE_FACTOR = 2;

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
  #isGivenUp = false;

  constructor(private readonly options: OwnedReadOptions) {
    // A cancellation comes too late now: its caller waits for the end.
    options.stream.onMessage = undefined;
    options.stream.onClose = () => {
      this.#isGivenUp = true;
    };
    void this.#run();
  }

  async #run(): Promise<void> {
    const { instance, connection, now, onEnd } = this.options;
    if (instance.isUsable(now())) this.#tell(await this.#ask());
    else this.#tell({ type: 'refused', reason: 'unusable' });
    instance.pool.release(connection);
    onEnd();
  }

  async #ask(): Promise<LeaseEvent> {
    const { request, instance, connection, wire, now } = this.options;
    const { pool } = instance;
    const sentAt = now();
    connection.cork();
    synchronise(connection, new Map(request.values), request.prepared, wire);
    const exchange = connection.exchange(request.message);
    connection.uncork();
    const endWatch = pool.health.trackAnswer('read');
    const answer = await firstWithin([exchange], pool.health.lostAfterMs * PATIENCE_FACTOR);
    const isAnswered = answer?.isOk() === true;
    endWatch(isAnswered);
    if (!isAnswered || answer.value.state !== 'idle') connection.close();
    if (!isAnswered) return { type: 'lost' };
    pool.health.recordOutcome(answer.value.error?.code, now() - sentAt);
    this.#noteUnprepared(answer.value);
    return { type: 'answers', answers: [answer.value] };
  }

  /** The instance knows none of the names that were believed to stand on the connection. */
  #noteUnprepared({ error }: StatementAnswer): void {
    if (error?.code === 'unprepared') this.options.connection.preparedNames.clear();
  }

  #tell(event: LeaseEvent): void {
    if (this.#isGivenUp) return;
    const { stream } = this.options;
    stream.onClose = undefined;
    stream.send(encodeLeaseEvent(event));
    stream.end();
  }
}
