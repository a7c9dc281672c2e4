/**
 * All peer links of a node over TCP. There is at most one dialled link per peer address, opened when
 * it is first needed, and any number of accepted ones.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { errAsync, ResultAsync } from 'neverthrow';
import type { MeadowstackError } from '../core/errors.js';
import { Backoff } from './backoff.js';
import { encodeValue } from './codec.js';
import type {
  NodeIdentity,
  PeerAddress,
  PeerStream,
  PeerTransport,
  WireValue,
} from './contract.js';
import { type MutableCounters, type TcpPeerCounters, zeroCounters } from './counters.js';
import {
  PeerConnectionError,
  PeerLinkIdleError,
  PeerListenError,
  PeerMessageRefusedError,
  PeerUnreachableError,
} from './errors.js';
import type { HandshakeRole } from './handshake.js';
import { PeerLink } from './link.js';
import {
  DEFAULT_PEER_LINK_LIMITS,
  type PeerLinkLimits,
  type PeerTransportOptions,
} from './options.js';
import { LinkStream, type StreamLink } from './stream.js';

/** How long a stopping node waits for other nodes to close the links that they dialled. */
const SHUTDOWN_TIMEOUT_MS = 500;

/** State of one address that this node dials. */
interface DialledPeer {
  readonly address: PeerAddress;
  readonly backoff: Backoff;
  link: PeerLink | undefined;
  identity: NodeIdentity | undefined;
}

/** All peer links of a node. */
export class TcpPeerTransport implements PeerTransport {
  readonly #options: PeerTransportOptions;
  readonly #limits: PeerLinkLimits;
  readonly #counters: MutableCounters = zeroCounters();
  readonly #dialled = new Map<string, DialledPeer>();
  readonly #accepted = new Set<PeerLink>();
  /** Dialled links whose other side is stopping; a new link to its address may be dialled meanwhile. */
  readonly #drainingLinks = new Set<PeerLink>();
  readonly #heartbeat: NodeJS.Timeout;
  #pendingHandshakes = 0;
  #lastLinkNumber = 0;
  #server: Server | undefined;
  #closed = false;
  #onAcceptedClosed: (() => void) | undefined;

  constructor(options: PeerTransportOptions) {
    this.#options = options;
    this.#limits = { ...DEFAULT_PEER_LINK_LIMITS, ...options.limits };
    this.#heartbeat = setInterval(() => this.#onHeartbeat(), this.#limits.heartbeatPeriodMs);
    this.#heartbeat.unref();
  }

  listen(address: PeerAddress): ResultAsync<PeerAddress, MeadowstackError> {
    const server = createServer((socket) => this.#accept(socket));
    this.#server = server;
    const bound = new Promise<PeerAddress>((resolve, reject) => {
      server.once('error', reject);
      server.listen(address.port, address.host, () => resolve(toBoundAddress(server, address)));
    });
    const name = addressKey(address);
    return ResultAsync.fromPromise(
      bound,
      (cause) => new PeerListenError(`can not listen on ${name}`, { cause }),
    );
  }

  openStream(peer: PeerAddress, header: WireValue): PeerStream {
    const link = this.#linkTo(peer);
    if (!(link instanceof PeerLink)) return this.#createFailedStream(peer, link);
    try {
      return link.openStream(encodeValue(header, this.#limits.maxMessageBytes));
    } catch (error) {
      if (error instanceof PeerMessageRefusedError) return this.#createFailedStream(peer, error);
      throw error;
    }
  }

  call(
    peer: PeerAddress,
    method: string,
    body: WireValue,
    timeoutMs: number,
  ): ResultAsync<WireValue, MeadowstackError> {
    const link = this.#linkTo(peer);
    if (!(link instanceof PeerLink)) return errAsync(link);
    return link.call(method, body, timeoutMs);
  }

  /**
   * Closes all links. Nodes that dialled this one first get GOAWAY, so that they know which of their
   * streams were not accepted.
   */
  async close(): Promise<void> {
    if (this.#closed) return;
    this.#closed = true;
    clearInterval(this.#heartbeat);
    const server = this.#server;
    const serverClosed = new Promise<void>((resolve) => {
      if (server?.listening === true) server.close(() => resolve());
      else resolve();
    });
    const reason = new PeerConnectionError('this node is stopping');
    for (const link of this.#dialledLinks()) link.close(reason);
    await this.#shutDownAccepted();
    for (const link of [...this.#accepted]) link.close(reason);
    await serverClosed;
  }

  /** Sends GOAWAY on accepted links; resolves once the other sides have closed them, or on timeout. */
  #shutDownAccepted(): Promise<void> {
    const ready = [...this.#accepted].filter((link) => link.isReady);
    if (ready.length === 0) return Promise.resolve();
    return new Promise((resolve) => {
      const limit = setTimeout(resolve, SHUTDOWN_TIMEOUT_MS);
      this.#onAcceptedClosed = () => {
        if (ready.some((link) => !link.isClosed)) return;
        clearTimeout(limit);
        resolve();
      };
      for (const link of ready) link.sendGoAway();
    });
  }

  counters(): TcpPeerCounters {
    return { ...this.#counters };
  }

  /** Identity of the node that last completed a handshake at this address. */
  identityOf(peer: PeerAddress): NodeIdentity | undefined {
    return this.#dialled.get(addressKey(peer))?.identity;
  }

  /** Removes an address that no longer belongs to a member, and closes its link. */
  removePeer(peer: PeerAddress): void {
    const dialled = this.#dialled.get(addressKey(peer));
    this.#dialled.delete(addressKey(peer));
    dialled?.link?.close(new PeerConnectionError('peer is no longer a member'));
  }

  /** Returns the link to use, dialling if there is none, or the error why there can't be one now. */
  #linkTo(address: PeerAddress): PeerLink | PeerUnreachableError {
    const name = addressKey(address);
    if (this.#closed) return new PeerUnreachableError(name, 'this node is stopping');
    const peer = this.#dialledPeer(address);
    if (peer.link !== undefined) return peer.link;
    const waitMs = peer.backoff.remainingMs(performance.now());
    if (waitMs > 0)
      return new PeerUnreachableError(name, `next attempt in ${Math.ceil(waitMs)} ms`);
    const socket = connect({ host: address.host, port: address.port, noDelay: true });
    peer.link = this.#createLink('dialler', socket, name, peer);
    return peer.link;
  }

  #dialledPeer(address: PeerAddress): DialledPeer {
    const name = addressKey(address);
    const known = this.#dialled.get(name);
    if (known !== undefined) return known;
    const { backoffInitialMs, backoffMaxMs } = this.#limits;
    const backOff = new Backoff(
      backoffInitialMs,
      backoffMaxMs,
      this.#options.random ?? Math.random,
    );
    const peer: DialledPeer = { address, backoff: backOff, link: undefined, identity: undefined };
    this.#dialled.set(name, peer);
    return peer;
  }

  #accept(socket: Socket): void {
    if (this.#closed || this.#pendingHandshakes >= this.#limits.maxPendingHandshakes) {
      this.#counters.handshakesRefused += 1;
      socket.destroy();
      return;
    }
    this.#pendingHandshakes += 1;
    const name = `${socket.remoteAddress ?? 'unknown'}:${socket.remotePort ?? 0}`;
    this.#accepted.add(this.#createLink('acceptor', socket, name, undefined));
  }

  #createLink(
    role: HandshakeRole,
    socket: Socket,
    peerName: string,
    peer: DialledPeer | undefined,
  ): PeerLink {
    this.#lastLinkNumber += 1;
    let ready = false;
    return new PeerLink({
      linkNumber: this.#lastLinkNumber,
      role,
      socket,
      peerName,
      identity: this.#options.identity,
      secret: this.#options.clusterSecret,
      fleet: this.#options.fleet ?? [],
      handlers: this.#options.handlers,
      limits: this.#limits,
      counters: this.#counters,
      onReady: (_link, remote) => {
        ready = true;
        this.#counters.linksOpened += 1;
        if (peer === undefined) this.#pendingHandshakes -= 1;
        else this.#onDialled(peer, remote);
      },
      onForeignFleet: (remote) => this.#options.events?.onForeignFleet?.(remote, peer?.address),
      onGoAway: (link) => this.#onGoAway(link, peer),
      onClosed: (link, error) => {
        if (ready && !(error instanceof PeerLinkIdleError)) this.#counters.linksLost += 1;
        if (this.#drainingLinks.delete(link)) return;
        if (peer !== undefined) this.#onDialledLinkClosed(peer, ready, error);
        else if (!ready) this.#pendingHandshakes -= 1;
        if (this.#accepted.delete(link)) this.#onAcceptedClosed?.();
      },
    });
  }

  #onDialled(peer: DialledPeer, remote: NodeIdentity): void {
    const previous = peer.identity;
    peer.identity = remote;
    peer.backoff.recordSuccess();
    this.#options.events?.onLinkUp?.(peer.address, remote);
    const same = previous?.nodeId === remote.nodeId && previous.incarnation === remote.incarnation;
    if (previous === undefined || same) return;
    this.#options.events?.onIdentityChanged?.(peer.address, previous, remote);
  }

  #onGoAway(link: PeerLink, peer: DialledPeer | undefined): void {
    this.#drainingLinks.add(link);
    if (peer?.link !== link) return;
    peer.link = undefined;
    const error = new PeerConnectionError('the other side is stopping');
    this.#options.events?.onLinkDown?.(peer.address, error);
  }

  #onDialledLinkClosed(peer: DialledPeer, wasReady: boolean, error: MeadowstackError): void {
    peer.link = undefined;
    if (error instanceof PeerLinkIdleError) return;
    if (!wasReady) peer.backoff.recordFailure(performance.now());
    if (wasReady) this.#options.events?.onLinkDown?.(peer.address, error);
  }

  /** Creates a stream without a link; it fails after the caller has set its `onClose`. */
  #createFailedStream(peer: PeerAddress, error: MeadowstackError): PeerStream {
    const stream = new LinkStream(createDetachedLink(addressKey(peer), this.#limits), 0, false);
    queueMicrotask(() => stream.fail(error));
    return stream;
  }

  #onHeartbeat(): void {
    for (const link of this.#allLinks()) link.onHeartbeat();
  }

  #allLinks(): PeerLink[] {
    return [...this.#accepted, ...this.#dialledLinks()];
  }

  #dialledLinks(): PeerLink[] {
    const links = [...this.#drainingLinks];
    for (const peer of this.#dialled.values()) {
      if (peer.link !== undefined) links.push(peer.link);
    }
    return links;
  }
}

function addressKey(address: PeerAddress): string {
  return `${address.host}:${address.port}`;
}

function toBoundAddress(server: Server, wanted: PeerAddress): PeerAddress {
  const address = server.address();
  if (address === null || typeof address === 'string') return wanted;
  return { host: address.address, port: address.port };
}

/** Creates the link of a stream that has none: it sends nothing. */
function createDetachedLink(peerName: string, limits: PeerLinkLimits): StreamLink {
  return {
    linkNumber: 0,
    peerName,
    limits,
    scheduleStream: () => undefined,
    sendCredit: () => undefined,
    sendAbort: () => undefined,
    removeStream: () => undefined,
  };
}
