/** Which nodes have links to each other, and the bytes that opening a link costs. */
import type { Milliseconds } from '../src/core/units.js';
import type { NodeIdentity } from '../src/peer/contract.js';
import { FrameDecoder, MAX_HANDSHAKE_PAYLOAD_BYTES } from '../src/peer/frame.js';
import { Handshake } from '../src/peer/handshake.js';
import { DEFAULT_PEER_LINK_LIMITS } from '../src/peer/options.js';

/** Three packets to open and four to close a TCP connection, with their headers. */
const CONNECTION_PACKETS_BYTES = 3 * 60 + 4 * 52;
/** Three handshake messages: headers of each segment and of its acknowledgement. */
const HANDSHAKE_SEGMENTS_BYTES = 3 * 2 * 52;
const CLUSTER_SECRET = Buffer.alloc(32, 7);

/** Links by dialling direction; an idle link is closed after the real links' idle timeout. */
export class LinkTable {
  readonly #lastUsedAt = new Map<string, Milliseconds>();
  readonly #now: () => Milliseconds;

  constructor(now: () => Milliseconds) {
    this.#now = now;
  }

  /** Records a use of a link; true if the link has to be opened first. */
  recordUse(from: string, to: string): boolean {
    const key = `${from}>${to}`;
    const lastUsedAt = this.#lastUsedAt.get(key);
    this.#lastUsedAt.set(key, this.#now());
    return (
      lastUsedAt === undefined || this.#now() - lastUsedAt > DEFAULT_PEER_LINK_LIMITS.idleTimeoutMs
    );
  }
}

/** Runs the real handshake between two nodes; returns the bytes that it sends on the wire. */
export function countHandshakeBytes(dialling: NodeIdentity, accepting: NodeIdentity): number {
  const dialler = new Handshake('dialler', dialling, CLUSTER_SECRET);
  const acceptor = new Handshake('acceptor', accepting, CLUSTER_SECRET);
  const hello = dialler.start();
  const response = deliverFrame(acceptor, hello);
  const proof = deliverFrame(dialler, response);
  deliverFrame(acceptor, proof);
  const frames = hello.length + response.length + proof.length;
  return frames + CONNECTION_PACKETS_BYTES + HANDSHAKE_SEGMENTS_BYTES;
}

/** Returns the frame that the receiver sends in response; empty if none. */
function deliverFrame(receiver: Handshake, frame: Buffer): Buffer {
  let response: Buffer | undefined;
  const decoder = new FrameDecoder((type, _stream, payload) => {
    response = receiver.receive(type, payload).send;
  }, MAX_HANDSHAKE_PAYLOAD_BYTES);
  decoder.push(frame);
  return response ?? Buffer.alloc(0);
}
