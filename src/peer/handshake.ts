/**
 * Handshake of a peer link: both sides send their identity and prove that they know the cluster
 * secret by a MAC over both nonces and both identities. The role is part of the MAC, so that a
 * proof can't be reflected to its sender. Without a secret the proofs are empty.
 *
 *     dialler              acceptor
 *     HELLO nonce      ->
 *                      <-  HELLO nonce, proof
 *     PROOF            ->
 *
 * The dialler may send its first frames directly after PROOF. Each HELLO also carries the tags of the fleet: a dialler
 * sends nothing to a node of another fleet, and an acceptor answers so that the dialler learns of it.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import { decodeValue, encodeValue } from './codec.js';
import type { NodeIdentity } from './contract.js';
import { PeerForeignFleetError, PeerHandshakeError, PeerProtocolError } from './errors.js';
import { mayBeSameFleet } from './fleet-tags.js';
import {
  encodeFrame,
  FrameType,
  type FrameTypeCode,
  MAX_HANDSHAKE_PAYLOAD_BYTES,
} from './frame.js';
import { type Hello, NONCE_BYTES, parseHello } from './link-messages.js';

const PROTOCOL_NAME = 'meadowstack-peer';
/** Version of the frames and the handshake; both sides must use the same one. */
export const PROTOCOL_VERSION = 1;
const NO_PROOF = Buffer.alloc(0);

/** Whether this side opened the connection or accepted it. */
export type HandshakeRole = 'dialler' | 'acceptor';

/** What to do after a received handshake frame. */
export interface HandshakeStep {
  /** Frame to send. */
  readonly send: Buffer | undefined;
  /** Identity of the other side once it is proven: the handshake is complete. */
  readonly identity: NodeIdentity | undefined;
}

/** One side of the handshake. */
export class Handshake {
  readonly #role: HandshakeRole;
  readonly #identity: NodeIdentity;
  readonly #secret: Buffer | undefined;
  readonly #nonce = randomBytes(NONCE_BYTES);
  readonly #fleet: readonly string[];
  #remote: Hello | undefined;

  constructor(
    role: HandshakeRole,
    identity: NodeIdentity,
    secret: Buffer | undefined,
    fleet: readonly string[] = [],
  ) {
    this.#role = role;
    this.#identity = identity;
    this.#secret = secret;
    this.#fleet = fleet;
  }

  /** Identity of the other side if it belongs to another fleet. */
  get foreignIdentity(): NodeIdentity | undefined {
    const remote = this.#remote;
    if (remote === undefined || mayBeSameFleet(this.#fleet, remote.fleet)) return undefined;
    return identityOf(remote);
  }

  /** Returns the dialler's first frame. */
  start(): Buffer {
    return this.#encodeHello(NO_PROOF);
  }

  /** Processes the next frame; throws PeerProtocolError or PeerHandshakeError. */
  receive(type: FrameTypeCode, payload: Buffer): HandshakeStep {
    if (type === FrameType.HELLO && this.#remote === undefined) return this.#onHello(payload);
    const isAwaitingProof = this.#role === 'acceptor' && this.#remote !== undefined;
    if (type === FrameType.PROOF && isAwaitingProof) return this.#onProof(payload);
    throw new PeerProtocolError(`unexpected frame of type ${type} during the handshake`);
  }

  #onHello(payload: Buffer): HandshakeStep {
    const remote = decodeHello(payload);
    this.#remote = remote;
    if (this.#role === 'acceptor') {
      return {
        send: this.#encodeHello(this.#computeProof('acceptor', remote)),
        identity: undefined,
      };
    }
    this.#refuseForeign();
    this.#verifyProof(remote.proof, this.#computeProof('acceptor', remote));
    const proof = this.#computeProof('dialler', remote);
    return { send: encodeFrame(FrameType.PROOF, 0, proof), identity: identityOf(remote) };
  }

  #onProof(proof: Buffer): HandshakeStep {
    const remote = this.#remote as Hello;
    this.#refuseForeign();
    this.#verifyProof(proof, this.#computeProof('dialler', remote));
    return { send: undefined, identity: identityOf(remote) };
  }

  #refuseForeign(): void {
    const { foreignIdentity } = this;
    if (foreignIdentity !== undefined) throw new PeerForeignFleetError(foreignIdentity);
  }

  #encodeHello(proof: Buffer): Buffer {
    const hello: Hello = {
      protocol: PROTOCOL_NAME,
      version: PROTOCOL_VERSION,
      nodeId: this.#identity.nodeId,
      incarnation: this.#identity.incarnation,
      nonce: new Uint8Array(this.#nonce),
      proof: new Uint8Array(proof),
      fleet: this.#fleet,
    };
    return encodeFrame(FrameType.HELLO, 0, encodeValue(hello, MAX_HANDSHAKE_PAYLOAD_BYTES));
  }

  /** MAC of the side in `role` over the nonces and identities of both sides. */
  #computeProof(role: HandshakeRole, remote: Hello): Buffer {
    if (this.#secret === undefined) return NO_PROOF;
    const local = { identity: this.#identity, nonce: this.#nonce };
    const other = { identity: identityOf(remote), nonce: remote.nonce };
    const [dialler, acceptor] = this.#role === 'dialler' ? [local, other] : [other, local];
    const mac = createHmac('sha256', this.#secret);
    mac.update(`${PROTOCOL_NAME} ${PROTOCOL_VERSION} ${role} `);
    mac.update(dialler.nonce);
    mac.update(acceptor.nonce);
    mac.update(JSON.stringify([toMacFields(dialler.identity), toMacFields(acceptor.identity)]));
    return mac.digest();
  }

  #verifyProof(received: Uint8Array, expected: Buffer): void {
    if (received.length === expected.length && timingSafeEqual(received, expected)) return;
    throw new PeerHandshakeError('the other side did not prove the cluster secret');
  }
}

function decodeHello(payload: Buffer): Hello {
  const hello = parseHello(decodeValue(payload));
  if (hello?.protocol !== PROTOCOL_NAME) throw new PeerProtocolError('malformed hello');
  if (hello.version !== PROTOCOL_VERSION) {
    throw new PeerHandshakeError(`protocol version ${hello.version} is not supported`);
  }
  return hello;
}

function identityOf(hello: Hello): NodeIdentity {
  return { nodeId: hello.nodeId, incarnation: hello.incarnation };
}

function toMacFields(identity: NodeIdentity): [string, number] {
  return [identity.nodeId, identity.incarnation];
}
