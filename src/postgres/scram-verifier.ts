/**
 * Creates and checks SCRAM-SHA-256 verifiers (RFC 5802, RFC 7677) in PostgreSQL's format, as stored in
 * `pg_authid`: `SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>`, in base64.
 */
import { createHash, createHmac, pbkdf2Sync, randomBytes, timingSafeEqual } from 'node:crypto';

const DEFAULT_ITERATIONS = 4096;
const SALT_BYTES = 16;
const KEY_BYTES = 32;
const VERIFIER_PATTERN = /^SCRAM-SHA-256\$(\d+):([A-Za-z0-9+/=]+)\$([A-Za-z0-9+/=]+):/;

/** Computes the verifier of a password, from which the password can't be recovered. */
export function createScramVerifier(
  password: string,
  salt: Buffer = randomBytes(SALT_BYTES),
  iterations: number = DEFAULT_ITERATIONS,
): string {
  const salted = deriveSaltedPassword(password, salt, iterations);
  const storedKey = computeStoredKey(salted);
  const serverKey = hmac(salted, 'Server Key');
  const keys = `${storedKey.toString('base64')}:${serverKey.toString('base64')}`;
  return `SCRAM-SHA-256$${iterations}:${salt.toString('base64')}$${keys}`;
}

/** True if the verifier belongs to this password; false also if it is malformed. */
export function matchesScramVerifier(password: string, verifier: string): boolean {
  const [, iterations, salt, storedKey] = VERIFIER_PATTERN.exec(verifier) ?? [];
  if (iterations === undefined || salt === undefined || storedKey === undefined) return false;
  const expected = Buffer.from(storedKey, 'base64');
  const salted = deriveSaltedPassword(password, Buffer.from(salt, 'base64'), Number(iterations));
  const actual = computeStoredKey(salted);
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}

function deriveSaltedPassword(password: string, salt: Buffer, iterations: number): Buffer {
  // NFKC is the part of SASLprep that matters for typical passwords.
  return pbkdf2Sync(password.normalize('NFKC'), salt, iterations, KEY_BYTES, 'sha256');
}

function computeStoredKey(salted: Buffer): Buffer {
  return createHash('sha256').update(hmac(salted, 'Client Key')).digest();
}

function hmac(key: Buffer, text: string): Buffer {
  return createHmac('sha256', key).update(text).digest();
}
