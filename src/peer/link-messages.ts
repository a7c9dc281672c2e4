/**
 * Parsers of the messages that the link itself reads: hello, call and call error. They don't use a
 * schema library, because loading it takes a starting process longer than all its other modules.
 */
import { isObject } from '../core/fields.js';
import { MAX_FLEET_TAGS } from './fleet-tags.js';

/** Identity, version, nonce and proof of one side; the proof is empty in the dialler's hello. */
export interface Hello {
  readonly protocol: string;
  readonly version: number;
  readonly nodeId: string;
  readonly incarnation: number;
  readonly nonce: Uint8Array;
  readonly proof: Uint8Array;
  /** Tags of the fleet; empty if unknown, as in releases without them. */
  readonly fleet: readonly string[];
}

/** A call of a method. */
export interface CallMessage {
  readonly method: string;
  readonly body: unknown;
}

/** Error response to a call. */
export interface CallErrorMessage {
  readonly code: string;
  readonly reason: string;
}

export const NONCE_BYTES = 32;
const MAX_NODE_ID_LENGTH = 128;
const MAX_TAG_LENGTH = 64;
const MAX_METHOD_LENGTH = 64;
const PAIR_LENGTH = 2;

/** Parses a decoded payload as a hello; undefined if it is malformed. */
export function parseHello(value: unknown): Hello | undefined {
  if (!isObject(value)) return undefined;
  const { protocol, version, nodeId, incarnation, nonce, proof, fleet = [] } = value;
  if (typeof protocol !== 'string' || !isSafeInteger(version) || !isSafeInteger(incarnation))
    return undefined;
  if (incarnation < 0 || !isNodeId(nodeId)) return undefined;
  if (!(nonce instanceof Uint8Array) || nonce.length !== NONCE_BYTES) return undefined;
  if (!(proof instanceof Uint8Array)) return undefined;
  if (!areFleetTags(fleet)) return undefined;
  return { protocol, version, nodeId, incarnation, nonce, proof, fleet };
}

/** Parses a decoded payload as a call; undefined if it is malformed. */
export function parseCall(value: unknown): CallMessage | undefined {
  if (!Array.isArray(value) || value.length !== PAIR_LENGTH) return undefined;
  const [method, body] = value as readonly unknown[];
  if (typeof method !== 'string' || method.length > MAX_METHOD_LENGTH) return undefined;
  return { method, body };
}

/** Parses a decoded payload as a call error; undefined if it is malformed. */
export function parseCallError(value: unknown): CallErrorMessage | undefined {
  if (!Array.isArray(value) || value.length !== PAIR_LENGTH) return undefined;
  const [code, reason] = value as readonly unknown[];
  if (typeof code !== 'string' || typeof reason !== 'string') return undefined;
  return { code, reason };
}

function isNodeId(value: unknown): value is string {
  return typeof value === 'string' && value.length > 0 && value.length <= MAX_NODE_ID_LENGTH;
}

function areFleetTags(value: unknown): value is readonly string[] {
  return (
    Array.isArray(value) &&
    value.length <= MAX_FLEET_TAGS &&
    value.every((tag) => typeof tag === 'string' && tag.length <= MAX_TAG_LENGTH)
  );
}

function isSafeInteger(value: unknown): value is number {
  return Number.isSafeInteger(value);
}
