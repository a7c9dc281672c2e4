/** Which nodes have links to each other, and what opening one costs. */
import type { Milliseconds } from '../src/core/units.js';
import type { NodeIdentity } from '../src/peer/contract.js';
import { FrameDecoder, MAX_HANDSHAKE_PAYLOAD_BYTES } from '../src/peer/frame.js';
import { Handshake } from '../src/peer/handshake.js';
import { DEFAULT_PEER_LINK_LIMITS } from '../src/peer/options.js';

/** Packets that open and close a TCP connection: three and four, with their headers. */
const CONNECTION_PACKETS_BYTES = 3 * 60 + 4 * 52;
/** Each of the three messages of the handshake: headers of the segment and of its acknowledgement. */
const HANDSHAKE_SEGMENTS_BYTES = 3 * 2 * 52;
const CLUSTER_SECRET = Buffer.alloc(32, 7);

/** Links by direction of dialling; one that is not used is closed after a time. */
export class LinkTable {
  readonly #lastUsedAt = new Map<string, Milliseconds>();
  readonly #now: () => Milliseconds;

  constructor(now: () => Milliseconds) {
    this.#now = now;
  }

  /** Notes a use; true if the link has to be opened for it. */
  use(from: string, to: string): boolean {
    const key = `${from}>${to}`;
    const lastUsedAt = this.#lastUsedAt.get(key);
    this.#lastUsedAt.set(key, this.#now());
    return (
      lastUsedAt === undefined || this.#now() - lastUsedAt > DEFAULT_PEER_LINK_LIMITS.idleTimeoutMs
    );
  }
}

/** Carries out the real handshake of both sides; gives the bytes that it puts on the wire. */
export function handshakeBytes(dialling: NodeIdentity, accepting: NodeIdentity): number {
  const dialler = new Handshake('dialler', dialling, CLUSTER_SECRET);
  const acceptor = new Handshake('acceptor', accepting, CLUSTER_SECRET);
  const hello = dialler.start();
  const answer = deliver(acceptor, hello);
  const proof = deliver(dialler, answer);
  deliver(acceptor, proof);
  const frames = hello.length + answer.length + proof.length;
  return frames + CONNECTION_PACKETS_BYTES + HANDSHAKE_SEGMENTS_BYTES;
}

/** Gives the frame that the receiver sends next; empty if none. */
function deliver(receiver: Handshake, frame: Buffer): Buffer {
  let answer: Buffer | undefined;
  const decoder = new FrameDecoder((type, _stream, payload) => {
    answer = receiver.receive(type, payload).send;
  }, MAX_HANDSHAKE_PAYLOAD_BYTES);
  decoder.push(frame);
  return answer ?? Buffer.alloc(0);
}
