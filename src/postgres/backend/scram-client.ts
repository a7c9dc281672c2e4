/**
 * Client side of SCRAM-SHA-256 (RFC 5802, RFC 7677) as used by PostgreSQL: without channel binding, and
 * with an empty user name because the start-up message already contains it.
 */
import { createHash, createHmac, pbkdf2, randomBytes, timingSafeEqual } from 'node:crypto';
import { promisify } from 'node:util';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import { ScramError } from './errors.js';

export const SCRAM_MECHANISM = 'SCRAM-SHA-256';

const HASH = 'sha256';
const KEY_BYTES = 32;
const NONCE_BYTES = 18;
/** "no channel binding"; in base64 for the final message. */
const GS2_HEADER = 'n,,';
const CHANNEL_BINDING = Buffer.from(GS2_HEADER).toString('base64');
/** A server that requests more is refused, as it would only waste CPU time of this node. */
const MAXIMUM_ITERATIONS = 1_000_000;

const deriveKey = promisify(pbkdf2);

/** Contents of server-first-message. */
interface ServerFirstMessage {
  readonly nonce: string;
  readonly salt: Buffer;
  readonly iterations: number;
}

/** client-final-message, and the signature that the server must then prove. */
export interface ScramFinal {
  readonly message: string;
  readonly expectedServerSignature: Buffer;
}

export function createClientNonce(): string {
  return randomBytes(NONCE_BYTES).toString('base64');
}

/** Creates client-first-message. */
export function createClientFirstMessage(nonce: string): string {
  return `${GS2_HEADER}${clientFirstBare(nonce)}`;
}

function clientFirstBare(nonce: string): string {
  return `n=,r=${nonce}`;
}

/** Creates client-final-message in response to server-first-message. */
export function createClientFinal(
  password: string,
  clientNonce: string,
  serverFirst: string,
): ResultAsync<ScramFinal, ScramError> {
  return parseServerFirst(serverFirst, clientNonce).asyncAndThen((server) =>
    ResultAsync.fromPromise(
      deriveKey(password.normalize('NFKC'), server.salt, server.iterations, KEY_BYTES, HASH),
      (cause) => new ScramError('the password could not be salted', { cause }),
    ).map((saltedPassword) => computeProof(saltedPassword, clientNonce, serverFirst, server.nonce)),
  );
}

function computeProof(
  saltedPassword: Buffer,
  clientNonce: string,
  serverFirst: string,
  nonce: string,
): ScramFinal {
  const clientKey = hmac(saltedPassword, 'Client Key');
  const storedKey = createHash(HASH).update(clientKey).digest();
  const finalWithoutProof = `c=${CHANNEL_BINDING},r=${nonce}`;
  const authMessage = `${clientFirstBare(clientNonce)},${serverFirst},${finalWithoutProof}`;
  const clientSignature = hmac(storedKey, authMessage);
  const proof = Buffer.from(clientKey.map((byte, index) => byte ^ (clientSignature[index] ?? 0)));
  const serverKey = hmac(saltedPassword, 'Server Key');
  return {
    message: `${finalWithoutProof},p=${proof.toString('base64')}`,
    expectedServerSignature: hmac(serverKey, authMessage),
  };
}

function hmac(key: Buffer, text: string): Buffer {
  return createHmac(HASH, key).update(text).digest();
}

/** Checks server-final-message, which proves that the server knows the password's verifier. */
export function verifyServerFinal(
  serverFinal: string,
  expectedServerSignature: Buffer,
): Result<void, ScramError> {
  const attributes = parseAttributes(serverFinal);
  const failure = attributes.get('e');
  if (failure !== undefined) return err(new ScramError(`the server refused: ${failure}`));
  const signature = Buffer.from(attributes.get('v') ?? '', 'base64');
  const proven =
    signature.length === expectedServerSignature.length &&
    timingSafeEqual(signature, expectedServerSignature);
  return proven ? ok(undefined) : err(new ScramError("the server's signature is wrong"));
}

function parseServerFirst(
  message: string,
  clientNonce: string,
): Result<ServerFirstMessage, ScramError> {
  const attributes = parseAttributes(message);
  const nonce = attributes.get('r') ?? '';
  const salt = Buffer.from(attributes.get('s') ?? '', 'base64');
  const iterations = Number(attributes.get('i') ?? 'NaN');
  if (!nonce.startsWith(clientNonce) || nonce.length === clientNonce.length) {
    return err(new ScramError("the server's nonce doesn't extend the client's"));
  }
  if (salt.length === 0) return err(new ScramError('the server sent no salt'));
  if (!Number.isInteger(iterations) || iterations < 1 || iterations > MAXIMUM_ITERATIONS) {
    return err(new ScramError('the iteration count is not acceptable'));
  }
  return ok({ nonce, salt, iterations });
}

/** `r=…,s=…,i=…`: one letter, an equals sign, and a value that may itself hold equals signs. */
function parseAttributes(message: string): ReadonlyMap<string, string> {
  const pairs = message.split(',').map((part): [string, string] => [part[0] ?? '', part.slice(2)]);
  return new Map(pairs);
}
