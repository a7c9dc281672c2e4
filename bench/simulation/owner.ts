/**
 * Carries out a group machine's effects against a simulated group, with delays and losses, and
 * records what happened. Keeps its own count of what runs where, apart from the machine's.
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
  /** The keyed request that runs on it. */
  once: SimulatedOnceRun | undefined;
}

/** What an owner is made of beside its machine's options. */
export interface SimulatedOwnerOptions extends Omit<DatabaseGroupOptions, 'random'> {
  /** Where it records; owners of one group may share one. */
  readonly history?: SimulatedHistory;
  /** Carries out what the process does on an event: later if it is frozen, never if it is dead. */
  readonly process?: (action: () => void) => void;
}

/** What goes with a request beyond what the machine is told. */
export interface SubmittedWork {
  readonly session: number;
  /** The request runs at most once under this key. */
  readonly onceKey?: string;
  /** Called when it has ended. */
  readonly onFinal?: (record: RequestRecord) => void;
}

type RunEffect = Extract<GroupEffect, { type: 'run' }>;

const OPEN_TIMEOUT_MS = 400;
const RETRANSMISSION_MS = 10;

/** One owner with one group machine. */
export class SimulatedOwner {
  readonly history: SimulatedHistory;
  readonly machine: DatabaseGroup;
  /** Instances that this owner alone is cut off from. */
  readonly cutOff = new Set<string>();
  private readonly connections = new Map<ConnectionId, OpenConnection>();
  private readonly records = new Map<string, RequestRecord>();
  /** Lost while idle; the machine may not know yet. */
  private readonly broken = new Set<ConnectionId>();
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
    this.process = options.process ?? ((action) => action());
    this.machine = new DatabaseGroup({ ...options, random: clock.random });
  }

  setInstances(instances: readonly InstanceDescription[]): void {
    this.process(() => {
      this.descriptions = new Map(instances.map((one) => [one.name, one]));
    });
    this.send({ type: 'instances-changed', instances });
  }

  /** Requests that have not ended. */
  get unfinished(): readonly RequestRecord[] {
    return [...this.records.values()].filter(({ finals }) => finals.length === 0);
  }

  submit(request: GroupRequest, work: SubmittedWork): void {
    const record: RequestRecord = {
      request,
      session: work.session,
      arrivedAt: this.clock.now,
      sentAt: [],
      executions: [],
      finals: [],
      endedAt: undefined,
      servedByReplica: false,
      databaseError: undefined,
      refusal: undefined,
      excused: false,
    };
    this.work.set(request.id, work);
    this.records.set(request.id, record);
    this.history.records.push(record);
    this.send({ type: 'request-arrived', request });
  }

  send(event: GroupEvent): void {
    this.process(() => {
      for (const effect of this.machine.handle(event, this.clock.now)) this.carryOut(effect);
      this.scheduleTick();
    });
  }

  /** The process has died: its connections close, what runs on the instances runs on. */
  die(): void {
    for (const [id, connection] of this.connections) {
      this.forget(id);
      if (connection.once !== undefined) this.endSession(connection);
    }
  }

  /** Breaks all connections to an instance, as a crash does. */
  breakConnections(instance: SimulatedInstance): void {
    for (const [id, connection] of this.connections) {
      if (connection.instance !== instance || connection.running !== undefined) continue;
      this.forget(id);
      this.broken.add(id);
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

  private carryOut(effect: GroupEffect): void {
    if (effect.type === 'open-connection') this.open(effect.connectionId, effect.instance);
    else if (effect.type === 'close-connection') this.close(effect.connectionId);
    else if (effect.type === 'interrupt-if-silent') this.interrupt(effect.requestId);
    else if (effect.type === 'reset-connection') this.reset(effect.connectionId);
    else if (effect.type === 'run') this.run(effect);
    else if (effect.type === 'probe') this.probe(effect.probeId, effect.instance);
    else if (effect.type === 'release') this.final(effect.requestId, undefined, effect.position);
    else if (effect.type === 'fail') this.final(effect.requestId, effect.error, undefined);
  }

  private open(id: ConnectionId, name: string): void {
    const instance = this.group.get(name);
    const connection: OpenConnection = {
      instance,
      incarnation: instance.incarnation,
      lastTenant: undefined,
      running: undefined,
      once: undefined,
    };
    const refusedByLimit = instance.connections >= instance.maxConnections;
    this.connections.set(id, connection);
    instance.connections += 1;
    this.checkBudget(name);
    const answer = (ok: boolean): void => {
      if (this.connections.get(id) !== connection) return;
      if (!ok) this.forget(id);
      if (ok) this.send({ type: 'connection-opened', connectionId: id });
      else this.send({ type: 'connection-open-failed', connectionId: id, refusedByLimit });
    };
    if (refusedByLimit) this.clock.after(1, () => answer(false));
    else if (!instance.up) this.clock.after(1, () => answer(false));
    else if (this.isSilent(instance)) this.clock.after(OPEN_TIMEOUT_MS, () => answer(false));
    else this.clock.after(this.clock.between(5, 30), () => answer(this.isWhole(connection)));
  }

  private close(id: ConnectionId): void {
    const connection = this.connections.get(id);
    this.forget(id);
    if (connection?.running === undefined) return;
    if (connection.once !== undefined) {
      this.endSession(connection);
      const { once } = connection;
      this.clock.after(0.1, () => once.lost(true));
      return;
    }
    const requestId = connection.running;
    this.clock.after(0.1, () => this.lost(requestId, true, true));
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
      const whole = this.isWhole(connection) && !this.isSilent(connection.instance);
      if (whole) this.send({ type: 'connection-reset', connectionId: id });
      else {
        this.forget(id);
        this.send({ type: 'connection-closed', connectionId: id });
      }
    });
  }

  private run(effect: RunEffect): void {
    const record = this.records.get(effect.requestId);
    const connection = this.connections.get(effect.connectionId);
    if (record !== undefined && this.broken.has(effect.connectionId)) {
      record.sentAt.push(this.clock.now);
      this.clock.after(0.1, () => this.lost(effect.requestId, false, false));
      return;
    }
    if (record === undefined || connection === undefined) {
      this.breach(`run of ${effect.requestId} on a connection that is not open`);
      return;
    }
    const { request } = record;
    record.sentAt.push(this.clock.now);
    if (connection.running !== undefined) this.breach('two requests on one connection');
    if (connection.lastTenant !== undefined && connection.lastTenant !== request.tenant) {
      this.breach('a connection passed to another tenant without a reset');
    }
    connection.lastTenant = request.tenant;
    connection.running = request.id;
    this.checkSlots(effect.instance);
    const description = this.descriptions.get(effect.instance);
    if (description?.leaving && !effect.onPrimary) this.breach('new work on a leaving replica');
    record.servedByReplica = !effect.onPrimary;
    const onceKey = this.work.get(request.id)?.onceKey;
    if (onceKey === undefined) this.travel(effect, record, connection);
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
    const isOpen = (): boolean => this.isWhole(connection);
    connection.once = new SimulatedOnceRun(this.clock, this.group, instance, {
      requestId: request.id,
      claim: { tenant: request.tenant, onceKey },
      isOpen,
      process: this.process,
      deliver: (direction, action) => {
        this.deliver(this.clock.between(0.3, 2), instance, direction, action);
      },
      onCommit: (written) => {
        const onDeposed = this.group.isDeposed(instance);
        const at = this.clock.now;
        const { name } = instance;
        record.executions.push({ attempt, instance: name, at, onDeposed, written, snapshot: [] });
      },
      onFinished: (result, refusal, databaseError) => {
        connection.once = undefined;
        connection.running = undefined;
        record.endedAt = this.clock.now;
        record.refusal = refusal;
        record.databaseError = databaseError;
        if (result.type === 'connection-lost') this.forget(id);
        this.send({ type: 'run-finished', requestId: request.id, result });
      },
    });
    connection.once.start();
  }

  /** The server learns that the connection is gone, and rolls back what was open on it. */
  private endSession(connection: OpenConnection): void {
    const { once, instance } = connection;
    this.deliver(this.clock.between(0.3, 2), instance, 'both-ways', () => once?.sessionEnded());
  }

  private forget(id: ConnectionId): void {
    const connection = this.connections.get(id);
    if (connection === undefined) return;
    this.connections.delete(id);
    connection.instance.connections -= 1;
  }

  private travel(effect: RunEffect, record: RequestRecord, connection: OpenConnection): void {
    const { clock } = this;
    const attempt = record.sentAt.length;
    const fate = clock.random();
    const { lossProbability } = connection.instance;
    const finish = (result: RunResult): void => {
      if (this.connections.get(effect.connectionId) !== connection) return;
      connection.running = undefined;
      if (result.type === 'connection-lost') this.forget(effect.connectionId);
      record.endedAt = clock.now;
      this.send({ type: 'run-finished', requestId: effect.requestId, result });
    };
    const lose = (bytesWritten: boolean): void => finish(lostResult(bytesWritten));
    if (fate < lossProbability) {
      clock.after(0.2, () => lose(false));
      return;
    }
    const arrival = clock.between(0.3, 2);
    this.deliver(arrival, connection.instance, 'both-ways', () => {
      if (!this.isWhole(connection)) return lose(true);
      const wait = Math.max(0, connection.instance.pausedUntil - clock.now);
      const service = record.request.hold === 'statement' ? [0.5, 5] : [5, 60];
      clock.after(wait + clock.between(service[0] ?? 0, service[1] ?? 0), () => {
        if (!this.isWhole(connection)) return lose(true);
        const result = this.execute(record, attempt, connection.instance);
        if (fate < 2 * lossProbability) return lose(true);
        this.deliver(clock.between(0.3, 2), connection.instance, 'answers', () => {
          if (this.isWhole(connection)) finish(result);
          else lose(true);
        });
      });
    });
  }

  /** Carries a message; what is cut off arrives when the cut is over, as TCP sends it again. */
  private deliver(
    delayMs: number,
    instance: SimulatedInstance,
    direction: 'both-ways' | 'answers',
    action: () => void,
  ): void {
    this.clock.after(delayMs, () => {
      const cut = direction === 'answers' ? this.isSilenced(instance) : this.isCutOff(instance);
      if (cut && instance.up) this.deliver(RETRANSMISSION_MS, instance, direction, action);
      else action();
    });
  }

  private isCutOff(instance: SimulatedInstance): boolean {
    return instance.ownerCut === 'both-ways' || this.cutOff.has(instance.name);
  }

  private isSilenced(instance: SimulatedInstance): boolean {
    return instance.ownerCut !== 'none' || this.cutOff.has(instance.name);
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
    const onDeposed = this.group.isDeposed(instance);
    const at = this.clock.now;
    if (!refused)
      record.executions.push({
        attempt,
        instance: instance.name,
        at,
        onDeposed,
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
      if (!instance.up) return this.send({ type: 'probe-failed', probeId });
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

  private lost(requestId: string, bytesWritten: boolean, mayHaveCommitted: boolean): void {
    const result: RunResult = { ...lostResult(bytesWritten), mayHaveCommitted };
    const record = this.records.get(requestId);
    if (record !== undefined) record.endedAt = this.clock.now;
    this.send({ type: 'run-finished', requestId, result });
  }

  private final(
    requestId: string,
    error: RequestRecord['finals'][number]['error'],
    position: RequestRecord['finals'][number]['position'],
  ): void {
    const record = this.records.get(requestId);
    if (record === undefined) return;
    const reported = error ?? record.refusal;
    const fromReplica = record.servedByReplica;
    record.finals.push({ at: this.clock.now, error: reported, position, fromReplica });
    const { onFinal } = this.work.get(requestId) ?? {};
    if (record.finals.length === 1) this.clock.after(0, () => onFinal?.(record));
  }

  private isWhole(connection: OpenConnection): boolean {
    const { instance, incarnation } = connection;
    return instance.up && instance.incarnation === incarnation;
  }

  private isSilent(instance: SimulatedInstance): boolean {
    return this.isSilenced(instance) || this.group.isPaused(instance);
  }

  private checkBudget(name: string): void {
    const open = [...this.connections.values()].filter((one) => one.instance.name === name);
    const budget = this.descriptions.get(name)?.connectionBudget ?? 0;
    if (open.length > budget) this.breach(`${open.length} connections to ${name}`);
  }

  private checkSlots(name: string): void {
    let running = 0;
    for (const connection of this.connections.values()) {
      if (connection.instance.name !== name || connection.running === undefined) continue;
      running += 1;
    }
    const slots = this.descriptions.get(name)?.slots ?? 0;
    if (running > slots) this.breach(`${running} requests at once on ${name}`);
  }

  private breach(message: string): void {
    this.history.breaches.push(message);
  }
}

function lostResult(bytesWritten: boolean): Extract<RunResult, { type: 'connection-lost' }> {
  return {
    type: 'connection-lost',
    anyBytesWritten: bytesWritten,
    anyBytesRelayed: false,
    mayHaveCommitted: bytesWritten,
  };
}
