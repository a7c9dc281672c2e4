/**
 * Server side of SCRAM-SHA-256 against stored verifiers, without channel binding.
 * Source: RFC 5802 and RFC 7677; PostgreSQL manual, "SASL Authentication".
 */
import { createHash, createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import { ProtocolViolationError } from '../errors.js';
import { AuthenticationFailedError, InvalidVerifierError } from './errors.js';

export const SCRAM_SHA_256 = 'SCRAM-SHA-256';
const KEY_BYTES = 32;
const NONCE_BYTES = 18;
const MOCK_ITERATIONS = 4096;
const MOCK_SALT_BYTES = 16;
const MAXIMUM_NONCE_LENGTH = 256;

export interface ScramVerifier {
  readonly iterations: number;
  /** Base64, as stored. */
  readonly salt: string;
  readonly storedKey: Buffer;
  readonly serverKey: Buffer;
}

export function parseVerifier(text: string): Result<ScramVerifier, InvalidVerifierError> {
  const match = /^SCRAM-SHA-256\$(\d{1,9}):([^$:]+)\$([^:$]+):([^:$]+)$/.exec(text);
  if (match === null) return err(new InvalidVerifierError());
  const [, iterations = '', salt = '', storedKeyText = '', serverKeyText = ''] = match;
  const storedKey = Buffer.from(storedKeyText, 'base64');
  const serverKey = Buffer.from(serverKeyText, 'base64');
  if (storedKey.length !== KEY_BYTES || serverKey.length !== KEY_BYTES) {
    return err(new InvalidVerifierError());
  }
  return ok({ iterations: Number(iterations), salt, storedKey, serverKey });
}

/** Creates a verifier that no password matches; its salt is always the same for the same `user`. */
export function createMockVerifier(user: string, secret: Buffer): ScramVerifier {
  const salt = hmac(secret, user).subarray(0, MOCK_SALT_BYTES).toString('base64');
  const storedKey = randomBytes(KEY_BYTES);
  const serverKey = randomBytes(KEY_BYTES);
  return { iterations: MOCK_ITERATIONS, salt, storedKey, serverKey };
}

interface ClientFirst {
  /** GS2 header in base64, which client-final-message repeats. */
  readonly channelBinding: string;
  readonly bare: string;
  readonly nonce: string;
}

/** SCRAM exchange of one log-in: `respondToFirst`, then `respondToFinal`. */
export class ScramExchange {
  private clientFirst: ClientFirst | undefined;
  private serverFirst = '';
  private nonce = '';

  constructor(
    private readonly user: string,
    private readonly verifier: ScramVerifier,
    /** False for mock verifiers: the exchange then fails with any proof. */
    private readonly isVerifierReal: boolean,
    private readonly serverNonce: string = randomBytes(NONCE_BYTES).toString('base64'),
  ) {}

  /** Takes client-first-message, returns server-first-message. */
  respondToFirst(message: string): Result<string, ProtocolViolationError> {
    const parsed = parseClientFirst(message);
    if (parsed.isErr()) return err(parsed.error);
    this.clientFirst = parsed.value;
    this.nonce = parsed.value.nonce + this.serverNonce;
    this.serverFirst = `r=${this.nonce},s=${this.verifier.salt},i=${this.verifier.iterations}`;
    return ok(this.serverFirst);
  }

  /** Takes client-final-message, returns server-final-message. */
  respondToFinal(
    message: string,
  ): Result<string, ProtocolViolationError | AuthenticationFailedError> {
    const match = /^(c=([A-Za-z0-9+/=]+),r=([^,]+)(?:,[^p][^,]*)*),p=([A-Za-z0-9+/=]+)$/.exec(
      message,
    );
    if (match === null || this.clientFirst === undefined) {
      return err(new ProtocolViolationError('malformed SCRAM final message'));
    }
    const [, withoutProof = '', channelBinding, nonce, proofText = ''] = match;
    if (channelBinding !== this.clientFirst.channelBinding || nonce !== this.nonce) {
      return err(new ProtocolViolationError('SCRAM nonce or channel binding does not match'));
    }
    const authMessage = `${this.clientFirst.bare},${this.serverFirst},${withoutProof}`;
    if (!this.isProofValid(Buffer.from(proofText, 'base64'), authMessage)) {
      return err(new AuthenticationFailedError(this.user));
    }
    return ok(`v=${hmac(this.verifier.serverKey, authMessage).toString('base64')}`);
  }

  private isProofValid(proof: Buffer, authMessage: string): boolean {
    if (proof.length !== KEY_BYTES) return false;
    const signature = hmac(this.verifier.storedKey, authMessage);
    const clientKey = Buffer.from(proof.map((byte, index) => byte ^ (signature[index] ?? 0)));
    const storedKey = createHash('sha256').update(clientKey).digest();
    const equal = timingSafeEqual(storedKey, this.verifier.storedKey);
    return equal && this.isVerifierReal;
  }
}

function parseClientFirst(message: string): Result<ClientFirst, ProtocolViolationError> {
  const match = /^(([ny]|p=[^,]*),([^,]*),)(n=[^,]*,r=([\x21-\x2b\x2d-\x7e]+)(?:,.*)?)$/s.exec(
    message,
  );
  if (match === null) return err(new ProtocolViolationError('malformed SCRAM first message'));
  const [, header = '', flag = '', authorizationIdentity, bare = '', nonce = ''] = match;
  if (flag.startsWith('p')) {
    return err(new ProtocolViolationError('SCRAM channel binding was not offered'));
  }
  if (authorizationIdentity !== '' || nonce.length > MAXIMUM_NONCE_LENGTH) {
    return err(new ProtocolViolationError('SCRAM authorization identity is not supported'));
  }
  return ok({ channelBinding: Buffer.from(header).toString('base64'), bare, nonce });
}

function hmac(key: Buffer, text: string): Buffer {
  return createHmac('sha256', key).update(text).digest();
}
