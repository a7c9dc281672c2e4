/** Owners of a scripted instance and a node that borrows its connections, in one process over real links. */
import { createServer, type Server, type Socket } from 'node:net';
import { lineWire } from '../../platform/line-wire.js';
import type { AdmissionRules } from '../../src/core/admission/instance-admission.js';
import type { ReachableNode } from '../../src/core/ownership/owner-roster.js';
import type { Milliseconds } from '../../src/core/units.js';
import { type ConnectionRequest, InstancePool } from '../../src/direct/instance-pool.js';
import type { LendableInstance, RelayCounters } from '../../src/direct/relay/contract.js';
import { LeaseServer } from '../../src/direct/relay/lease-server.js';
import { OwnerHealth } from '../../src/direct/relay/owner-health.js';
import { OwnerLender } from '../../src/direct/relay/owner-lender.js';
import { PositionReader } from '../../src/direct/relay/position-reader.js';
import { TcpPeerTransport } from '../../src/peer/transport.js';
import { listen } from '../../standins/common/process.js';
import type { ScriptedInstance } from './scripted-instance.js';

const HOST = '127.0.0.1';
const HEARTBEAT_PERIOD_MS = 100;
const REQUEST_TIMEOUT_MS = 10_000;
const CONNECTION_LIMIT = 2;

const now = (): Milliseconds => performance.now();
const NO_HANDLERS = { onStream: () => undefined, onCall: async () => null };

export function newCounters(): RelayCounters {
  return {
    ...{ leasesAsked: 0, leasesRefused: 0, leasesLost: 0, leasesGiven: 0 },
    ...{ readsAsked: 0, readsRun: 0, positionsTold: 0 },
  };
}

/** A tenant whose policy is too generous to limit anything. */
export const TEST_TENANT = {
  tenant: 't',
  priority: 1,
  policy: { queueWeight: 1, maxWaiting: 200, inFlightShare: 1, inFlightFloor: 200 },
};

export class TestOwner implements LendableInstance {
  isOwned = true;
  readonly mayConnect = true;
  usable = true;
  known = true;
  /** Admission rules of this owner. */
  rules: AdmissionRules | undefined;
  readonly pool: InstancePool;
  readonly server: LeaseServer;
  readonly transport: TcpPeerTransport;
  node: ReachableNode;

  private constructor(nodeId: string, instance: ScriptedInstance) {
    this.node = { nodeId, zone: 'a', host: HOST, port: 0 };
    this.pool = new InstancePool(instance.entry, CONNECTION_LIMIT, {
      ...{ wire: lineWire, connectTimeoutMs: 500, reconnectDelayMs: 50, now, random: () => 0.5 },
      admissionRules: () => this.rules,
      counters: {
        connectionsOpened: 0,
        connectFailures: 0,
        waitTimeouts: 0,
        queueRefusals: 0,
        turnRefusals: 0,
        untriedRefusals: 0,
      },
    });
    const positions = new PositionReader({ wire: lineWire, now });
    const find = () => (this.known ? this : undefined);
    this.server = new LeaseServer({
      find,
      positions,
      wire: lineWire,
      counters: newCounters(),
      now,
    });
    this.transport = new TcpPeerTransport({
      identity: { nodeId, incarnation: 1 },
      handlers: this.server,
      limits: { heartbeatPeriodMs: HEARTBEAT_PERIOD_MS },
    });
  }

  static async start(nodeId: string, instance: ScriptedInstance): Promise<TestOwner> {
    const owner = new TestOwner(nodeId, instance);
    const address = (await owner.transport.listen({ host: HOST, port: 0 }))._unsafeUnwrap();
    owner.node = { ...owner.node, ...address };
    return owner;
  }

  isUsable(): boolean {
    return this.usable;
  }

  async stop(): Promise<void> {
    this.pool.destroy();
    await this.transport.close();
  }
}

/** A node that accepts connections and never sends anything. */
export class SilentNode {
  readonly #sockets: Socket[] = [];

  private constructor(
    private readonly server: Server,
    readonly node: ReachableNode,
  ) {
    server.on('connection', (socket) => this.#sockets.push(socket));
  }

  static async start(nodeId: string): Promise<SilentNode> {
    const server = createServer();
    const port = await listen(server, HOST, 0);
    return new SilentNode(server, { nodeId, zone: 'a', host: HOST, port });
  }

  stop(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.server.close();
  }
}

/** A node that owns no instance and borrows all connections. */
export class TestBorrower {
  readonly counters = newCounters();
  readonly health = new OwnerHealth(now);
  readonly transport = new TcpPeerTransport({
    identity: { nodeId: 'borrower', incarnation: 1 },
    handlers: NO_HANDLERS,
    limits: { heartbeatPeriodMs: HEARTBEAT_PERIOD_MS },
  });
  readonly pool: InstancePool;

  constructor(instance: ScriptedInstance, owners: readonly ReachableNode[]) {
    this.pool = new InstancePool(instance.entry, 0, {
      ...{ wire: lineWire, connectTimeoutMs: 500, reconnectDelayMs: 50, now, random: () => 0.5 },
      counters: {
        connectionsOpened: 0,
        connectFailures: 0,
        waitTimeouts: 0,
        queueRefusals: 0,
        turnRefusals: 0,
        untriedRefusals: 0,
      },
    });
    const { transport, health, counters } = this;
    const lender = new OwnerLender({
      ...{ instance: instance.entry, owners, transport, health, counters, now },
      ownersFor: () => owners,
    });
    this.pool.setLender(lender);
  }

  acquire(request: Partial<ConnectionRequest> = {}) {
    const deadline = now() + REQUEST_TIMEOUT_MS;
    const values = new Map<string, string>();
    return this.pool.acquire({ ...TEST_TENANT, values, deadline, cancelledBy: [], ...request });
  }

  async stop(): Promise<void> {
    await this.transport.close();
  }
}
