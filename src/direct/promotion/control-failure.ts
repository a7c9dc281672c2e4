/** Classifies failed control calls by what they reveal about the instance. */

import type { MeadowstackError } from '../../core/errors.js';
import type { ControlFailure } from '../../core/promotion/contract.js';

/** Classifies a failed call; provided by the component that implements the calls. */
export type ClassifyControlFailure = (error: MeadowstackError) => ControlFailure;

/** System call that fails where nothing listens. */
const CONNECT_SYSCALL = 'connect';
const REFUSALS: ReadonlySet<unknown> = new Set(['ECONNREFUSED', 'ECONNRESET']);

/**
 * Classifies by the failed system call, if the error or one of its causes names it. The reset of an established
 * connection, before or after the first response, indicates a lost link or an instance without free slots, not one that
 * is gone: counting that member as dead would leave it out of the proof of a candidate.
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
  return error.syscall === CONNECT_SYSCALL && REFUSALS.has(error.code);
}
