/**
 * Carries out the effects of one group's state machine: opens and closes back-end connections, runs
 * requests on them, probes instances, and feeds what happened back as events.
 */
import type {
  ConnectionId,
  GroupEffect,
  GroupEvent,
  GroupStateMachine,
  GroupStatistics,
  InstanceDescription,
  ProbeId,
  RunResult,
} from '../../core/group/contract.js';
import type { GroupName, GroupRequest, InstanceName, RequestId } from '../../core/request.js';
import type { Milliseconds } from '../../core/units.js';
import type { BackendConnection } from '../../postgres/contract.js';
import type { BackendConnector } from './backend-connector.js';
import { InstanceProbe } from './instance-probe.js';
import type { GroupWork } from './work.js';

/** Statement that clears what a tenant left on a connection. */
const RESET_STATEMENT = 'DISCARD ALL';

/** Told of changes that are worth a log line. */
export interface GroupObserver {
  primaryChanged(change: Extract<GroupEffect, { type: 'primary-changed' }>): void;
}

/** What the runtime is made of. */
export interface GroupRuntimeOptions {
  readonly group: GroupName;
  readonly machine: GroupStateMachine;
  readonly connector: BackendConnector;
  readonly now: () => Milliseconds;
  readonly observer: GroupObserver;
}

/** Carries out the effects of one group's state machine. */
export class GroupRuntime {
  readonly #options: GroupRuntimeOptions;
  readonly #work = new Map<RequestId, GroupWork>();
  readonly #connections = new Map<ConnectionId, BackendConnection>();
  readonly #running = new Map<ConnectionId, GroupWork>();
  readonly #probes = new Map<InstanceName, InstanceProbe>();
  readonly #pending: GroupEvent[] = [];
  #handling = false;
  #timer: NodeJS.Timeout | undefined;
  #timerDue: Milliseconds | undefined;
  #closed = false;

  constructor(options: GroupRuntimeOptions) {
    this.#options = options;
  }

  /** Hands a request to the state machine; exactly one of `release` and `fail` follows. */
  submit(request: GroupRequest, work: GroupWork): void {
    this.#work.set(request.id, work);
    this.#handle({ type: 'request-arrived', request });
  }

  /** The caller has gone. */
  abandon(requestId: RequestId): void {
    this.#handle({ type: 'request-abandoned', requestId });
  }

  /** Instances as the machine list tells them, with this owner's share of their connections. */
  setInstances(instances: readonly InstanceDescription[]): void {
    this.#dropProbesExcept(new Set(instances.map((instance) => instance.name)));
    this.#handle({ type: 'instances-changed', instances });
  }

  /** Passes any other event on to the state machine. */
  notify(event: Extract<GroupEvent, { type: 'limits-changed' | 'drain-started' }>): void {
    this.#handle(event);
  }

  statistics(): GroupStatistics {
    return this.#options.machine.statistics();
  }

  /** Requests that have not ended yet. */
  get unfinished(): number {
    return this.#work.size;
  }

  /** Closes every connection; nothing is handled any more. */
  close(): void {
    this.#closed = true;
    clearTimeout(this.#timer);
    for (const connection of this.#connections.values()) {
      connection.onClose = undefined;
      connection.close();
    }
    this.#connections.clear();
    this.#dropProbesExcept(new Set());
  }

  /** Events raised while an event is handled wait their turn: the machine is never re-entered. */
  #handle(event: GroupEvent): void {
    if (this.#closed) return;
    this.#pending.push(event);
    if (this.#handling) return;
    this.#handling = true;
    for (let next = this.#pending.shift(); next !== undefined; next = this.#pending.shift()) {
      const effects = this.#options.machine.handle(next, this.#options.now());
      for (const effect of effects) this.#carryOut(effect);
    }
    this.#handling = false;
    this.#armTimer();
  }

  #armTimer(): void {
    const due = this.#options.machine.nextDeadline();
    if (due === this.#timerDue && this.#timer !== undefined) return;
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#timerDue = due;
    if (due === undefined) return;
    const delay = Math.max(0, Math.ceil(due - this.#options.now()));
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#handle({ type: 'tick' });
    }, delay);
  }

  #carryOut(effect: GroupEffect): void {
    switch (effect.type) {
      case 'open-connection':
        this.#openConnection(effect);
        return;
      case 'close-connection':
        this.#closeConnection(effect.connectionId);
        return;
      case 'interrupt-if-silent':
        this.#work.get(effect.requestId)?.interruptIfSilent();
        return;
      case 'reset-connection':
        this.#resetConnection(effect.connectionId);
        return;
      case 'run':
        this.#run(effect);
        return;
      case 'fail':
        this.#takeWork(effect.requestId)?.fail(effect.error);
        return;
      case 'release':
        this.#takeWork(effect.requestId)?.release(effect.position);
        return;
      case 'probe':
        this.#probe(effect.probeId, effect.instance);
        return;
      case 'primary-changed':
        this.#options.observer.primaryChanged(effect);
        return;
    }
  }

  #takeWork(requestId: RequestId): GroupWork | undefined {
    const work = this.#work.get(requestId);
    this.#work.delete(requestId);
    return work;
  }

  #openConnection(effect: Extract<GroupEffect, { type: 'open-connection' }>): void {
    const { connectionId } = effect;
    this.#options.connector.connect(effect.instance, effect.databaseRole, effect.database).match(
      (connection) => this.#adopt(connectionId, connection),
      (error) =>
        this.#handle({
          type: 'connection-open-failed',
          connectionId,
          refusedByLimit: error.refusedByLimit,
        }),
    );
  }

  #adopt(connectionId: ConnectionId, connection: BackendConnection): void {
    if (this.#closed) {
      connection.close();
      return;
    }
    this.#connections.set(connectionId, connection);
    connection.onClose = () => this.#lost(connectionId);
    this.#handle({ type: 'connection-opened', connectionId });
  }

  #lost(connectionId: ConnectionId): void {
    if (!this.#connections.delete(connectionId)) return;
    this.#running.get(connectionId)?.connectionClosed();
    this.#handle({ type: 'connection-closed', connectionId });
  }

  /** Closed by this side without the state machine having asked for it. */
  #closeAndReport(connectionId: ConnectionId, connection: BackendConnection): void {
    connection.onClose = undefined;
    connection.close();
    this.#lost(connectionId);
  }

  #closeConnection(connectionId: ConnectionId): void {
    const connection = this.#connections.get(connectionId);
    if (connection === undefined) return;
    this.#connections.delete(connectionId);
    connection.onClose = undefined;
    connection.close();
    // A transaction that is idle between its statements has no batch that would tell of the loss.
    this.#running.get(connectionId)?.connectionClosed();
  }

  #resetConnection(connectionId: ConnectionId): void {
    const connection = this.#connections.get(connectionId);
    if (connection === undefined) return;
    connection.query(RESET_STATEMENT).match(
      () => this.#handle({ type: 'connection-reset', connectionId }),
      () => this.#closeAndReport(connectionId, connection),
    );
  }

  #run(effect: Extract<GroupEffect, { type: 'run' }>): void {
    const { requestId, connectionId } = effect;
    const work = this.#work.get(requestId);
    const connection = this.#connections.get(connectionId);
    if (work === undefined || connection === undefined) {
      const result: RunResult = {
        type: 'connection-lost',
        anyBytesWritten: false,
        anyBytesRelayed: false,
        mayHaveCommitted: false,
      };
      this.#handle({ type: 'run-finished', requestId, result });
      return;
    }
    this.#running.set(connectionId, work);
    work.start({
      connection,
      onPrimary: effect.onPrimary,
      appendPositionQuery: effect.appendPositionQuery,
      setIdle: (idle) =>
        this.#handle({ type: idle ? 'transaction-idle' : 'transaction-busy', requestId }),
      closeConnection: () => this.#closeAndReport(connectionId, connection),
      finished: (result) => {
        this.#running.delete(connectionId);
        this.#handle({ type: 'run-finished', requestId, result });
      },
    });
  }

  #probe(probeId: ProbeId, instance: InstanceName): void {
    let probe = this.#probes.get(instance);
    if (probe === undefined) {
      probe = new InstanceProbe(instance, this.#options.connector);
      this.#probes.set(instance, probe);
    }
    probe.ask().match(
      (state) => this.#handle({ type: 'probe-answered', probeId, state }),
      () => this.#handle({ type: 'probe-failed', probeId }),
    );
  }

  #dropProbesExcept(kept: ReadonlySet<InstanceName>): void {
    for (const [instance, probe] of this.#probes) {
      if (kept.has(instance)) continue;
      probe.close();
      this.#probes.delete(instance);
    }
  }
}
