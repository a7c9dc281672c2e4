/** Server side of SCRAM-SHA-256 (RFC 5802, RFC 7677) without channel binding. */
import { createHash, createHmac, pbkdf2Sync, randomBytes, timingSafeEqual } from 'node:crypto';
import { ServerError, ServerSqlState } from '../errors.js';

export const SCRAM_MECHANISM = 'SCRAM-SHA-256';
const ITERATIONS = 4_096;
const SALT_BYTES = 16;
const NONCE_BYTES = 18;
const KEY_BYTES = 32;

/** Data that a server stores for a password. */
export interface ScramVerifier {
  readonly salt: string;
  readonly storedKey: Buffer;
  readonly serverKey: Buffer;
}

function hmac(key: Buffer, data: string): Buffer {
  return createHmac('sha256', key).update(data).digest();
}

function sha256(data: Buffer): Buffer {
  return createHash('sha256').update(data).digest();
}

export function createVerifier(password: string): ScramVerifier {
  const salt = randomBytes(SALT_BYTES);
  const salted = pbkdf2Sync(password, salt, ITERATIONS, KEY_BYTES, 'sha256');
  return {
    salt: salt.toString('base64'),
    storedKey: sha256(hmac(salted, 'Client Key')),
    serverKey: hmac(salted, 'Server Key'),
  };
}

/** One authentication exchange: client-first, server-first, client-final, server-final. */
export class ScramExchange {
  private clientFirstBare = '';
  private serverFirst = '';
  private nonce = '';
  private header = '';

  constructor(private readonly verifier: ScramVerifier) {}

  /** Handles client-first; returns the server-first message. */
  first(clientFirst: string): string {
    const match = /^([nyp][^,]*,[^,]*,)(.*r=([^,]+).*)$/.exec(clientFirst);
    const [, header, bare, clientNonce] = match ?? [];
    if (header === undefined || bare === undefined || clientNonce === undefined) {
      throw new ServerError(ServerSqlState.PROTOCOL_VIOLATION, 'malformed SCRAM message');
    }
    this.header = header;
    this.clientFirstBare = bare;
    this.nonce = clientNonce + randomBytes(NONCE_BYTES).toString('base64');
    this.serverFirst = `r=${this.nonce},s=${this.verifier.salt},i=${ITERATIONS}`;
    return this.serverFirst;
  }

  /** Verifies the proof; returns the server-final message. @throws ServerError 28P01. */
  final(clientFinal: string): string {
    const match = /^(c=([^,]+),r=([^,]+)(?:,[^p][^,]*)*),p=(.+)$/.exec(clientFinal);
    const [, withoutProof, binding, nonce, proof] = match ?? [];
    if (withoutProof === undefined || binding === undefined || proof === undefined)
      throw authenticationError();
    const expectedBinding = Buffer.from(this.header).toString('base64');
    if (nonce !== this.nonce || binding !== expectedBinding) throw authenticationError();
    const authMessage = `${this.clientFirstBare},${this.serverFirst},${withoutProof}`;
    const signature = hmac(this.verifier.storedKey, authMessage);
    if (!this.isValidProof(Buffer.from(proof, 'base64'), signature)) throw authenticationError();
    return `v=${hmac(this.verifier.serverKey, authMessage).toString('base64')}`;
  }

  private isValidProof(proof: Buffer, signature: Buffer): boolean {
    if (proof.length !== signature.length) return false;
    const clientKey = Buffer.from(proof.map((byte, index) => byte ^ (signature[index] ?? 0)));
    return timingSafeEqual(sha256(clientKey), this.verifier.storedKey);
  }
}

function authenticationError(): ServerError {
  return new ServerError(ServerSqlState.INVALID_PASSWORD, 'password authentication failed');
}
