/** Counters of the peer transport, for metrics. */
import type { PeerCounters } from './contract.js';

/** Counters of all TCP links of a node since its start. */
export interface TcpPeerCounters extends PeerCounters {
  /** Links refused in the handshake: wrong secret, wrong version, or too many pending handshakes. */
  readonly handshakesRefused: number;
  readonly streamsOpened: number;
  readonly callsSent: number;
  readonly callsAnswered: number;
  /** Socket writes; each sends all frames of one event-loop turn. */
  readonly socketWrites: number;
}

/** `TcpPeerCounters` with writable fields. */
export type MutableCounters = { -readonly [Name in keyof TcpPeerCounters]: number };

export function zeroCounters(): MutableCounters {
  return {
    linksOpened: 0,
    linksLost: 0,
    framesDropped: 0,
    framesMalformed: 0,
    bytesSent: 0,
    bytesReceived: 0,
    handshakesRefused: 0,
    foreignFleets: 0,
    streamsOpened: 0,
    callsSent: 0,
    callsAnswered: 0,
    socketWrites: 0,
  };
}
