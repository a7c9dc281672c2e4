/**
 * Executes the effects of a group state machine on a simulated group, with delays and losses, and
 * records the history. Counts connections and running requests independently of the state machine.
 */
import type {
  ConnectionId,
  GroupEffect,
  GroupEvent,
  InstanceDescription,
  RunResult,
} from '../../src/core/group/contract.js';
import { DatabaseGroup } from '../../src/core/group/database-group.js';
import type { DatabaseGroupOptions } from '../../src/core/group/options.js';
import type { GroupRequest } from '../../src/core/request.js';
import type { SimulatedClock } from './clock.js';
import { type LogEntry, positionOf, type SimulatedGroup, type SimulatedInstance } from './group.js';
import type { RequestRecord, SimulatedHistory } from './history.js';
import { READ_ONLY_SQL_STATE, SimulatedOnceRun } from './once-run.js';

interface OpenConnection {
  readonly instance: SimulatedInstance;
  readonly incarnation: number;
  lastTenant: string | undefined;
  running: string | undefined;
  /** The run of a request with an idempotency key, if there is one. */
  onceRun: SimulatedOnceRun | undefined;
}

/** Options of an owner in addition to those of its state machine. */
export interface SimulatedOwnerOptions extends Omit<DatabaseGroupOptions, 'random'> {
  /** Receives the records; owners of one group may share a history. */
  readonly history?: SimulatedHistory;
  /** Runs an action of the process: later if the process is frozen, never if it is dead. */
  readonly runInProcess?: (action: () => void) => void;
}

/** Data about a request that the state machine does not receive. */
export interface SubmittedWork {
  readonly session: number;
  /** Idempotency key: the request runs at most once under it. */
  readonly onceKey?: string;
  /** Called when the request has ended. */
  readonly onCompleted?: (record: RequestRecord) => void;
}

type RunEffect = Extract<GroupEffect, { type: 'run' }>;

const CONNECT_TIMEOUT_MS = 400;
const RETRANSMISSION_PERIOD_MS = 10;

/** One owner with one group state machine. */
export class SimulatedOwner {
  readonly history: SimulatedHistory;
  readonly machine: DatabaseGroup;
  /** Names of instances that this owner alone can't reach. */
  readonly unreachableInstances = new Set<string>();
  private readonly connections = new Map<ConnectionId, OpenConnection>();
  private readonly records = new Map<string, RequestRecord>();
  /** Connections lost while idle, of which the state machine may not have been notified yet. */
  private readonly brokenConnections = new Set<ConnectionId>();
  private descriptions = new Map<string, InstanceDescription>();
  private tickAt = Number.POSITIVE_INFINITY;
  private readonly work = new Map<string, SubmittedWork>();
  private readonly process: (action: () => void) => void;

  constructor(
    private readonly clock: SimulatedClock,
    private readonly group: SimulatedGroup,
    options: SimulatedOwnerOptions,
  ) {
    this.history = options.history ?? { records: [], breaches: [], finalLog: [] };
    this.process = options.runInProcess ?? ((action) => action());
    this.machine = new DatabaseGroup({ ...options, random: clock.random });
  }

  setInstances(instances: readonly InstanceDescription[]): void {
    this.process(() => {
      this.descriptions = new Map(instances.map((one) => [one.name, one]));
    });
    this.send({ type: 'instances-changed', instances });
  }

  /** Requests without a result. */
  get unfinishedRequests(): readonly RequestRecord[] {
    return [...this.records.values()].filter(({ completions }) => completions.length === 0);
  }

  submit(request: GroupRequest, work: SubmittedWork): void {
    const record: RequestRecord = {
      request,
      session: work.session,
      arrivedAt: this.clock.now,
      sentAt: [],
      executions: [],
      completions: [],
      endedAt: undefined,
      servedByReplica: false,
      databaseError: undefined,
      refusal: undefined,
      ownerFailed: false,
    };
    this.work.set(request.id, work);
    this.records.set(request.id, record);
    this.history.records.push(record);
    this.send({ type: 'request-arrived', request });
  }

  send(event: GroupEvent): void {
    this.process(() => {
      for (const effect of this.machine.handle(event, this.clock.now)) this.executeEffect(effect);
      this.scheduleTick();
    });
  }

  /** Ends the process: its connections close, and requests on the instances run to their end. */
  terminate(): void {
    for (const [id, connection] of this.connections) {
      this.removeConnection(id);
      if (connection.onceRun !== undefined) this.endSession(connection);
    }
  }

  /** Breaks all idle connections to an instance, as a crash does. */
  breakConnections(instance: SimulatedInstance): void {
    for (const [id, connection] of this.connections) {
      if (connection.instance !== instance || connection.running !== undefined) continue;
      this.removeConnection(id);
      this.brokenConnections.add(id);
      this.clock.after(1, () => this.send({ type: 'connection-closed', connectionId: id }));
    }
  }

  private scheduleTick(): void {
    const due = this.machine.nextDeadline();
    if (due === undefined || due >= this.tickAt) return;
    this.tickAt = due;
    this.clock.after(due - this.clock.now, () => {
      if (this.tickAt > this.clock.now) return;
      this.tickAt = Number.POSITIVE_INFINITY;
      this.send({ type: 'tick' });
    });
  }

  private executeEffect(effect: GroupEffect): void {
    if (effect.type === 'open-connection') this.open(effect.connectionId, effect.instance);
    else if (effect.type === 'close-connection') this.close(effect.connectionId);
    else if (effect.type === 'interrupt-if-silent') this.interrupt(effect.requestId);
    else if (effect.type === 'reset-connection') this.reset(effect.connectionId);
    else if (effect.type === 'run') this.run(effect);
    else if (effect.type === 'probe') this.probe(effect.probeId, effect.instance);
    else if (effect.type === 'release') this.complete(effect.requestId, undefined, effect.position);
    else if (effect.type === 'fail') this.complete(effect.requestId, effect.error, undefined);
  }

  private open(id: ConnectionId, name: string): void {
    const instance = this.group.get(name);
    const connection: OpenConnection = {
      instance,
      incarnation: instance.incarnation,
      lastTenant: undefined,
      running: undefined,
      onceRun: undefined,
    };
    const refusedByLimit = instance.connections >= instance.maxConnections;
    this.connections.set(id, connection);
    instance.connections += 1;
    this.checkBudget(name);
    const answer = (ok: boolean): void => {
      if (this.connections.get(id) !== connection) return;
      if (!ok) this.removeConnection(id);
      if (ok) this.send({ type: 'connection-opened', connectionId: id });
      else this.send({ type: 'connection-open-failed', connectionId: id, refusedByLimit });
    };
    if (refusedByLimit) this.clock.after(1, () => answer(false));
    else if (!instance.isUp) this.clock.after(1, () => answer(false));
    else if (this.isUnresponsive(instance))
      this.clock.after(CONNECT_TIMEOUT_MS, () => answer(false));
    else this.clock.after(this.clock.between(5, 30), () => answer(this.isUsable(connection)));
  }

  private close(id: ConnectionId): void {
    const connection = this.connections.get(id);
    this.removeConnection(id);
    if (connection?.running === undefined) return;
    if (connection.onceRun !== undefined) {
      this.endSession(connection);
      const { onceRun } = connection;
      this.clock.after(0.1, () => onceRun.handleConnectionLost(true));
      return;
    }
    const requestId = connection.running;
    this.clock.after(0.1, () => this.finishLostRun(requestId, true, true));
  }

  private interrupt(requestId: string): void {
    for (const [id, connection] of this.connections) {
      if (connection.running === requestId) this.close(id);
    }
  }

  private reset(id: ConnectionId): void {
    const connection = this.connections.get(id);
    if (connection === undefined) return;
    connection.lastTenant = undefined;
    this.clock.after(this.clock.between(0.5, 3), () => {
      if (this.connections.get(id) !== connection) return;
      const isUsableNow = this.isUsable(connection) && !this.isUnresponsive(connection.instance);
      if (isUsableNow) this.send({ type: 'connection-reset', connectionId: id });
      else {
        this.removeConnection(id);
        this.send({ type: 'connection-closed', connectionId: id });
      }
    });
  }

  private run(effect: RunEffect): void {
    const record = this.records.get(effect.requestId);
    const connection = this.connections.get(effect.connectionId);
    if (record !== undefined && this.brokenConnections.has(effect.connectionId)) {
      record.sentAt.push(this.clock.now);
      this.clock.after(0.1, () => this.finishLostRun(effect.requestId, false, false));
      return;
    }
    if (record === undefined || connection === undefined) {
      this.recordBreach(`run of ${effect.requestId} on a connection that is not open`);
      return;
    }
    const { request } = record;
    record.sentAt.push(this.clock.now);
    if (connection.running !== undefined) this.recordBreach('two requests on one connection');
    if (connection.lastTenant !== undefined && connection.lastTenant !== request.tenant) {
      this.recordBreach('a connection passed to another tenant without a reset');
    }
    connection.lastTenant = request.tenant;
    connection.running = request.id;
    this.checkSlots(effect.instance);
    const description = this.descriptions.get(effect.instance);
    if (description?.leaving && !effect.onPrimary)
      this.recordBreach('new work on a leaving replica');
    record.servedByReplica = !effect.onPrimary;
    const onceKey = this.work.get(request.id)?.onceKey;
    if (onceKey === undefined) this.executeOverNetwork(effect, record, connection);
    else this.runOnce(record, connection, effect.connectionId, onceKey);
  }

  private runOnce(
    record: RequestRecord,
    connection: OpenConnection,
    id: ConnectionId,
    onceKey: string,
  ): void {
    const { request } = record;
    const attempt = record.sentAt.length;
    const { instance } = connection;
    const isOpen = (): boolean => this.isUsable(connection);
    connection.onceRun = new SimulatedOnceRun(this.clock, this.group, instance, {
      requestId: request.id,
      claim: { tenant: request.tenant, onceKey },
      isOpen,
      runInProcess: this.process,
      deliver: (direction, action) => {
        this.deliver(this.clock.between(0.3, 2), instance, direction, action);
      },
      onCommit: (written) => {
        const onReplacedPrimary = this.group.isReplaced(instance);
        const at = this.clock.now;
        const { name } = instance;
        record.executions.push({
          attempt,
          instance: name,
          at,
          onReplacedPrimary,
          written,
          snapshot: [],
        });
      },
      onFinished: (result, refusal, databaseError) => {
        connection.onceRun = undefined;
        connection.running = undefined;
        record.endedAt = this.clock.now;
        record.refusal = refusal;
        record.databaseError = databaseError;
        if (result.type === 'connection-lost') this.removeConnection(id);
        this.send({ type: 'run-finished', requestId: request.id, result });
      },
    });
    connection.onceRun.start();
  }

  /** Notifies the server that the connection is closed, so that it rolls back the open transaction. */
  private endSession(connection: OpenConnection): void {
    const { onceRun, instance } = connection;
    this.deliver(this.clock.between(0.3, 2), instance, 'both-ways', () =>
      onceRun?.handleSessionEnded(),
    );
  }

  private removeConnection(id: ConnectionId): void {
    const connection = this.connections.get(id);
    if (connection === undefined) return;
    this.connections.delete(id);
    connection.instance.connections -= 1;
  }

  private executeOverNetwork(
    effect: RunEffect,
    record: RequestRecord,
    connection: OpenConnection,
  ): void {
    const { clock } = this;
    const attempt = record.sentAt.length;
    const lossDraw = clock.random();
    const { lossProbability } = connection.instance;
    const finish = (result: RunResult): void => {
      if (this.connections.get(effect.connectionId) !== connection) return;
      connection.running = undefined;
      if (result.type === 'connection-lost') this.removeConnection(effect.connectionId);
      record.endedAt = clock.now;
      this.send({ type: 'run-finished', requestId: effect.requestId, result });
    };
    const finishLost = (bytesWritten: boolean): void => finish(createLostResult(bytesWritten));
    if (lossDraw < lossProbability) {
      clock.after(0.2, () => finishLost(false));
      return;
    }
    const arrival = clock.between(0.3, 2);
    this.deliver(arrival, connection.instance, 'both-ways', () => {
      if (!this.isUsable(connection)) return finishLost(true);
      const wait = Math.max(0, connection.instance.pausedUntil - clock.now);
      const service = record.request.hold === 'statement' ? [0.5, 5] : [5, 60];
      clock.after(wait + clock.between(service[0] ?? 0, service[1] ?? 0), () => {
        if (!this.isUsable(connection)) return finishLost(true);
        const result = this.execute(record, attempt, connection.instance);
        if (lossDraw < 2 * lossProbability) return finishLost(true);
        this.deliver(clock.between(0.3, 2), connection.instance, 'answers', () => {
          if (this.isUsable(connection)) finish(result);
          else finishLost(true);
        });
      });
    });
  }

  /** Delivers a message; during a cut it is delayed until the cut ends, like a TCP retransmission. */
  private deliver(
    delayMs: number,
    instance: SimulatedInstance,
    direction: 'both-ways' | 'answers',
    action: () => void,
  ): void {
    this.clock.after(delayMs, () => {
      const cut = direction === 'answers' ? this.areAnswersCut(instance) : this.isCutOff(instance);
      if (cut && instance.isUp) this.deliver(RETRANSMISSION_PERIOD_MS, instance, direction, action);
      else action();
    });
  }

  private isCutOff(instance: SimulatedInstance): boolean {
    return instance.ownerCut === 'both-ways' || this.unreachableInstances.has(instance.name);
  }

  private areAnswersCut(instance: SimulatedInstance): boolean {
    return instance.ownerCut !== 'none' || this.unreachableInstances.has(instance.name);
  }

  private execute(record: RequestRecord, attempt: number, instance: SimulatedInstance): RunResult {
    const { request } = record;
    const visible = instance.writable ? instance.log.length : instance.replayedLength;
    const snapshot = instance.log.slice(0, visible);
    let written: LogEntry | undefined;
    if (request.access === 'write' && instance.writable) {
      written = this.group.commit(instance, request.id);
    }
    const refused = request.access === 'write' && written === undefined;
    const onReplacedPrimary = this.group.isReplaced(instance);
    const at = this.clock.now;
    if (!refused)
      record.executions.push({
        attempt,
        instance: instance.name,
        at,
        onReplacedPrimary,
        written,
        snapshot,
      });
    const length = instance.writable ? instance.log.length : visible;
    const position = positionOf(instance.timeline, length);
    record.databaseError = refused ? READ_ONLY_SQL_STATE : undefined;
    if (refused) return { type: 'database-error', position };
    return { type: 'completed', position, anyBytesRelayed: this.clock.chance(0.5) };
  }

  private probe(probeId: string, name: string): void {
    const instance = this.group.get(name);
    this.deliver(this.clock.between(0.3, 3), instance, 'both-ways', () => {
      if (!instance.isUp) return this.send({ type: 'probe-failed', probeId });
      const wait = Math.max(0, instance.pausedUntil - this.clock.now);
      this.clock.after(wait, () => {
        const state = this.group.stateOf(instance);
        const back = this.clock.between(0.3, 3);
        this.deliver(back, instance, 'answers', () => {
          this.send({ type: 'probe-answered', probeId, state });
        });
      });
    });
  }

  private finishLostRun(requestId: string, bytesWritten: boolean, mayHaveCommitted: boolean): void {
    const result: RunResult = { ...createLostResult(bytesWritten), mayHaveCommitted };
    const record = this.records.get(requestId);
    if (record !== undefined) record.endedAt = this.clock.now;
    this.send({ type: 'run-finished', requestId, result });
  }

  private complete(
    requestId: string,
    error: RequestRecord['completions'][number]['error'],
    position: RequestRecord['completions'][number]['position'],
  ): void {
    const record = this.records.get(requestId);
    if (record === undefined) return;
    const reported = error ?? record.refusal;
    const fromReplica = record.servedByReplica;
    record.completions.push({ at: this.clock.now, error: reported, position, fromReplica });
    const { onCompleted } = this.work.get(requestId) ?? {};
    if (record.completions.length === 1) this.clock.after(0, () => onCompleted?.(record));
  }

  private isUsable(connection: OpenConnection): boolean {
    const { instance, incarnation } = connection;
    return instance.isUp && instance.incarnation === incarnation;
  }

  private isUnresponsive(instance: SimulatedInstance): boolean {
    return this.areAnswersCut(instance) || this.group.isPaused(instance);
  }

  private checkBudget(name: string): void {
    const open = [...this.connections.values()].filter((one) => one.instance.name === name);
    const budget = this.descriptions.get(name)?.connectionBudget ?? 0;
    if (open.length > budget) this.recordBreach(`${open.length} connections to ${name}`);
  }

  private checkSlots(name: string): void {
    let running = 0;
    for (const connection of this.connections.values()) {
      if (connection.instance.name !== name || connection.running === undefined) continue;
      running += 1;
    }
    const slots = this.descriptions.get(name)?.slots ?? 0;
    if (running > slots) this.recordBreach(`${running} requests at once on ${name}`);
  }

  private recordBreach(message: string): void {
    this.history.breaches.push(message);
  }
}

function createLostResult(bytesWritten: boolean): Extract<RunResult, { type: 'connection-lost' }> {
  return {
    type: 'connection-lost',
    anyBytesWritten: bytesWritten,
    anyBytesRelayed: false,
    mayHaveCommitted: bytesWritten,
  };
}
