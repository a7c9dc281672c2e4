/**
 * A connection to an instance that its owner lends: messages go over the lease's stream, and are
 * answered in their order. Once anything was sent, a stream that ends may have run it.
 */
import { err, ok } from 'neverthrow';
import type { Milliseconds } from '../../core/units.js';
import type { PeerStream } from '../../peer/contract.js';
import { InstanceConnectionLostError } from '../errors.js';
import type { AnswerResult, InstanceConnection } from '../instance-connection.js';
import type { LeaseEvent, ValueList } from './contract.js';

type Settle = (answer: AnswerResult) => void;

export interface LeasedConnectionOptions {
  readonly stream: PeerStream;
  readonly values: ValueList;
  readonly preparedNames: readonly string[];
  /** Closed by this side while answers were owed. */
  onGivenUp(): void;
  /** Whether nothing was heard of the owner since then. */
  isOwnerSilentSince(time: Milliseconds): boolean;
  /** The lease was lost with its link or owner. */
  onOwnerLost(): void;
  readonly now: () => Milliseconds;
}

/** Made by {@link OwnerLessor} when a lease was granted. */
export class LeasedConnection implements InstanceConnection {
  readonly mayRunAfterClose = true;
  readonly values: Map<string, string>;
  readonly preparedNames: Set<string>;
  /** Messages that are held back while corked, and who waits for their answers. */
  #held: { message: string; settle: Settle }[] = [];
  #corked = false;
  /** Who waits, for each `run` that was sent. */
  readonly #runs: Settle[][] = [];
  #sentAt: Milliseconds = 0;
  #closed = false;
  onClose: (() => void) | undefined;

  constructor(private readonly options: LeasedConnectionOptions) {
    this.values = new Map(options.values);
    this.preparedNames = new Set(options.preparedNames);
    options.stream.onClose = () => this.#end('owner');
  }

  get closed(): boolean {
    return this.#closed;
  }

  get isOwnerSilent(): boolean {
    return this.options.isOwnerSilentSince(this.#sentAt);
  }

  exchange(message: string): Promise<AnswerResult> {
    return new Promise((settle) => {
      if (this.#closed) {
        settle(err(new InstanceConnectionLostError('closed before the statement was sent')));
        return;
      }
      this.#held.push({ message, settle });
      if (!this.#corked) this.#send();
    });
  }

  cork(): void {
    this.#corked = true;
  }

  uncork(): void {
    this.#corked = false;
    this.#send();
  }

  /** Ends the lease and with it the owner's connection, which rolls back what is open on it. */
  close(): void {
    if (this.#closed) return;
    const isOwed = this.#runs.length > 0;
    this.#end('instance');
    this.options.stream.abort('connection given up');
    if (isOwed) this.options.onGivenUp();
  }

  /** Gives the connection back at rest. */
  returnToOwner(): void {
    if (this.#closed) return;
    const { stream } = this.options;
    if (this.#runs.length > 0 || this.#held.length > 0) {
      this.close();
      return;
    }
    this.#closed = true;
    stream.onClose = undefined;
    const preparedNames = [...this.preparedNames];
    stream.send({ type: 'return', values: [...this.values], preparedNames });
    stream.end();
  }

  /** Takes what the owner says after it has granted the lease. */
  receive(event: LeaseEvent | undefined): void {
    if (this.#closed) return;
    const run = event?.type === 'answers' ? this.#runs.shift() : undefined;
    if (event?.type !== 'answers' || run?.length !== event.answers.length) {
      this.#end('instance');
      this.options.stream.abort('no answer to what was asked');
      return;
    }
    // All in one go: an answer that ends the connection must not end what was answered with it.
    for (const [index, answer] of event.answers.entries()) run[index]?.(ok(answer));
  }

  #send(): void {
    const held = this.#held;
    if (held.length === 0 || this.#closed) return;
    this.#held = [];
    this.#runs.push(held.map(({ settle }) => settle));
    this.#sentAt = this.options.now();
    this.options.stream.send({ type: 'run', messages: held.map(({ message }) => message) });
  }

  #end(fault: 'instance' | 'owner'): void {
    if (this.#closed) return;
    this.#closed = true;
    this.options.stream.onClose = undefined;
    const lost = new InstanceConnectionLostError('the leased connection ended', fault);
    const waiting = [...this.#runs.splice(0).flat(), ...this.#held.splice(0).map((h) => h.settle)];
    for (const settle of waiting) settle(err(lost));
    if (fault === 'owner') this.options.onOwnerLost();
    this.onClose?.();
  }
}
