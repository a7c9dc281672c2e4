/** Checks of values received from a peer link or read from the store. */

/** An object whose fields have not been checked yet. */
export type UncheckedFields = Readonly<Record<string, unknown>>;

export function isObject(value: unknown): value is UncheckedFields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** The value if it is an object, otherwise undefined. */
export function asObject(value: unknown): UncheckedFields | undefined {
  return isObject(value) ? value : undefined;
}
