/** Tells from an error of a call to an instance what it says of the instance. */

import type { MeadowstackError } from '../../core/errors.js';
import type { ControlFailure } from '../../core/promotion/contract.js';

/** Tells what a failed call means; given by whoever speaks with the instances. */
export type ClassifyControlFailure = (error: MeadowstackError) => ControlFailure;

const REFUSALS: ReadonlySet<unknown> = new Set(['ECONNREFUSED', 'ECONNRESET', 'EPIPE']);

/** By the code of the system call that failed, where the error or one of its causes has it. */
export function classifyBySystemCall(error: MeadowstackError): ControlFailure {
  let cause: unknown = error;
  while (cause instanceof Error) {
    if ('code' in cause && REFUSALS.has(cause.code)) return 'refused';
    cause = cause.cause;
  }
  return 'silent';
}
