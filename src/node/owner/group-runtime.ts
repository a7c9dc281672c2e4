/**
 * Carries out the effects of one group's state machine: opens and closes back-end connections, runs
 * requests on them, probes instances, and returns the results as events.
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

/** Clears the session state that a tenant left on a connection. */
const RESET_STATEMENT = 'DISCARD ALL';

/** Callbacks for changes that are logged. */
export interface GroupObserver {
  primaryChanged(change: Extract<GroupEffect, { type: 'primary-changed' }>): void;
}

/** Dependencies of the runtime. */
export interface GroupRuntimeOptions {
  readonly group: GroupName;
  readonly stateMachine: GroupStateMachine;
  readonly connector: BackendConnector;
  readonly now: () => Milliseconds;
  readonly observer: GroupObserver;
}

/** Carries out the effects of one group's state machine. */
export class GroupRuntime {
  readonly #options: GroupRuntimeOptions;
  readonly #work = new Map<RequestId, GroupWork>();
  readonly #connections = new Map<ConnectionId, BackendConnection>();
  readonly #runningWork = new Map<ConnectionId, GroupWork>();
  readonly #probes = new Map<InstanceName, InstanceProbe>();
  readonly #pendingEvents: GroupEvent[] = [];
  #isHandling = false;
  #timer: NodeJS.Timeout | undefined;
  #timerDue: Milliseconds | undefined;
  #isClosed = false;

  constructor(options: GroupRuntimeOptions) {
    this.#options = options;
  }

  /** Passes a request to the state machine; exactly one of `release` and `fail` is called later. */
  submit(request: GroupRequest, work: GroupWork): void {
    this.#work.set(request.id, work);
    this.#handle({ type: 'request-arrived', request });
  }

  /** The request's caller has disconnected. */
  abandon(requestId: RequestId): void {
    this.#handle({ type: 'request-abandoned', requestId });
  }

  /** Sets the instances of the machine list, with this owner's share of their connections. */
  setInstances(instances: readonly InstanceDescription[]): void {
    this.#closeProbesExcept(new Set(instances.map((instance) => instance.name)));
    this.#handle({ type: 'instances-changed', instances });
  }

  /** Passes a change of limits or the start of a drain to the state machine. */
  notify(event: Extract<GroupEvent, { type: 'limits-changed' | 'drain-started' }>): void {
    this.#handle(event);
  }

  statistics(): GroupStatistics {
    return this.#options.stateMachine.statistics();
  }

  /** Number of requests that have not ended yet. */
  get unfinishedCount(): number {
    return this.#work.size;
  }

  /** Closes every connection; later events are ignored. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer);
    for (const connection of this.#connections.values()) {
      connection.onClose = undefined;
      connection.close();
    }
    this.#connections.clear();
    this.#closeProbesExcept(new Set());
  }

  /** Queues events that arise while another is handled: the state machine is never re-entered. */
  #handle(event: GroupEvent): void {
    if (this.#isClosed) return;
    this.#pendingEvents.push(event);
    if (this.#isHandling) return;
    this.#isHandling = true;
    for (
      let next = this.#pendingEvents.shift();
      next !== undefined;
      next = this.#pendingEvents.shift()
    ) {
      const effects = this.#options.stateMachine.handle(next, this.#options.now());
      for (const effect of effects) this.#carryOut(effect);
    }
    this.#isHandling = false;
    this.#armTimer();
  }

  #armTimer(): void {
    const due = this.#options.stateMachine.nextDeadline();
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
        this.#removeWork(effect.requestId)?.fail(effect.error);
        return;
      case 'release':
        this.#removeWork(effect.requestId)?.release(effect.position);
        return;
      case 'probe':
        this.#probe(effect.probeId, effect.instance);
        return;
      case 'primary-changed':
        this.#options.observer.primaryChanged(effect);
        return;
    }
  }

  #removeWork(requestId: RequestId): GroupWork | undefined {
    const work = this.#work.get(requestId);
    this.#work.delete(requestId);
    return work;
  }

  #openConnection(effect: Extract<GroupEffect, { type: 'open-connection' }>): void {
    const { connectionId } = effect;
    this.#options.connector.connect(effect.instance, effect.databaseRole, effect.database).match(
      (connection) => this.#addConnection(connectionId, connection),
      (error) =>
        this.#handle({
          type: 'connection-open-failed',
          connectionId,
          refusedByLimit: error.refusedByLimit,
        }),
    );
  }

  #addConnection(connectionId: ConnectionId, connection: BackendConnection): void {
    if (this.#isClosed) {
      connection.close();
      return;
    }
    this.#connections.set(connectionId, connection);
    connection.onClose = () => this.#handleConnectionClosed(connectionId);
    this.#handle({ type: 'connection-opened', connectionId });
  }

  #handleConnectionClosed(connectionId: ConnectionId): void {
    if (!this.#connections.delete(connectionId)) return;
    this.#runningWork.get(connectionId)?.connectionClosed();
    this.#handle({ type: 'connection-closed', connectionId });
  }

  /** Closes a connection that the state machine did not ask to close, and reports that to it. */
  #closeAndReport(connectionId: ConnectionId, connection: BackendConnection): void {
    connection.onClose = undefined;
    connection.close();
    this.#handleConnectionClosed(connectionId);
  }

  #closeConnection(connectionId: ConnectionId): void {
    const connection = this.#connections.get(connectionId);
    if (connection === undefined) return;
    this.#connections.delete(connectionId);
    connection.onClose = undefined;
    connection.close();
    // A transaction that is idle between statements has no running batch that would report the
    // loss.
    this.#runningWork.get(connectionId)?.connectionClosed();
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
    this.#runningWork.set(connectionId, work);
    work.start({
      connection,
      onPrimary: effect.onPrimary,
      appendPositionQuery: effect.appendPositionQuery,
      setIdle: (idle) =>
        this.#handle({ type: idle ? 'transaction-idle' : 'transaction-busy', requestId }),
      closeConnection: () => this.#closeAndReport(connectionId, connection),
      finished: (result) => {
        this.#runningWork.delete(connectionId);
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
    probe.queryState().match(
      (state) => this.#handle({ type: 'probe-answered', probeId, state }),
      () => this.#handle({ type: 'probe-failed', probeId }),
    );
  }

  #closeProbesExcept(keptInstances: ReadonlySet<InstanceName>): void {
    for (const [instance, probe] of this.#probes) {
      if (keptInstances.has(instance)) continue;
      probe.close();
      this.#probes.delete(instance);
    }
  }
}
