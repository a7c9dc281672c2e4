/**
 * Forms of the values that the link itself reads: hello, call and call error. Checked by hand and not by
 * a schema library, whose loading takes a starting process longer than all else that it loads.
 */
import { isObject } from '../core/fields.js';

/** Identity, version and nonce of one side; the proof is empty in the dialler's. */
export interface Hello {
  readonly protocol: string;
  readonly version: number;
  readonly nodeId: string;
  readonly incarnation: number;
  readonly nonce: Uint8Array;
  readonly proof: Uint8Array;
}

/** A question to the other side. */
export interface CallMessage {
  readonly method: string;
  readonly body: unknown;
}

/** Why a question was not answered. */
export interface CallErrorMessage {
  readonly code: string;
  readonly reason: string;
}

export const NONCE_BYTES = 32;
const MAX_NODE_ID_LENGTH = 128;
const MAX_METHOD_LENGTH = 64;
const PAIR_LENGTH = 2;

/** The hello in a decoded payload; undefined if it is none. */
export function helloForm(value: unknown): Hello | undefined {
  if (!isObject(value)) return undefined;
  const { protocol, version, nodeId, incarnation, nonce, proof } = value;
  if (typeof protocol !== 'string' || !isWhole(version) || !isWhole(incarnation)) return undefined;
  if (incarnation < 0 || !isNodeId(nodeId)) return undefined;
  if (!(nonce instanceof Uint8Array) || nonce.length !== NONCE_BYTES) return undefined;
  if (!(proof instanceof Uint8Array)) return undefined;
  return { protocol, version, nodeId, incarnation, nonce, proof };
}

/** The call in a decoded payload; undefined if it is none. */
export function callForm(value: unknown): CallMessage | undefined {
  if (!Array.isArray(value) || value.length !== PAIR_LENGTH) return undefined;
  const [method, body] = value as readonly unknown[];
  if (typeof method !== 'string' || method.length > MAX_METHOD_LENGTH) return undefined;
  return { method, body };
}

/** The call error in a decoded payload; undefined if it is none. */
export function callErrorForm(value: unknown): CallErrorMessage | undefined {
  if (!Array.isArray(value) || value.length !== PAIR_LENGTH) return undefined;
  const [code, reason] = value as readonly unknown[];
  if (typeof code !== 'string' || typeof reason !== 'string') return undefined;
  return { code, reason };
}

function isNodeId(value: unknown): value is string {
  return typeof value === 'string' && value.length > 0 && value.length <= MAX_NODE_ID_LENGTH;
}

function isWhole(value: unknown): value is number {
  return Number.isSafeInteger(value);
}
