/**
 * A connection to an instance, lent by the instance's owner: messages go over the lease's stream, and the
 * responses arrive in the same order. If the stream ends, the messages sent before may have run.
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
  /** This node closed the connection while responses were pending. */
  onAbandoned(): void;
  /** Whether nothing has been received from the owner since `time`. */
  isOwnerSilentSince(time: Milliseconds): boolean;
  /** The lease was lost with the peer link or the owner. */
  onOwnerLost(): void;
  readonly now: () => Milliseconds;
}

/** Created by {@link OwnerLender} when a lease has been granted. */
export class LeasedConnection implements InstanceConnection {
  readonly mayRunAfterClose = true;
  readonly values: Map<string, string>;
  readonly preparedNames: Set<string>;
  /** Messages held back while corked, with the callbacks for their responses. */
  #unsent: { message: string; settle: Settle }[] = [];
  #corked = false;
  /** For each `run` that was sent, the callbacks for its responses. */
  readonly #pendingRuns: Settle[][] = [];
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
      this.#unsent.push({ message, settle });
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

  /** Ends the lease and with it the owner's connection, so that the instance rolls back an open transaction. */
  close(): void {
    if (this.#closed) return;
    const hasPendingRuns = this.#pendingRuns.length > 0;
    this.#end('instance');
    this.options.stream.abort('connection given up');
    if (hasPendingRuns) this.options.onAbandoned();
  }

  /** Returns the connection to the owner if it is idle; closes it otherwise. */
  returnToOwner(): void {
    if (this.#closed) return;
    const { stream } = this.options;
    if (this.#pendingRuns.length > 0 || this.#unsent.length > 0) {
      this.close();
      return;
    }
    this.#closed = true;
    stream.onClose = undefined;
    const preparedNames = [...this.preparedNames];
    stream.send({ type: 'return', values: [...this.values], preparedNames });
    stream.end();
  }

  /** Handles a message of the owner after it has granted the lease. */
  receive(event: LeaseEvent | undefined): void {
    if (this.#closed) return;
    const run = event?.type === 'answers' ? this.#pendingRuns.shift() : undefined;
    if (event?.type !== 'answers' || run?.length !== event.answers.length) {
      this.#end('instance');
      this.options.stream.abort('no answer to what was asked');
      return;
    }
    // All at once: a response that makes the caller close the connection must not discard those that came with it.
    for (const [index, answer] of event.answers.entries()) run[index]?.(ok(answer));
  }

  #send(): void {
    const unsent = this.#unsent;
    if (unsent.length === 0 || this.#closed) return;
    this.#unsent = [];
    this.#pendingRuns.push(unsent.map(({ settle }) => settle));
    this.#sentAt = this.options.now();
    this.options.stream.send({ type: 'run', messages: unsent.map(({ message }) => message) });
  }

  #end(fault: 'instance' | 'owner'): void {
    if (this.#closed) return;
    this.#closed = true;
    this.options.stream.onClose = undefined;
    const lost = new InstanceConnectionLostError('the leased connection ended', fault);
    const waiting = [
      ...this.#pendingRuns.splice(0).flat(),
      ...this.#unsent.splice(0).map((h) => h.settle),
    ];
    for (const settle of waiting) settle(err(lost));
    if (fault === 'owner') this.options.onOwnerLost();
    this.onClose?.();
  }
}
