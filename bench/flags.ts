/** Reads the flags of this folder's and the scale run's commands. */
import { parseArgs } from 'node:util';
import type { MeadowstackError } from '../src/core/errors.js';

/** The error that a command throws if its flags do not fit. */
type UsageErrorClass = new (message: string, options?: ErrorOptions) => MeadowstackError;

/**
 * The values of the named flags, unchecked; those in `switches` take no value.
 * @throws UsageError if the arguments are no such flags
 */
export function readFlags(
  args: readonly string[],
  names: readonly string[],
  switches: readonly string[],
  UsageError: UsageErrorClass,
): unknown {
  const typeOf = (name: string) => (switches.includes(name) ? 'boolean' : 'string');
  const options = Object.fromEntries(names.map((name) => [name, { type: typeOf(name) }] as const));
  try {
    return parseArgs({ args: [...args], options }).values;
  } catch (cause) {
    throw new UsageError(cause instanceof Error ? cause.message : 'unreadable', { cause });
  }
}
