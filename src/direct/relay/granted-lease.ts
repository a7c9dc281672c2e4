/**
 * One connection that this node lends. It goes back to the pool only if the other side gave it back
 * and it is at rest by this node's own count; else it ends, and the instance rolls back what was open.
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

const NOT_HANDED_OVER: StatementAnswer = {
  payload: '',
  error: { code: 'busy', text: 'the instance is leaving' },
  state: 'idle',
  position: undefined,
};

export class GrantedLease {
  #pending = 0;
  #state: TransactionState = 'idle';
  #ended = false;

  constructor(private readonly options: GrantedLeaseOptions) {
    const { stream, connection } = options;
    stream.onMessage = (message) => this.#take(parseLeaseCommand(message));
    stream.onClose = () => this.#end(false);
    const { values, preparedNames } = connection;
    const granted = { values: [...values], preparedNames: [...preparedNames] };
    stream.send(encodeLeaseEvent({ type: 'granted', ...granted }));
  }

  #take(command: LeaseCommand | undefined): void {
    if (this.#ended) return;
    if (command?.type === 'run') this.#runSoon(command.messages);
    else if (command?.type === 'return') this.#takeBack(command);
    else this.#lose();
  }

  /**
   * A node that stood still finds messages together with the end of the lease that gave them up: they
   * must not run beside what the other side has done elsewhere since.
   */
  #runSoon(messages: readonly string[]): void {
    this.#pending += 1;
    setImmediate(() => {
      this.#pending -= 1;
      if (!this.#ended) void this.#run(messages);
    });
  }

  /** An open transaction may go on at an instance that is leaving; nothing new is handed over. */
  async #run(messages: readonly string[]): Promise<void> {
    const { stream, instance, connection, now } = this.options;
    if (this.#state === 'idle' && this.#pending === 0 && !instance.isUsable(now())) {
      const answers = messages.map(() => NOT_HANDED_OVER);
      stream.send(encodeLeaseEvent({ type: 'answers', answers }));
      return;
    }
    this.#pending += 1;
    connection.cork();
    const exchanges = messages.map((message) => connection.exchange(message));
    connection.uncork();
    const results = await Promise.all(exchanges);
    this.#pending -= 1;
    if (this.#ended) return;
    const answers: StatementAnswer[] = [];
    for (const result of results) if (result.isOk()) answers.push(result.value);
    if (answers.length < messages.length) {
      this.#lose();
      return;
    }
    this.#state = answers.at(-1)?.state ?? this.#state;
    const isBusy = answers.some(({ error }) => error?.code === 'busy');
    if (isBusy) instance.pool.health.recordBusy();
    else instance.pool.health.recordServed();
    stream.send(encodeLeaseEvent({ type: 'answers', answers }));
  }

  #takeBack({ values, preparedNames }: Extract<LeaseCommand, { type: 'return' }>): void {
    const { connection } = this.options;
    connection.values.clear();
    for (const [name, value] of values) connection.values.set(name, value);
    connection.preparedNames.clear();
    for (const name of preparedNames) connection.preparedNames.add(name);
    this.#end(this.#pending === 0 && this.#state === 'idle');
  }

  #lose(): void {
    const { stream } = this.options;
    stream.send(encodeLeaseEvent({ type: 'lost' }));
    stream.end();
    this.#end(false);
  }

  #end(isAtRest: boolean): void {
    if (this.#ended) return;
    this.#ended = true;
    const { stream, instance, connection } = this.options;
    stream.onMessage = undefined;
    if (!isAtRest) connection.close();
    instance.pool.release(connection);
    this.options.onEnd();
  }
}
