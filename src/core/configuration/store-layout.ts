/**
 * The store keys of the configuration, and the format of their values.
 *
 * - `meadowstack/configuration/current/…`: the configuration in force; relays watch this prefix
 *   - `current/head`: written by every publish, so that its mod revision orders all versions
 *   - `current/template/<name>`, `current/tenant/<name>`: declarations and tombstones
 * - `meadowstack/configuration/history/<key>/<version>`: the latest versions of each declaration
 * - `meadowstack/configuration/publish/<id>`: the record of each applied publish
 * - `meadowstack/relay/<zone>/<slot>`: the leases of the relays
 */
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { KeyValue } from '../../platform/contract.js';
import { type DeclarationKey, declarationSchema } from './declaration.js';
import { StoredValueError } from './errors.js';
import type { ConfigurationRevision } from './model.js';

/** Prefix of all keys of the configuration except the relay leases. */
export const CONFIGURATION_PREFIX = 'meadowstack/configuration/';
/** Prefix of the declarations in force. */
export const CURRENT_PREFIX = `${CONFIGURATION_PREFIX}current/`;
/** Key that every publish writes; its value names the latest publish. */
export const HEAD_KEY = `${CURRENT_PREFIX}head`;
/** Prefix of the publish records. */
export const PUBLISH_PREFIX = `${CONFIGURATION_PREFIX}publish/`;

const HISTORY_PREFIX = `${CONFIGURATION_PREFIX}history/`;
const RELAY_PREFIX = 'meadowstack/relay/';
const VERSION_DIGITS = 10;

const storedEntrySchema = z.object({
  /** Version of this declaration, counted from 1. */
  version: z.int().min(1),
  publishId: z.string().min(1),
  /** Null: a tombstone. */
  declaration: declarationSchema.nullable(),
});

const publishRecordSchema = z.object({
  publishId: z.string(),
  /** Milliseconds since the Unix epoch, by the operator's clock; for display only. */
  publishedAt: z.number(),
  /** The author named on the command line. */
  author: z.string(),
  comment: z.string(),
  changes: z.array(z.object({ key: z.string(), version: z.int(), removed: z.boolean() })),
});

/** The stored form of a declaration. */
export type StoredEntry = z.output<typeof storedEntrySchema>;

/** The stored record of one publish. */
export type PublishRecord = z.output<typeof publishRecordSchema>;

/** One declaration or tombstone with its revision, as nodes send it to each other. */
export interface ConfigurationEntry {
  readonly key: DeclarationKey;
  readonly revision: ConfigurationRevision;
  /** JSON text of a `StoredEntry`, unchanged from the store. */
  readonly value: string;
}

/** Store key of a declaration in force. */
export function currentKeyOf(key: DeclarationKey): string {
  return `${CURRENT_PREFIX}${key}`;
}

/** Store prefix of a declaration's history. */
export function historyPrefixOf(key: DeclarationKey): string {
  return `${HISTORY_PREFIX}${key}/`;
}

/** Store key of one version; the keys sort by version. */
export function historyKeyOf(key: DeclarationKey, version: number): string {
  return `${historyPrefixOf(key)}${String(version).padStart(VERSION_DIGITS, '0')}`;
}

/** Store key of the record of one publish. */
export function publishKeyOf(publishId: string): string {
  return `${PUBLISH_PREFIX}${publishId}`;
}

/** Store prefix of a zone's relay leases. */
export function relayPrefixOf(zone: string): string {
  return `${RELAY_PREFIX}${zone}/`;
}

/** Store key of one relay's lease. */
export function relayKeyOf(zone: string, slot: number): string {
  return `${relayPrefixOf(zone)}${slot}`;
}

/** The declaration key of a store key under the current prefix; undefined for all other keys. */
export function declarationKeyOf(storeKey: string): DeclarationKey | undefined {
  if (!storeKey.startsWith(CURRENT_PREFIX)) return undefined;
  const key = storeKey.slice(CURRENT_PREFIX.length);
  return isDeclarationKey(key) ? key : undefined;
}

/** True if the text is a valid declaration key. */
export function isDeclarationKey(text: string): text is DeclarationKey {
  return /^(template|tenant)\/[A-Za-z][A-Za-z0-9_-]*$/.test(text);
}

/** Converts the store entries that hold declarations, and leaves out all others. */
export function toConfigurationEntries(keyValues: readonly KeyValue[]): ConfigurationEntry[] {
  return keyValues.flatMap(({ key, modRevision, value }) => {
    const declarationKey = declarationKeyOf(key);
    return declarationKey === undefined
      ? []
      : [{ key: declarationKey, revision: modRevision, value }];
  });
}

/** Parses a stored declaration. */
export function decodeEntry(key: string, value: string): Result<StoredEntry, StoredValueError> {
  return decodeStored(key, value, storedEntrySchema);
}

/** Parses a publish record. */
export function decodePublishRecord(
  key: string,
  value: string,
): Result<PublishRecord, StoredValueError> {
  return decodeStored(key, value, publishRecordSchema);
}

function decodeStored<Output>(
  key: string,
  value: string,
  schema: z.ZodType<Output>,
): Result<Output, StoredValueError> {
  const parsed = schema.safeParse(parseJson(value));
  return parsed.success ? ok(parsed.data) : err(new StoredValueError(key));
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
