/** A database instance: connects storage, replication and client connections. */
import { createServer, type Server, type Socket } from 'node:net';
import type { SecureContext } from 'node:tls';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { formatLsn } from '../../src/core/position.js';
import { ServerError, ServerSqlState } from './errors.js';
import { createInitialFaults, type FaultChange, type Faults, isCut } from './faults.js';
import type { DatabaseOptions, PeerAddress } from './options.js';
import { PeerLinks } from './replication/links.js';
import { Member } from './replication/member.js';
import { PlanCache } from './session/plan-cache.js';
import type { SessionHost } from './session/session.js';
import { Slots } from './slots.js';
import { Catalog } from './storage/catalog.js';
import type { Transaction } from './storage/transaction.js';
import { Connection, ConnectionCrashSignal, type ConnectionHost } from './wire/connection.js';
import { createVerifier } from './wire/scram.js';

const RANDOM_RANGE = 2 ** 32;

/** Response of `GET /state`; positions are `pg_lsn` texts. */
export interface InstanceState {
  readonly name: string;
  readonly group: string;
  readonly zone: string;
  readonly role: 'primary' | 'replica';
  readonly primary: string | undefined;
  readonly timeline: number;
  readonly promisedTimeline: number;
  readonly lsn: string;
  readonly received: string;
  readonly replayed: string;
  readonly connections: number;
  readonly openTransactions: number;
  readonly runningStatements: number;
  readonly slotsInUse: number;
  readonly queuedStatements: number;
  readonly statementsExecuted: number;
  /** Size of the responses in this process that clients have not read yet. */
  readonly bufferedOutputBytes: number;
  /** `statementsExecuted` by login role; probes use a role of their own. */
  readonly statementsByRole: Readonly<Record<string, number>>;
  readonly connectionsAccepted: number;
  readonly connectionsRefused: number;
  readonly faults: Faults;
  readonly history: Member['events'];
}

function formatPosition(lsn: number): string {
  return formatLsn(BigInt(lsn));
}

export class DatabaseInstance {
  readonly catalog = new Catalog();
  readonly member: Member;
  readonly links: PeerLinks;
  faults: Faults;
  private readonly slots: Slots;
  private readonly connections = new Map<number, Connection>();
  private readonly server: Server;
  private readonly connectionHost: ConnectionHost;
  private nextProcessId = 1;
  private boundPort = 0;
  private runningStatements = 0;
  private statementsExecuted = 0;
  private readonly statementsByRole = new Map<string, number>();
  private connectionsAccepted = 0;
  private connectionsRefused = 0;

  constructor(
    private readonly options: DatabaseOptions,
    secureContext: SecureContext | undefined,
  ) {
    this.faults = createInitialFaults(options['connection-delay-ms'], options['statement-ms']);
    this.slots = new Slots(options.slots);
    this.links = new PeerLinks({
      host: options.host,
      isCut: (peer, direction) => isCut(this.faults, peer, direction),
      onMessage: (message) => this.member.receive(message),
    });
    this.member = this.createMember();
    this.connectionHost = this.createConnectionHost(secureContext);
    this.server = createServer((socket) => this.accept(socket));
  }

  private createMember(): Member {
    const { options, links } = this;
    const generator = xoroshiro128plus(options.seed);
    return new Member({
      name: options.name,
      hasInitialPrimary: options['initial-primary'] !== undefined,
      electionTimeoutMs: options['election-timeout-ms'],
      heartbeatMs: options['heartbeat-ms'],
      random: () => (generator.next() >>> 0) / RANDOM_RANGE,
      catalog: this.catalog,
      send: (peer, message) => links.send(peer, message),
      broadcast: (message) => links.broadcast(message),
      groupSize: () => links.peers.length + 1,
      replayLagMs: () => this.faults.replayLagMs,
      isReceiveStalled: () => this.faults.receiveStall,
      terminateSessions: (reason) => this.terminateSessions(reason),
    });
  }

  private createConnectionHost(secureContext: SecureContext | undefined): ConnectionHost {
    const { options, member } = this;
    const roles = options.user.split(',').filter((role) => role !== '');
    const verifier = options.password === '' ? undefined : createVerifier(options.password);
    const mayLogIn = (role: string): boolean => roles.length === 0 || roles.includes(role);
    return {
      session: { host: this.createSessionHost() },
      functions: {
        isInRecovery: () => member.role === 'replica',
        timeline: () => member.log.timeline,
        systemIdentifier: () => options['system-identifier'],
        currentLsn: () => this.currentLsn(),
        receivedLsn: () => (member.wasReplica ? formatPosition(member.log.lsn) : null),
        replayedLsn: () => (member.wasReplica ? formatPosition(member.replayedLsn) : null),
      },
      secureContext,
      verifier,
      checkRole: (role) => (mayLogIn(role) ? undefined : unknownRoleError(role)),
      connectionDelayMs: () => this.faults.connectionDelayMs,
      register: (connection) => this.register(connection),
      unregister: (connection) => this.connections.delete(connection.processId),
      cancel: (processId, secretKey) => this.cancel(processId, secretKey),
    };
  }

  private createSessionHost(): SessionHost {
    return {
      slots: this.slots,
      plans: new PlanCache(this.catalog),
      statementMs: () => this.faults.statementMs,
      begin: () => this.catalog.begin(),
      commit: (transaction) => this.commit(transaction),
      rollback: (transaction) => this.catalog.rollback(transaction),
      isInRecovery: () => this.member.role === 'replica',
      countStatement: (running, role) => this.countStatement(running, role),
    };
  }

  private countStatement(running: 1 | -1, role: string): void {
    this.runningStatements += running;
    if (running === -1) return;
    this.statementsExecuted += 1;
    this.statementsByRole.set(role, (this.statementsByRole.get(role) ?? 0) + 1);
  }

  private currentLsn(): string {
    if (this.member.role === 'primary') return formatPosition(this.member.log.lsn);
    const message = 'recovery is in progress';
    throw new ServerError(ServerSqlState.OBJECT_NOT_IN_PREREQUISITE_STATE, message);
  }

  private commit(transaction: Transaction): void {
    const changes = this.catalog.changesOf(transaction);
    if (changes.length === 0) {
      this.catalog.commit(transaction);
      return;
    }
    if (this.faults.crashBeforeCommit > 0) {
      this.faults = { ...this.faults, crashBeforeCommit: this.faults.crashBeforeCommit - 1 };
      this.catalog.rollback(transaction);
      throw new ConnectionCrashSignal();
    }
    const keys = this.catalog.describeChanges(changes);
    this.catalog.commit(transaction);
    this.member.commit(changes, keys);
    if (this.faults.crashAfterCommit > 0) {
      this.faults = { ...this.faults, crashAfterCommit: this.faults.crashAfterCommit - 1 };
      throw new ConnectionCrashSignal();
    }
  }

  /** Resolves with the bound port. */
  async listen(port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, this.options.host, 1_024, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
    const address = this.server.address();
    this.boundPort = typeof address === 'object' && address !== null ? address.port : port;
    return this.boundPort;
  }

  start(peers: readonly PeerAddress[]): void {
    this.links.setPeers(peers.filter((peer) => peer.name !== this.options.name));
    this.member.start(this.options['initial-primary'] === this.options.name);
  }

  async changeFaults(change: FaultChange): Promise<void> {
    this.faults = { ...this.faults, ...change };
    if (this.faults.refuseConnections && this.server.listening) this.server.close();
    if (!this.faults.refuseConnections && !this.server.listening) {
      await this.listen(this.boundPort);
    }
  }

  private accept(socket: Socket): void {
    const processId = this.nextProcessId;
    this.nextProcessId += 1;
    new Connection(processId, socket, this.connectionHost);
  }

  private register(connection: Connection): void {
    if (this.connections.size >= this.options['max-connections']) {
      this.connectionsRefused += 1;
      throw new ServerError(ServerSqlState.TOO_MANY_CONNECTIONS, 'sorry, too many clients already');
    }
    this.connectionsAccepted += 1;
    this.connections.set(connection.processId, connection);
  }

  private cancel(processId: number, secretKey: number): void {
    const connection = this.connections.get(processId);
    if (connection?.secretKey !== secretKey) return;
    connection.cancel('canceling statement due to user request');
  }

  private terminateSessions(reason: string): void {
    for (const connection of [...this.connections.values()]) connection.terminate(reason);
  }

  private bufferedOutputBytes(): number {
    let sum = 0;
    for (const connection of this.connections.values()) sum += connection.bufferedBytes;
    return sum;
  }

  state(): InstanceState {
    const { options, member, catalog, slots } = this;
    return {
      name: options.name,
      group: options.group,
      zone: options.zone,
      role: member.role,
      primary: member.primaryName,
      timeline: member.log.timeline,
      promisedTimeline: member.promisedTimeline,
      lsn: formatPosition(member.log.lsn),
      received: formatPosition(member.log.lsn),
      replayed: formatPosition(member.role === 'primary' ? member.log.lsn : member.replayedLsn),
      connections: this.connections.size,
      openTransactions: catalog.openTransactions,
      runningStatements: this.runningStatements,
      slotsInUse: slots.inUse,
      queuedStatements: slots.queued,
      statementsExecuted: this.statementsExecuted,
      bufferedOutputBytes: this.bufferedOutputBytes(),
      statementsByRole: Object.fromEntries(this.statementsByRole),
      connectionsAccepted: this.connectionsAccepted,
      connectionsRefused: this.connectionsRefused,
      faults: this.faults,
      history: member.events,
    };
  }
}

function unknownRoleError(role: string): ServerError {
  return new ServerError(
    ServerSqlState.INVALID_PASSWORD,
    `password authentication failed for user "${role}"`,
  );
}
