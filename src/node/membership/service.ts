/**
 * Membership of one node: runs the membership state machine. Sends its datagrams over UDP and its
 * anti-entropy syncs as calls over the peer links, and passes it the time.
 */
import { createSocket, type Socket } from 'node:dgram';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import type { MeadowstackError } from '../../core/errors.js';
import {
  DEFAULT_MEMBERSHIP_OPTIONS,
  type ListedNode,
  type MemberEvent,
  type MembershipEffect,
  type MembershipEvent,
  type MembershipMessage,
  type MembershipOptions,
  type NodeAddress,
  type SyncResponse,
} from '../../core/membership/contract.js';
import { MembershipStateMachine, type OwnMember } from '../../core/membership/machine.js';
import type { Member } from '../../core/membership/member.js';
import type { NodeIdentity, PeerTransport, WireValue } from '../../peer/contract.js';
import { PeerListenError, PeerProtocolError } from '../../peer/errors.js';
import { monotonicNow } from '../clock.js';
import {
  decodeDatagram,
  encodeDatagram,
  MAX_DATAGRAM_BYTES,
  syncPushFromWire,
  syncPushToWire,
  syncRequestFromWire,
  syncRequestToWire,
  syncResponseFromWire,
  syncResponseToWire,
} from './wire.js';

/** Compares member tables; the response contains the members in which the requester's table differs. */
export const SYNC_METHOD = 'membership.sync';
/** Second step of a sync: sends the requester's members of the differing buckets to the responder. */
export const SYNC_PUSH_METHOD = 'membership.push';
const SYNC_TIMEOUT_MS = 2000;
const MAX_FOREIGN_NODES = 1024;

/** Options and dependencies of the membership service. */
export interface MembershipServiceOptions {
  /** This node. `peerPort` is the port of both its links and its datagrams. */
  readonly self: OwnMember;
  readonly transport: Pick<PeerTransport, 'call'>;
  readonly options?: Partial<MembershipOptions>;
  /** Key of the MAC in each datagram; the same on all nodes. */
  readonly clusterSecret?: Buffer | undefined;
  readonly random?: () => number;
}

/** Counters of the membership service since it was created. */
export interface MembershipCounters {
  readonly datagramsSent: number;
  readonly datagramsReceived: number;
  readonly datagramsMalformed: number;
  /** Datagrams of nodes that turned out to be of another fleet. */
  readonly datagramsForeign: number;
  /** Messages not sent because they were too large, which is a bug of this program. */
  readonly datagramsOversized: number;
  /** Payload bytes of datagrams, without IP and UDP headers. */
  readonly bytesSent: number;
  readonly bytesReceived: number;
  readonly syncsSent: number;
  readonly syncsFailed: number;
}

/** Membership of one node. */
export class MembershipService {
  /** Called for every change of a member. */
  onMemberChanged: ((event: MemberEvent) => void) | undefined;
  /** Called once if the machine list marks this node as leaving. */
  onMarkedLeaving: (() => void) | undefined;
  /** Called when a higher incarnation of this node id was seen and this node's was raised above it. */
  onIncarnationRaised: ((incarnation: number) => void) | undefined;

  readonly #machine: MembershipStateMachine;
  readonly #transport: Pick<PeerTransport, 'call'>;
  readonly #address: NodeAddress;
  readonly #secret: Buffer | undefined;
  readonly #counters = zeroCounters();
  /** Nodes of other fleets, by id and incarnation; the latest ones. */
  readonly #foreign = new Set<string>();
  /** Response to the sync request that is being handled. */
  #syncReply: SyncResponse | undefined;
  #socket: Socket | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: MembershipServiceOptions) {
    const machineOptions = { ...DEFAULT_MEMBERSHIP_OPTIONS, ...options.options };
    const random = options.random ?? Math.random;
    this.#machine = new MembershipStateMachine(options.self, machineOptions, random);
    this.#transport = options.transport;
    this.#address = { host: options.self.host, peerPort: options.self.peerPort };
    this.#secret = options.clusterSecret;
  }

  /** Opens the datagram socket and joins through the nodes of the machine list. */
  start(nodes: readonly ListedNode[]): ResultAsync<void, MeadowstackError> {
    const { host, peerPort } = this.#address;
    const socket = createSocket('udp4');
    this.#socket = socket;
    const bound = new Promise<void>((resolve, reject) => {
      socket.once('error', reject);
      socket.bind(peerPort, host, () => resolve());
    });
    return ResultAsync.fromPromise(
      bound,
      (cause) => new PeerListenError(`can not receive datagrams on ${host}:${peerPort}`, { cause }),
    ).map(() => this.#onBound(socket, nodes));
  }

  /** Passes a new machine list to the state machine. */
  setListedNodes(nodes: readonly ListedNode[]): void {
    this.#handle({ type: 'list-changed', nodes });
  }

  /** Tells the other members that this node starts its graceful shutdown. */
  announceLeaving(): void {
    this.#handle({ type: 'leave' });
  }

  /** Reports that a link to this node was lost or refused, so that the node is probed at once. */
  reportLinkLost(nodeId: string): void {
    this.#handle({ type: 'link-lost', nodeId });
  }

  /**
   * Takes a node that turned out to be of another fleet for failed, and ignores what it sends and what others tell of it.
   * False if that was known already.
   */
  excludeForeign(identity: NodeIdentity): boolean {
    const key = foreignKey(identity);
    if (this.#foreign.has(key)) return false;
    this.#foreign.add(key);
    if (this.#foreign.size > MAX_FOREIGN_NODES) this.#foreign.delete(firstOf(this.#foreign));
    return true;
  }

  setConfigurationRevision(configurationRevision: number): void {
    this.#handle({ type: 'revision-changed', configurationRevision });
  }

  /** Tells some members that this node has stopped, and closes the socket. */
  async stop(): Promise<void> {
    this.#handle({ type: 'stop' });
    clearTimeout(this.#timer);
    await this.closeSocket();
  }

  /** Closes the socket without notifying other members, as a crash would. */
  async closeSocket(): Promise<void> {
    const socket = this.#socket;
    this.#socket = undefined;
    if (socket === undefined) return;
    await new Promise<void>((resolve) => socket.close(() => resolve()));
  }

  self(): Member {
    return this.#machine.self();
  }

  /** All other known members, including dead ones. */
  members(): Member[] {
    return this.#machine.members().map((member) => this.#failedIfForeign(member));
  }

  member(nodeId: string): Member | undefined {
    const member = this.#machine.member(nodeId);
    return member && this.#failedIfForeign(member);
  }

  #failedIfForeign(member: Member): Member {
    return this.#isForeign(member) ? { ...member, status: 'dead' } : member;
  }

  #isForeign(identity: NodeIdentity): boolean {
    return this.#foreign.size > 0 && this.#foreign.has(foreignKey(identity));
  }

  get isJoined(): boolean {
    return this.#machine.isJoined;
  }

  counters(): MembershipCounters {
    return { ...this.#counters };
  }

  /** True for the methods that `handleCall` handles. */
  handlesCall(method: string): boolean {
    return method === SYNC_METHOD || method === SYNC_PUSH_METHOD;
  }

  /** Handles a peer's call; throws PeerProtocolError if the body is malformed. */
  handleCall(method: string, body: WireValue): WireValue {
    if (method === SYNC_PUSH_METHOD) {
      this.#handle({ type: 'sync-pushed', push: syncPushFromWire(body) });
      return null;
    }
    this.#syncReply = undefined;
    this.#handle({ type: 'sync-requested', requestId: 0, request: syncRequestFromWire(body) });
    const reply: SyncResponse | undefined = this.#syncReply;
    if (reply === undefined) throw new PeerProtocolError('not a member now');
    return syncResponseToWire(reply);
  }

  #onBound(socket: Socket, nodes: readonly ListedNode[]): void {
    // A datagram that can't be sent is treated like one lost in transit.
    socket.on('error', () => undefined);
    socket.on('message', (datagram) => this.#onDatagram(datagram));
    this.#handle({ type: 'start', nodes });
  }

  #handle(event: MembershipEvent): void {
    const effects = this.#machine.handle(event, monotonicNow());
    for (const effect of effects) this.#executeEffect(effect);
    this.#armTimer();
  }

  #armTimer(): void {
    clearTimeout(this.#timer);
    const deadline = this.#machine.nextDeadline();
    if (deadline === undefined) return;
    const delay = Math.max(0, deadline - monotonicNow());
    this.#timer = setTimeout(() => this.#handle({ type: 'tick' }), Math.ceil(delay));
  }

  #executeEffect(effect: MembershipEffect): void {
    switch (effect.type) {
      case 'send':
        this.#send(effect.to, effect.message);
        return;
      case 'sync':
        void this.#sync(effect);
        return;
      case 'sync-reply':
        this.#syncReply = effect.answer;
        return;
      case 'sync-push':
        void this.#call(effect.to, SYNC_PUSH_METHOD, syncPushToWire(effect.push));
        return;
      case 'member-changed':
        this.onMemberChanged?.(effect.event);
        return;
      case 'told-to-leave':
        this.onMarkedLeaving?.();
        return;
      case 'incarnation-raised':
        this.onIncarnationRaised?.(effect.incarnation);
    }
  }

  #send(to: NodeAddress, message: MembershipMessage): void {
    const datagram = encodeDatagram(message, this.#secret);
    if (datagram.length > MAX_DATAGRAM_BYTES) {
      this.#counters.datagramsOversized += 1;
      return;
    }
    this.#counters.datagramsSent += 1;
    this.#counters.bytesSent += datagram.length;
    this.#socket?.send(datagram, to.peerPort, to.host, () => undefined);
  }

  #onDatagram(datagram: Buffer): void {
    this.#counters.datagramsReceived += 1;
    this.#counters.bytesReceived += datagram.length;
    const message = this.#decode(datagram);
    if (message === undefined) return;
    if (this.#isForeign(message.sender)) {
      this.#counters.datagramsForeign += 1;
      return;
    }
    const updates = message.updates.filter((update) => !this.#isForeign(update));
    this.#handle({ type: 'message', message: { ...message, updates } });
  }

  #decode(datagram: Buffer): MembershipMessage | undefined {
    try {
      return decodeDatagram(datagram, this.#secret);
    } catch (error) {
      if (!(error instanceof PeerProtocolError)) throw error;
      this.#counters.datagramsMalformed += 1;
      return undefined;
    }
  }

  async #sync(effect: Extract<MembershipEffect, { type: 'sync' }>): Promise<void> {
    const { to, request } = effect;
    const result = await this.#call(to, SYNC_METHOD, syncRequestToWire(request));
    const response = result.andThen(parseSyncResponse);
    if (response.isErr()) {
      this.#counters.syncsFailed += 1;
      return;
    }
    const { cursor } = request;
    this.#handle({ type: 'sync-answered', from: to, cursor, answer: response.value });
  }

  #call(
    to: NodeAddress,
    method: string,
    body: WireValue,
  ): ResultAsync<WireValue, MeadowstackError> {
    this.#counters.syncsSent += 1;
    const peer = { host: to.host, port: to.peerPort };
    return this.#transport.call(peer, method, body, SYNC_TIMEOUT_MS);
  }
}

function foreignKey({ nodeId, incarnation }: NodeIdentity): string {
  return `${nodeId} ${incarnation}`;
}

function firstOf(values: ReadonlySet<string>): string {
  const [first = ''] = values;
  return first;
}

function parseSyncResponse(value: WireValue): Result<SyncResponse, MeadowstackError> {
  try {
    return ok(syncResponseFromWire(value));
  } catch (error) {
    if (error instanceof PeerProtocolError) return err(error);
    throw error;
  }
}

function zeroCounters(): { -readonly [Name in keyof MembershipCounters]: number } {
  return {
    datagramsSent: 0,
    datagramsReceived: 0,
    datagramsMalformed: 0,
    datagramsForeign: 0,
    datagramsOversized: 0,
    bytesSent: 0,
    bytesReceived: 0,
    syncsSent: 0,
    syncsFailed: 0,
  };
}
