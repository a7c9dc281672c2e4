/**
 * The links of a node to the others: it lends connections of the instances that it owns, and leases
 * those of the others. Loaded only in fleets with owners, since a start costs time.
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
import { OwnerLessor } from './owner-lessor.js';
import { PositionReader } from './position-reader.js';

/** Only links in use are asked for a sign of life; one that misses three is lost. */
const LINK_HEARTBEAT_MS: Milliseconds = 300;
/** An answer may be as large as an instance makes it; the wire bounds each of its messages. */
const MAX_FRAME_BYTES = 8 * 1024 * 1024;

export interface RelayOptions {
  readonly nodeName: string;
  /** Where others reach this node; without it, it lends nothing. */
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
      limits: { heartbeatPeriodMs: LINK_HEARTBEAT_MS, maxMessageBytes: MAX_FRAME_BYTES },
    });
  }

  /** Begins to lend. */
  async start(): Promise<void> {
    const { listen } = this.options;
    if (listen !== undefined) await this.#transport.listen(listen);
  }

  /** Who owns an instance in this roster. */
  ownershipOf(instance: InstanceEntry, roster: OwnerRoster): InstanceOwnership {
    const { nodeName, counters, now } = this.options;
    const owners = ownersOf(instance, roster.nodes, roster.ownersPerInstance, hash64);
    if (mayConnect(owners, nodeName)) return { isOwned: true, lender: undefined };
    const lender = new OwnerLessor({
      ...{ instance, counters, now, transport: this.#transport, health: this.#health },
      owners: ownersByPreference(owners, nodeName, hash64),
      ownersFor: (account) => ownersByPreference(owners, account, hash64),
    });
    return { isOwned: false, lender };
  }

  /** Leases of other nodes, in use or waited for. */
  get lentCount(): number {
    return this.#server.size;
  }

  /** Refuses new leases, so that others ask another owner. */
  stopGranting(): void {
    this.#server.stopGranting();
  }

  /** Resolves when no connection is lent any more, at the deadline at the latest. */
  drained(deadline: Milliseconds): Promise<void> {
    return this.#server.drained(deadline);
  }

  close(): Promise<void> {
    return this.#transport.close();
  }
}

const HASHES = new Map<string, bigint>();
const MOST_HASHES = 4096;

const hash64: Hash64 = (text) => {
  const known = HASHES.get(text);
  if (known !== undefined) return known;
  const hash = createHash('sha256').update(text).digest().readBigUInt64BE();
  if (HASHES.size >= MOST_HASHES) HASHES.clear();
  HASHES.set(text, hash);
  return hash;
};
