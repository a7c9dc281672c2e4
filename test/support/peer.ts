/** Helpers for tests of the peer transport: transports on loopback, and promises of events. */
import { connect, type Socket } from 'node:net';
import type { MeadowstackError } from '../../src/core/errors.js';
import type {
  NodeIdentity,
  PeerAddress,
  PeerHandlers,
  PeerStream,
  WireValue,
} from '../../src/peer/contract.js';
import type { PeerTransportOptions } from '../../src/peer/options.js';
import { TcpPeerTransport } from '../../src/peer/transport.js';

const LOOPBACK: PeerAddress = { host: '127.0.0.1', port: 0 };

/** A transport that listens on loopback, and its address. */
export interface ListeningTransport {
  readonly transport: TcpPeerTransport;
  readonly address: PeerAddress;
}

/** Handlers that refuse everything; tests override what they need. */
export function handlersOf(handlers: Partial<PeerHandlers>): PeerHandlers {
  return {
    onStream: (_header, stream) => stream.abort('no streams here'),
    onCall: async () => null,
    ...handlers,
  };
}

export async function listen(
  nodeId: string,
  handlers: Partial<PeerHandlers>,
  options: Partial<PeerTransportOptions> = {},
): Promise<ListeningTransport> {
  const identity: NodeIdentity = { nodeId, incarnation: 1 };
  const transport = new TcpPeerTransport({ identity, handlers: handlersOf(handlers), ...options });
  const bound = await transport.listen(LOOPBACK);
  return { transport, address: bound._unsafeUnwrap() };
}

/** Resolves when the stream closes, with its error if there is one. */
export function closed(stream: PeerStream): Promise<MeadowstackError | undefined> {
  return new Promise((resolve) => {
    stream.onClose = resolve;
  });
}

/** Resolves with the next message of the stream. */
export function nextMessage(stream: PeerStream): Promise<WireValue> {
  return new Promise((resolve) => {
    stream.onMessage = resolve;
  });
}

/** Resolves once the condition holds; checks it every millisecond. */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 1));
}

/** Opens a raw TCP connection, to send bytes that a transport would not. */
export async function rawConnection(address: PeerAddress): Promise<Socket> {
  const socket = connect(address.port, address.host);
  await new Promise<void>((resolve) => socket.once('connect', () => resolve()));
  return socket;
}

/** Resolves when the socket is closed, with or without an error. */
export function socketClosed(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.on('error', () => undefined);
    socket.on('close', () => resolve());
    socket.resume();
  });
}
