/**
 * A node's links to other nodes for sharing connections: lends connections to the instances that it owns, and
 * borrows those to other instances. Loaded only in clusters with owners, since loading slows down the start.
 */
import { createHash } from 'node:crypto';
import { mayConnect, ownersByPreference, ownersOf } from '../../core/ownership/instance-owners.js';
import type { OwnerRoster } from '../../core/ownership/owner-roster.js';
import type { Hash64 } from '../../core/ownership/rendezvous.js';
import type { Milliseconds } from '../../core/units.js';
import { TcpPeerTransport } from '../../peer/transport.js';
import type { InstanceEntry } from '../contract.js';
import type { StatementWire } from '../wire.js';
import type { InstanceOwnership, LendableLookup, RelayCounters } from './contract.js';
import { LeaseServer } from './lease-server.js';
import { OwnerHealth } from './owner-health.js';
import { OwnerLender } from './owner-lender.js';
import { PositionReader } from './position-reader.js';

/** Only links in use are checked; a link that misses three heartbeats is lost. */
const LINK_HEARTBEAT_PERIOD_MS: Milliseconds = 300;
/** A response may be as large as the instance makes it; the statement protocol limits each of its messages. */
const MAX_FRAME_BYTES = 8 * 1024 * 1024;

export interface RelayOptions {
  readonly nodeName: string;
  /** Address for other nodes; without it this node lends nothing. */
  readonly listen: { readonly host: string; readonly port: number } | undefined;
  readonly wire: StatementWire;
  readonly find: LendableLookup;
  readonly counters: RelayCounters;
  readonly now: () => Milliseconds;
}

export class Relay {
  readonly #server: LeaseServer;
  readonly #transport: TcpPeerTransport;
  readonly #health: OwnerHealth;

  constructor(private readonly options: RelayOptions) {
    const { wire, find, counters, now, nodeName } = options;
    const positions = new PositionReader({ wire, now });
    this.#server = new LeaseServer({ find, positions, wire, counters, now });
    this.#health = new OwnerHealth(now);
    this.#transport = new TcpPeerTransport({
      identity: { nodeId: nodeName, incarnation: Date.now() },
      handlers: this.#server,
      limits: { heartbeatPeriodMs: LINK_HEARTBEAT_PERIOD_MS, maxMessageBytes: MAX_FRAME_BYTES },
    });
  }

  /** Starts to accept requests of other nodes. */
  async start(): Promise<void> {
    const { listen } = this.options;
    if (listen !== undefined) await this.#transport.listen(listen);
  }

  /** Ownership of an instance according to the roster. */
  ownershipOf(instance: InstanceEntry, roster: OwnerRoster): InstanceOwnership {
    const { nodeName, counters, now } = this.options;
    const owners = ownersOf(instance, roster.nodes, roster.ownersPerInstance, hash64);
    if (mayConnect(owners, nodeName)) return { isOwned: true, lender: undefined };
    const lender = new OwnerLender({
      ...{ instance, counters, now, transport: this.#transport, health: this.#health },
      owners: ownersByPreference(owners, nodeName, hash64),
      ownersFor: (account) => ownersByPreference(owners, account, hash64),
    });
    return { isOwned: false, lender };
  }

  /** Leases and reads of other nodes, active or waiting. */
  get lentCount(): number {
    return this.#server.size;
  }

  /** Refuses new leases, so that other nodes try another owner. */
  stopGranting(): void {
    this.#server.stopGranting();
  }

  /** Resolves when `lentCount` is 0, at the deadline at the latest. */
  drained(deadline: Milliseconds): Promise<void> {
    return this.#server.drained(deadline);
  }

  close(): Promise<void> {
    return this.#transport.close();
  }
}

const HASH_CACHE = new Map<string, bigint>();
const MAX_CACHED_HASHES = 4096;

const hash64: Hash64 = (text) => {
  const known = HASH_CACHE.get(text);
  if (known !== undefined) return known;
  const hash = createHash('sha256').update(text).digest().readBigUInt64BE();
  if (HASH_CACHE.size >= MAX_CACHED_HASHES) HASH_CACHE.clear();
  HASH_CACHE.set(text, hash);
  return hash;
};
