/** Parses the flags of the bench and scale commands. */
import { parseArgs } from 'node:util';
import type { MeadowstackError } from '../src/core/errors.js';

/** Class of the error that a command throws for invalid flags. */
type UsageErrorClass = new (message: string, options?: ErrorOptions) => MeadowstackError;

/**
 * Returns the values of the named flags, not validated. Flags in `booleanNames` take no value.
 * @throws UsageError for unknown flags or missing values
 */
export function readFlags(
  args: readonly string[],
  names: readonly string[],
  booleanNames: readonly string[],
  UsageError: UsageErrorClass,
): unknown {
  const typeOf = (name: string) => (booleanNames.includes(name) ? 'boolean' : 'string');
  const options = Object.fromEntries(names.map((name) => [name, { type: typeOf(name) }] as const));
  try {
    return parseArgs({ args: [...args], options }).values;
  } catch (cause) {
    throw new UsageError(cause instanceof Error ? cause.message : 'the flags can not be parsed', {
      cause,
    });
  }
}
