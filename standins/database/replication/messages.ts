/** Messages between the instances of a group: length-prefixed CBOR over TCP. */
import { Encoder } from 'cbor-x';
import type { LogEntry, TableSnapshot } from '../storage/commit-record.js';

/** A commit in a message. Its primary encodes the changes once. */
export interface EncodedCommit {
  readonly timeline: number;
  readonly previousLsn: number;
  readonly lsn: number;
  readonly committedAtMs: number;
  readonly changes: Uint8Array;
}

/** Start of a timeline, as in PostgreSQL's timeline history files. */
export interface TimelineStart {
  readonly timeline: number;
  readonly startLsn: number;
}

interface FromPeer {
  readonly from: string;
  /** Timeline of the sending primary, or the one that a vote is about. */
  readonly timeline: number;
}

export interface Heartbeat extends FromPeer {
  readonly kind: 'heartbeat';
  readonly lsn: number;
}
export interface HeartbeatReply extends FromPeer {
  readonly kind: 'heartbeat-reply';
  readonly receivedLsn: number;
}
export interface Append extends FromPeer {
  readonly kind: 'append';
  readonly commit: EncodedCommit;
}
export interface SyncRequest extends FromPeer {
  readonly kind: 'sync-request';
  readonly lsn: number;
}
export interface CatchUp extends FromPeer {
  readonly kind: 'catch-up';
  readonly history: readonly TimelineStart[];
  readonly fromTimeline: number;
  readonly fromLsn: number;
  readonly commits: readonly EncodedCommit[];
}
export interface Snapshot extends FromPeer {
  readonly kind: 'snapshot';
  readonly history: readonly TimelineStart[];
  readonly lsn: number;
  readonly tables: readonly TableSnapshot[];
  /** Position up to which both logs are equal; `entries` are the entries after it. */
  readonly commonLsn: number;
  readonly entries: readonly LogEntry[];
}
export interface VoteRequest extends FromPeer {
  readonly kind: 'vote-request';
  /** A preliminary round is not binding; it keeps an isolated instance from disturbing a healthy group. */
  readonly preliminary: boolean;
  /** Requested by an operator: voters grant it although they receive heartbeats from a primary. */
  readonly handover: boolean;
  readonly logTimeline: number;
  readonly logLsn: number;
}
export interface Vote extends FromPeer {
  readonly kind: 'vote';
  readonly preliminary: boolean;
  readonly granted: boolean;
  /** The voter rejects earlier timelines: a candidate needs a later one. */
  readonly promisedTimeline: number;
}
/** Response to a primary whose timeline is no longer accepted. */
export interface StalePrimary extends FromPeer {
  readonly kind: 'stale-primary';
  /** Latest timeline of which the sender knows a primary. */
  readonly primaryTimeline: number;
}

export type PeerMessage =
  | Heartbeat
  | HeartbeatReply
  | Append
  | SyncRequest
  | CatchUp
  | Snapshot
  | VoteRequest
  | Vote
  | StalePrimary;

const LENGTH_BYTES = 4;
const encoder = new Encoder({ useRecords: false, structuredClone: false });

export function encodeValue(value: unknown): Buffer {
  return encoder.encode(value);
}

export function decodeValue(bytes: Uint8Array): unknown {
  return encoder.decode(bytes);
}

export function encodeFrame(message: PeerMessage): Buffer {
  const body = encoder.encode(message);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Splits a stream of bytes into messages. */
export class FrameReader {
  private chunks: Buffer[] = [];
  private buffered = 0;

  *push(chunk: Buffer): Generator<PeerMessage> {
    this.chunks.push(chunk);
    this.buffered += chunk.length;
    for (let body = this.nextFrame(); body !== undefined; body = this.nextFrame()) {
      // Both ends run this program, so that frames are not validated.
      yield encoder.decode(body) as PeerMessage;
    }
  }

  private nextFrame(): Buffer | undefined {
    const [first] = this.chunks;
    if (first === undefined || this.buffered < LENGTH_BYTES) return undefined;
    if (first.length < LENGTH_BYTES) this.chunks = [Buffer.concat(this.chunks)];
    const end = LENGTH_BYTES + (this.chunks[0]?.readUInt32BE(0) ?? 0);
    if (this.buffered < end) return undefined;
    const joined = this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks);
    if (joined === undefined) return undefined;
    this.chunks = joined.length > end ? [joined.subarray(end)] : [];
    this.buffered -= end;
    return joined.subarray(LENGTH_BYTES, end);
  }
}
