/** Entries that another writer may leave among the registrations of instances, none of which names a usable one. */

export interface OddEntry {
  /** What is odd about it. */
  readonly what: string;
  readonly key: string;
  readonly text: string;
}

const NESTED_ARRAYS = 400_000;
const NESTED_FIELDS = 100_000;

function textOf(fields: object): string {
  const place = { service: 'orders', address: '127.0.0.1:80', zone: 'a', slots: 3 };
  const state = { state: 'ready', database_role: 'replica', sequence: 1 };
  return JSON.stringify({ ...place, ...state, ...fields });
}

export const ODD_ENTRIES: readonly OddEntry[] = [
  {
    what: 'a deeply nested value',
    key: 'servers/odd-1',
    text: '['.repeat(NESTED_ARRAYS) + ']'.repeat(NESTED_ARRAYS),
  },
  {
    what: 'a deeply nested field',
    key: 'servers/odd-2',
    text: `{"zone":${'{"a":'.repeat(NESTED_FIELDS)}1${'}'.repeat(NESTED_FIELDS)}}`,
  },
  {
    what: 'a number too large for a double',
    key: 'servers/odd-3',
    text: textOf({}).replace('"slots":3', '"slots":1e999'),
  },
  {
    what: 'a number too large for an integer',
    key: 'servers/odd-4',
    text: textOf({ slots: 2 ** 60 }),
  },
  { what: 'a start time too large', key: 'servers/odd-5', text: textOf({ born: 1e300 }) },
  {
    what: 'a port out of range',
    key: 'servers/odd-6',
    text: textOf({ address: '127.0.0.1:65536' }),
  },
  {
    what: 'a port that names none',
    key: 'servers/odd-7',
    text: textOf({ address: '127.0.0.1:0' }),
  },
  {
    what: 'a host with a control character',
    key: 'servers/odd-8',
    text: textOf({ address: '127.0.0.1\u0000:80' }),
  },
  {
    what: 'an id that ends the line of a message',
    key: 'servers/odd\r\nQUERY - STATUS',
    text: textOf({}),
  },
  { what: 'an id of two words', key: 'servers/odd one', text: textOf({}) },
];
