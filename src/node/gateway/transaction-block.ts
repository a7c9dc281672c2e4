/**
 * What a session knows of its caller's transaction block: whether one is open on a back end, what the
 * caller was told of it, and how it was lost. A caller can believe in a block that is gone.
 */
import type { RequestError } from '../../core/errors.js';
import type { StatementClassification, TransactionStatus } from '../../postgres/contract.js';

/** One session's transaction block. */
export class TransactionBlock {
  #isOpen = false;
  /** The caller was told that its block is open, and has not asked to end it. */
  #isAnnounced = false;
  /** The block was lost while the caller was idle; told at its next batch. */
  #loss: RequestError | undefined;
  /** The caller believes in a block that no back end has any more. */
  #isWithoutBackend = false;

  /** A transaction is open, or being opened, on a back end. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Status for a batch that was answered here and leaves the block on the back end as it is. */
  get status(): TransactionStatus {
    return this.#isOpen ? 'T' : 'I';
  }

  /** Status for a batch that was refused: a block that only the caller believes in goes on, too. */
  get statusAfterRefusal(): TransactionStatus {
    return this.#isWithoutBackend ? 'T' : this.status;
  }

  /** A request goes out; `begins` if it opens a transaction. */
  requestOpened(begins: boolean): void {
    this.#isOpen = begins;
    this.#isAnnounced = false;
  }

  /** A further batch of the open transaction goes out. */
  batchSent(statementClass: StatementClassification): void {
    if (endsBlock(statementClass)) this.#isAnnounced = false;
  }

  /** The caller is told of a batch that leaves the transaction open. */
  batchEnded(): void {
    this.#isAnnounced = true;
  }

  /** The request ended well, and with it a transaction that it held. */
  requestEnded(): void {
    this.#isOpen = false;
    this.#isWithoutBackend = false;
  }

  /** The request failed, and with it a transaction that it held; true if there was one. */
  requestFailed(): boolean {
    const wasOpen = this.#isOpen;
    this.#isOpen = false;
    return wasOpen;
  }

  /** The transaction was lost while its caller was idle. */
  lostWhileIdle(error: RequestError): void {
    this.#loss = error;
  }

  /** The loss that the caller was not told yet. */
  get loss(): RequestError | undefined {
    return this.#loss;
  }

  /** The caller's next batch is told of the loss; gives the status that goes with it. */
  lossTold(statementClass: StatementClassification): TransactionStatus {
    this.#loss = undefined;
    return this.#goesOnForCaller(!endsBlock(statementClass));
  }

  /**
   * The caller is told that its request failed; gives the status that goes with it. As in PostgreSQL,
   * a BEGIN that fails opens no block, and a COMMIT that fails ends it.
   */
  failureTold(error: RequestError, wasOpen: boolean): TransactionStatus {
    return this.#goesOnForCaller(wasOpen && this.#isAnnounced && error.outcome === 'failed');
  }

  #goesOnForCaller(goesOn: boolean): TransactionStatus {
    this.#isWithoutBackend = goesOn;
    return goesOn ? 'T' : 'I';
  }
}

function endsBlock({ transactionControl }: StatementClassification): boolean {
  return transactionControl === 'commit' || transactionControl === 'rollback';
}
