/**
 * State of the transaction block of one session: whether one is open on a back end, whether it was
 * reported to the caller as open, and how it was lost. For the caller, a block may still be open
 * that is already lost on the back end.
 */
import type { RequestError } from '../../core/errors.js';
import type { StatementClassification, TransactionStatus } from '../../postgres/contract.js';

/** One session's transaction block. */
export class TransactionBlock {
  #isOpen = false;
  /** The block was reported to the caller as open, and the caller has not yet tried to end it. */
  #isReportedOpen = false;
  /** The block was lost while the caller was idle; reported at its next batch. */
  #unreportedLoss: RequestError | undefined;
  /** A block is open for the caller that no back end has any more. */
  #isOpenForCallerOnly = false;

  /** True if a transaction is open, or being opened, on a back end. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Status for a batch that the proxy answered itself; the block on the back end is unchanged. */
  get status(): TransactionStatus {
    return this.#isOpen ? 'T' : 'I';
  }

  /** Status for a batch that was refused; a block that is open for the caller only stays open. */
  get statusAfterRefusal(): TransactionStatus {
    return this.#isOpenForCallerOnly ? 'T' : this.status;
  }

  /** A request is sent to the owner. */
  recordRequestSent(opensTransaction: boolean): void {
    this.#isOpen = opensTransaction;
    this.#isReportedOpen = false;
  }

  /** Another batch of the open transaction is sent to the owner. */
  recordBatchSent(statementClass: StatementClassification): void {
    if (endsBlock(statementClass)) this.#isReportedOpen = false;
  }

  /** The end of a batch that leaves the transaction open is reported to the caller. */
  recordBatchReported(): void {
    this.#isReportedOpen = true;
  }

  /** The request succeeded, which also ends its transaction if it had one. */
  recordRequestDone(): void {
    this.#isOpen = false;
    this.#isOpenForCallerOnly = false;
  }

  /** The request failed, which also ends its transaction; true if it had one. */
  recordRequestFailed(): boolean {
    const wasOpen = this.#isOpen;
    this.#isOpen = false;
    return wasOpen;
  }

  /** The transaction was lost while the caller was idle. */
  recordIdleLoss(error: RequestError): void {
    this.#unreportedLoss = error;
  }

  /** The error of a loss that is not yet reported to the caller. */
  get unreportedLoss(): RequestError | undefined {
    return this.#unreportedLoss;
  }

  /** The loss is reported for the caller's next batch; returns the status to send with it. */
  recordReportedLoss(statementClass: StatementClassification): TransactionStatus {
    this.#unreportedLoss = undefined;
    return this.#setOpenForCallerOnly(!endsBlock(statementClass));
  }

  /**
   * The failure is reported to the caller; returns the status to send with it. As in PostgreSQL, a
   * BEGIN that fails opens no block, and a COMMIT that fails ends it.
   */
  recordReportedFailure(error: RequestError, wasOpen: boolean): TransactionStatus {
    return this.#setOpenForCallerOnly(
      wasOpen && this.#isReportedOpen && error.outcome === 'failed',
    );
  }

  #setOpenForCallerOnly(isOpen: boolean): TransactionStatus {
    this.#isOpenForCallerOnly = isOpen;
    return isOpen ? 'T' : 'I';
  }
}

function endsBlock({ transactionControl }: StatementClassification): boolean {
  return transactionControl === 'commit' || transactionControl === 'rollback';
}
