/**
 * Handshake of a peer link: both sides tell who they are, and prove that they know the cluster
 * secret by a MAC over both nonces and both identities. The roles are part of the MAC, so that a
 * proof can't be reflected. Without a secret the proofs are empty.
 *
 *     dialler              acceptor
 *     HELLO nonce      ->
 *                      <-  HELLO nonce, proof
 *     PROOF            ->
 *
 * The dialler may send its first frames right behind PROOF.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import { decodeValue, encodeValue } from './codec.js';
import type { NodeIdentity } from './contract.js';
import { PeerHandshakeError, PeerProtocolError } from './errors.js';
import {
  encodeFrame,
  FrameType,
  type FrameTypeCode,
  MAX_HANDSHAKE_PAYLOAD_BYTES,
} from './frame.js';
import { type Hello, helloForm, NONCE_BYTES } from './message-forms.js';

const PROTOCOL_NAME = 'meadowstack-peer';
/** Version of the frames and of the handshake; both sides must have the same. */
export const PROTOCOL_VERSION = 1;
const NO_PROOF = Buffer.alloc(0);

/** Who opened the connection. */
export type HandshakeRole = 'dialler' | 'acceptor';

/** What to do after a frame of the handshake: send this, and go on if the identity is proven. */
export interface HandshakeStep {
  readonly send: Buffer | undefined;
  readonly identity: NodeIdentity | undefined;
}

/** One side of the handshake. */
export class Handshake {
  readonly #role: HandshakeRole;
  readonly #identity: NodeIdentity;
  readonly #secret: Buffer | undefined;
  readonly #nonce = randomBytes(NONCE_BYTES);
  #remote: Hello | undefined;

  constructor(role: HandshakeRole, identity: NodeIdentity, secret: Buffer | undefined) {
    this.#role = role;
    this.#identity = identity;
    this.#secret = secret;
  }

  /** The frame that the dialler begins with. */
  start(): Buffer {
    return this.#hello(NO_PROOF);
  }

  /** Takes the next frame; throws PeerProtocolError or PeerHandshakeError. */
  receive(type: FrameTypeCode, payload: Buffer): HandshakeStep {
    if (type === FrameType.HELLO && this.#remote === undefined) return this.#onHello(payload);
    const awaitsProof = this.#role === 'acceptor' && this.#remote !== undefined;
    if (type === FrameType.PROOF && awaitsProof) return this.#onProof(payload);
    throw new PeerProtocolError(`frame of type ${type} within the handshake`);
  }

  #onHello(payload: Buffer): HandshakeStep {
    const remote = parseHello(payload);
    this.#remote = remote;
    if (this.#role === 'acceptor') {
      return { send: this.#hello(this.#proofOf('acceptor', remote)), identity: undefined };
    }
    this.#check(remote.proof, this.#proofOf('acceptor', remote));
    const proof = this.#proofOf('dialler', remote);
    return { send: encodeFrame(FrameType.PROOF, 0, proof), identity: identityOf(remote) };
  }

  #onProof(proof: Buffer): HandshakeStep {
    const remote = this.#remote as Hello;
    this.#check(proof, this.#proofOf('dialler', remote));
    return { send: undefined, identity: identityOf(remote) };
  }

  #hello(proof: Buffer): Buffer {
    const hello: Hello = {
      protocol: PROTOCOL_NAME,
      version: PROTOCOL_VERSION,
      nodeId: this.#identity.nodeId,
      incarnation: this.#identity.incarnation,
      nonce: new Uint8Array(this.#nonce),
      proof: new Uint8Array(proof),
    };
    return encodeFrame(FrameType.HELLO, 0, encodeValue(hello, MAX_HANDSHAKE_PAYLOAD_BYTES));
  }

  /** MAC of the side in `role` over what both sides said. */
  #proofOf(role: HandshakeRole, remote: Hello): Buffer {
    if (this.#secret === undefined) return NO_PROOF;
    const local = { identity: this.#identity, nonce: this.#nonce };
    const other = { identity: identityOf(remote), nonce: remote.nonce };
    const [dialler, acceptor] = this.#role === 'dialler' ? [local, other] : [other, local];
    const mac = createHmac('sha256', this.#secret);
    mac.update(`${PROTOCOL_NAME} ${PROTOCOL_VERSION} ${role} `);
    mac.update(dialler.nonce);
    mac.update(acceptor.nonce);
    mac.update(JSON.stringify([describe(dialler.identity), describe(acceptor.identity)]));
    return mac.digest();
  }

  #check(received: Uint8Array, expected: Buffer): void {
    if (received.length === expected.length && timingSafeEqual(received, expected)) return;
    throw new PeerHandshakeError('the other side did not prove the cluster secret');
  }
}

function parseHello(payload: Buffer): Hello {
  const hello = helloForm(decodeValue(payload));
  if (hello?.protocol !== PROTOCOL_NAME) throw new PeerProtocolError('malformed hello');
  if (hello.version !== PROTOCOL_VERSION) {
    throw new PeerHandshakeError(`protocol version ${hello.version} is not supported`);
  }
  return hello;
}

function identityOf(hello: Hello): NodeIdentity {
  return { nodeId: hello.nodeId, incarnation: hello.incarnation };
}

function describe(identity: NodeIdentity): [string, number] {
  return [identity.nodeId, identity.incarnation];
}
