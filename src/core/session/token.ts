/**
 * Session tokens, by which a caller passes its session state from one proxy to another. Text form,
 * at most `MAX_TOKEN_BYTES`: `v1.<key id>.<payload>.<mac>`, where payload is base64url of CBOR
 * `[unlisted groups unknown, [[group, timeline, LSN] | [group], …]]` (`[group]`: its position is
 * unknown), and mac is base64url of HMAC-SHA256 over version, key id, tenant and payload.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';
import { Encoder } from 'cbor-x';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { GroupName, SessionRequirement, TenantName } from '../request.js';
import {
  ForgedSessionTokenError,
  MalformedSessionTokenError,
  OversizedSessionTokenError,
  type SessionTokenError,
  UnknownSessionTokenKeyError,
  UnknownSessionTokenVersionError,
} from './errors.js';
import type { SessionState } from './state.js';

/** Longest token that is issued or accepted. */
export const MAX_TOKEN_BYTES = 1024;
/** Minimum length of a key's secret. */
export const MIN_SECRET_BYTES = 16;

const VERSION = 'v1';
const SEPARATOR = '.';
const PART_COUNT = 4;
const MAC_TEXT_BYTES = 43;
/** CBOR headers of the payload: outer array, flag, inner array with up to 65,535 entries. */
const PAYLOAD_HEADER_BYTES = 5;
const BASE64_BYTES_PER_GROUP = 3;
const BASE64_CHARACTERS_PER_GROUP = 4;
const KEY_ID_PATTERN = /^[A-Za-z0-9_-]{1,16}$/;
const BASE64URL_PATTERN = /^[A-Za-z0-9_-]+$/;

/** A key that signs session tokens. */
export interface SessionKey {
  /** 1 to 16 characters of `A-Za-z0-9_-`. */
  readonly id: string;
  /** At least `MIN_SECRET_BYTES` long. */
  readonly secret: Buffer;
}

/** Configured keys: the first one signs, all of them verify. */
export type SessionKeys = readonly [SessionKey, ...SessionKey[]];

type TokenEntry = readonly [GroupName] | readonly [GroupName, number, bigint];

const entrySchema = z.union([
  z.tuple([z.string()]),
  z.tuple([
    z.string(),
    z.number().int().nonnegative(),
    z.union([z.number().int().nonnegative(), z.bigint().nonnegative()]),
  ]),
]);
const payloadSchema = z.tuple([z.boolean(), z.array(entrySchema)]);

const encoder = new Encoder({ useRecords: false, tagUint8Array: false });

/** True if the key has a valid id and a secret of sufficient length. */
export function isUsableKey(key: SessionKey): boolean {
  return KEY_ID_PATTERN.test(key.id) && key.secret.length >= MIN_SECRET_BYTES;
}

/**
 * Encodes and signs the token of a session. If not all groups fit, the least recently used ones are
 * omitted and the token states that unlisted groups are unknown.
 */
export function encodeSessionToken(
  session: SessionState,
  tenant: TenantName,
  keys: SessionKeys,
): string {
  const [key] = keys;
  const prefix = `${VERSION}${SEPARATOR}${key.id}${SEPARATOR}`;
  const budgetBytes = maxPayloadBytes(prefix);
  const entries = mostRecentEntriesWithin(session, budgetBytes);
  const complete = entries.length === session.groups.size;
  const unlistedUnknown = session.unlistedGroups === 'unknown' || !complete;
  const payload = encoder.encode([unlistedUnknown, entries]).toString('base64url');
  return `${prefix}${payload}${SEPARATOR}${macOf(key, tenant, payload)}`;
}

/** Verifies a token and decodes its session; fails unless the token was issued to this tenant. */
export function decodeSessionToken(
  text: string,
  tenant: TenantName,
  keys: SessionKeys,
): Result<SessionState, SessionTokenError> {
  const lengthBytes = Buffer.byteLength(text);
  if (lengthBytes > MAX_TOKEN_BYTES) return err(new OversizedSessionTokenError(lengthBytes));
  const parts = text.split(SEPARATOR);
  const [version, keyId, payload, mac] = parts;
  if (version !== VERSION) return err(versionError(version));
  if (parts.length !== PART_COUNT || keyId === undefined || payload === undefined) {
    return err(new MalformedSessionTokenError('it does not have four parts'));
  }
  if (mac?.length !== MAC_TEXT_BYTES) {
    return err(new MalformedSessionTokenError('its MAC is truncated or too long'));
  }
  if (!BASE64URL_PATTERN.test(payload) || !BASE64URL_PATTERN.test(mac)) {
    return err(new MalformedSessionTokenError('it contains characters outside of base64url'));
  }
  const key = keys.find((candidate) => candidate.id === keyId);
  if (key === undefined) return err(new UnknownSessionTokenKeyError());
  if (!equalInConstantTime(mac, macOf(key, tenant, payload))) {
    return err(new ForgedSessionTokenError());
  }
  return decodePayload(payload);
}

function versionError(version: string | undefined): SessionTokenError {
  if (version !== undefined && /^v\d+$/.test(version)) return new UnknownSessionTokenVersionError();
  return new MalformedSessionTokenError('it does not start with a version');
}

function maxPayloadBytes(prefix: string): number {
  const textBytes = MAX_TOKEN_BYTES - prefix.length - SEPARATOR.length - MAC_TEXT_BYTES;
  return Math.floor(textBytes / BASE64_CHARACTERS_PER_GROUP) * BASE64_BYTES_PER_GROUP;
}

function mostRecentEntriesWithin(session: SessionState, budgetBytes: number): TokenEntry[] {
  const kept: TokenEntry[] = [];
  let usedBytes = PAYLOAD_HEADER_BYTES;
  for (const [group, requirement] of [...session.groups].reverse()) {
    const entry = entryOf(group, requirement);
    usedBytes += encoder.encode(entry).length;
    if (usedBytes > budgetBytes) break;
    kept.push(entry);
  }
  return kept.reverse();
}

function entryOf(group: GroupName, requirement: SessionRequirement): TokenEntry {
  if (requirement.type === 'unknown') return [group];
  return [group, requirement.position.timeline, requirement.position.lsn];
}

/** The tenant is prefixed with its length, so that no two inputs yield the same bytes. */
function macOf(key: SessionKey, tenant: TenantName, payload: string): string {
  const mac = createHmac('sha256', key.secret);
  mac.update(`${VERSION}${SEPARATOR}${key.id}${SEPARATOR}`);
  mac.update(`${Buffer.byteLength(tenant)}:${tenant}${SEPARATOR}${payload}`);
  return mac.digest('base64url');
}

/** Compares the encoded texts, not the decoded bytes, to accept only canonical base64url. */
function equalInConstantTime(left: string, right: string): boolean {
  return timingSafeEqual(Buffer.from(left), Buffer.from(right));
}

function decodePayload(payload: string): Result<SessionState, SessionTokenError> {
  const parsed = payloadSchema.safeParse(decodeCbor(payload));
  if (!parsed.success)
    return err(new MalformedSessionTokenError('its payload has an invalid structure'));
  const [unlistedUnknown, entries] = parsed.data;
  const groups = new Map<GroupName, SessionRequirement>();
  for (const [group, timeline, lsn] of entries) {
    groups.set(group, requirementOf(timeline, lsn));
  }
  return ok({ groups, unlistedGroups: unlistedUnknown ? 'unknown' : 'untouched' });
}

function requirementOf(
  timeline: number | undefined,
  lsn: number | bigint | undefined,
): SessionRequirement {
  if (timeline === undefined || lsn === undefined) return { type: 'unknown' };
  return { type: 'known', position: { timeline, lsn: BigInt(lsn) } };
}

function decodeCbor(payload: string): unknown {
  try {
    return encoder.decode(Buffer.from(payload, 'base64url'));
  } catch {
    return undefined;
  }
}
