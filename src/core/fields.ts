/** Values that came over a link or out of the store, before their form is known. */

/** An object whose fields are not checked yet. */
export type UncheckedFields = Readonly<Record<string, unknown>>;

export function isObject(value: unknown): value is UncheckedFields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** The value as an object; undefined if it is none. */
export function asObject(value: unknown): UncheckedFields | undefined {
  return isObject(value) ? value : undefined;
}
