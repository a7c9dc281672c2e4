/**
 * One connection that this node lends to a borrower. It is released to the pool only if the borrower returned
 * it and it is idle according to this node too; otherwise it is closed, and the instance rolls back any open
 * transaction.
 */
import type { StatementAnswer, TransactionState } from '../../core/statements/statement.js';
import type { Milliseconds } from '../../core/units.js';
import type { PeerStream } from '../../peer/contract.js';
import type { InstanceConnection } from '../instance-connection.js';
import type { LeaseCommand, LendableInstance } from './contract.js';
import { encodeLeaseEvent, parseLeaseCommand } from './messages.js';

export interface GrantedLeaseOptions {
  readonly stream: PeerStream;
  readonly instance: LendableInstance;
  readonly connection: InstanceConnection;
  readonly now: () => Milliseconds;
  /** Called once. */
  onEnd(): void;
}

const INSTANCE_LEAVING_ANSWER: StatementAnswer = {
  payload: '',
  error: { code: 'busy', text: 'the instance is leaving' },
  state: 'idle',
  position: undefined,
};

export class GrantedLease {
  #pendingRuns = 0;
  #state: TransactionState = 'idle';
  #ended = false;

  constructor(private readonly options: GrantedLeaseOptions) {
    const { stream, connection } = options;
    stream.onMessage = (message) => this.#handleCommand(parseLeaseCommand(message));
    stream.onClose = () => this.#end(false);
    const { values, preparedNames } = connection;
    const granted = { values: [...values], preparedNames: [...preparedNames] };
    stream.send(encodeLeaseEvent({ type: 'granted', ...granted }));
  }

  #handleCommand(command: LeaseCommand | undefined): void {
    if (this.#ended) return;
    if (command?.type === 'run') this.#scheduleRun(command.messages);
    else if (command?.type === 'return') this.#handleReturn(command);
    else this.#reportLost();
  }

  /**
   * Deferred because a node that stalled may find messages together with the end of the lease by which the
   * borrower abandoned them: they must not run next to what the borrower has since done elsewhere.
   */
  #scheduleRun(messages: readonly string[]): void {
    this.#pendingRuns += 1;
    setImmediate(() => {
      this.#pendingRuns -= 1;
      if (!this.#ended) void this.#run(messages);
    });
  }

  /** An open transaction may continue at an instance that is shutting down; nothing new is sent to it. */
  async #run(messages: readonly string[]): Promise<void> {
    const { stream, instance, connection, now } = this.options;
    if (this.#state === 'idle' && this.#pendingRuns === 0 && !instance.isUsable(now())) {
      const answers = messages.map(() => INSTANCE_LEAVING_ANSWER);
      stream.send(encodeLeaseEvent({ type: 'answers', answers }));
      return;
    }
    this.#pendingRuns += 1;
    connection.cork();
    const exchanges = messages.map((message) => connection.exchange(message));
    connection.uncork();
    const results = await Promise.all(exchanges);
    this.#pendingRuns -= 1;
    if (this.#ended) return;
    const answers: StatementAnswer[] = [];
    for (const result of results) if (result.isOk()) answers.push(result.value);
    if (answers.length < messages.length) {
      this.#reportLost();
      return;
    }
    this.#state = answers.at(-1)?.state ?? this.#state;
    const isBusy = answers.some(({ error }) => error?.code === 'busy');
    if (isBusy) instance.pool.health.recordBusy();
    else instance.pool.health.recordServed();
    stream.send(encodeLeaseEvent({ type: 'answers', answers }));
  }

  #handleReturn({ values, preparedNames }: Extract<LeaseCommand, { type: 'return' }>): void {
    const { connection } = this.options;
    connection.values.clear();
    for (const [name, value] of values) connection.values.set(name, value);
    connection.preparedNames.clear();
    for (const name of preparedNames) connection.preparedNames.add(name);
    this.#end(this.#pendingRuns === 0 && this.#state === 'idle');
  }

  #reportLost(): void {
    const { stream } = this.options;
    stream.send(encodeLeaseEvent({ type: 'lost' }));
    stream.end();
    this.#end(false);
  }

  #end(isIdle: boolean): void {
    if (this.#ended) return;
    this.#ended = true;
    const { stream, instance, connection } = this.options;
    stream.onMessage = undefined;
    if (!isIdle) connection.close();
    instance.pool.release(connection);
    this.options.onEnd();
  }
}
