/** TCP links of an instance to its peers: it sends on links it opened and receives on accepted ones. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import type { PeerAddress } from '../options.js';
import { encodeFrame, FrameReader, type PeerMessage } from './messages.js';

const RECONNECT_DELAY_MS = 50;
/** Messages to a peer are dropped while more than this is unsent; a later sync closes the gap. */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024;

export interface LinkOptions {
  readonly host: string;
  readonly isCut: (peer: string, direction: 'in' | 'out') => boolean;
  readonly onMessage: (message: PeerMessage) => void;
}

export class PeerLinks {
  private readonly server: Server;
  private readonly outbound = new Map<string, Socket>();
  private addresses: readonly PeerAddress[] = [];

  constructor(private readonly options: LinkOptions) {
    this.server = createServer((socket) => this.accept(socket));
  }

  get peers(): readonly PeerAddress[] {
    return this.addresses;
  }

  /** Resolves with the bound port. */
  listen(port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, this.options.host, () => {
        const address = this.server.address();
        resolve(typeof address === 'object' && address !== null ? address.port : port);
      });
    });
  }

  setPeers(addresses: readonly PeerAddress[]): void {
    for (const socket of this.outbound.values()) socket.destroy();
    this.outbound.clear();
    this.addresses = addresses;
    for (const address of addresses) this.dial(address);
  }

  send(peer: string, message: PeerMessage): void {
    const frame = encodeFrame(message);
    this.write(peer, frame);
  }

  broadcast(message: PeerMessage): void {
    const frame = encodeFrame(message);
    for (const { name } of this.addresses) this.write(name, frame);
  }

  private write(peer: string, frame: Buffer): void {
    const socket = this.outbound.get(peer);
    if (socket === undefined || socket.connecting || this.options.isCut(peer, 'out')) return;
    if (socket.writableLength > MAX_UNSENT_BYTES) return;
    socket.write(frame);
  }

  private dial(address: PeerAddress): void {
    if (!this.addresses.includes(address)) return;
    const { host, port, name } = address;
    const socket = connect({ host, port, localAddress: this.options.host, noDelay: true });
    this.outbound.set(name, socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      setTimeout(() => this.dial(address), RECONNECT_DELAY_MS);
    });
    socket.resume();
  }

  private accept(socket: Socket): void {
    const reader = new FrameReader();
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk: Buffer) => {
      for (const message of reader.push(chunk)) {
        if (!this.options.isCut(message.from, 'in')) this.options.onMessage(message);
      }
    });
  }
}
