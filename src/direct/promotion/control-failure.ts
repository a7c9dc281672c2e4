/** Tells from an error of a call to an instance what it says of the instance. */

import type { MeadowstackError } from '../../core/errors.js';
import type { ControlFailure } from '../../core/promotion/contract.js';

/** Tells what a failed call means; given by whoever speaks with the instances. */
export type ClassifyControlFailure = (error: MeadowstackError) => ControlFailure;

/** System call that fails where nothing listens. */
const CONNECT_CALL = 'connect';
const REFUSALS: ReadonlySet<unknown> = new Set(['ECONNREFUSED', 'ECONNRESET']);

/**
 * By the system call that failed, where the error or one of its causes has it. A connection that was opened and is
 * reset, before or after the first answer, tells of a lost link or a full instance and not of one that is gone: a
 * member that counts as dead by it would be left out of the proof of a candidate.
 */
export function classifyBySystemCall(error: MeadowstackError): ControlFailure {
  let cause: unknown = error;
  while (cause instanceof Error) {
    if (isRefusal(cause)) return 'refused';
    cause = cause.cause;
  }
  return 'silent';
}

function isRefusal(error: NodeJS.ErrnoException): boolean {
  return error.syscall === CONNECT_CALL && REFUSALS.has(error.code);
}
