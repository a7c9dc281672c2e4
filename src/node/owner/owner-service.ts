/**
 * The owner role of a node: one runtime for each database group that this node owns. Runtimes are
 * created and closed when the machine list or the members change.
 */

import { setTimeout as pause } from 'node:timers/promises';
import type { ConfigurationSnapshot, TenantPolicy } from '../../core/configuration/model.js';
import { DEFAULT_IDLE_TRANSACTION_TIMEOUT_MS } from '../../core/configuration/policy-schema.js';
import { NotRunError } from '../../core/errors.js';
import type {
  GroupStateMachine,
  GroupStatistics,
  InstanceDescription,
  TenantGroupLimits,
} from '../../core/group/contract.js';
import type { GroupName, GroupRequest, TenantName } from '../../core/request.js';
import type { Milliseconds } from '../../core/units.js';
import type { Logger } from '../../observability/logger.js';
import type { PeerStream, WireValue } from '../../peer/contract.js';
import type { DatabaseMachine } from '../../platform/contract.js';
import type { BackendConnector } from './backend-connector.js';
import { BatchReceiver } from './batch-transfer.js';
import { type GroupObserver, GroupRuntime } from './group-runtime.js';
import { encodeRequestError, type OpenMessage, type OwnerMessage, openSchema } from './messages.js';
import { OwnerStream } from './owner-stream.js';
import { openFromWire } from './wire-form.js';

/** Wait for a group's primary to become known. */
const WARM_UP_TIMEOUT_MS = 1500;
const WARM_UP_POLL_PERIOD_MS = 10;
/** When a gateway may retry after a node refused a request because it is not an owner. */
const NOT_OWNER_RETRY_DELAY_MS = 5;

/** Dependencies of the service. */
export interface OwnerServiceOptions {
  readonly connector: BackendConnector;
  readonly createStateMachine: (group: GroupName) => GroupStateMachine;
  /** Whether this node is one of the group's owners, according to its own view of the fleet. */
  readonly owns: (group: GroupName) => boolean;
  /** This owner's share of an instance's connections. */
  readonly connectionBudget: (machine: DatabaseMachine) => number;
  readonly now: () => Milliseconds;
  readonly logger: Logger;
}

/** Serves the groups that this node owns. */
export class OwnerService {
  readonly #options: OwnerServiceOptions;
  readonly #runtimes = new Map<GroupName, GroupRuntime>();
  /** Indexed by group, since the list has thousands of machines and is searched for each group. */
  #machinesByGroup: ReadonlyMap<GroupName, readonly DatabaseMachine[]> = new Map();
  #policiesByTenant: ReadonlyMap<TenantName, TenantPolicy> = new Map();
  #isDraining = false;
  #requestsAccepted = 0;
  #primaryChanges = 0;

  constructor(options: OwnerServiceOptions) {
    this.#options = options;
  }

  /** Handles a stream that a gateway opened for one statement or transaction. */
  accept(header: WireValue, stream: PeerStream): void {
    const parsed = openSchema.safeParse(openFromWire(header));
    if (!parsed.success) {
      stream.abort('malformed open message');
      return;
    }
    this.acceptOpen(parsed.data, stream);
  }

  /** Handles a stream of this process's own gateway, whose message needs no check. */
  acceptOpen(open: OpenMessage, stream: PeerStream): void {
    const receiver = new BatchReceiver((batch) => this.#submit({ ...open, batch }, stream));
    stream.onData = (data) => {
      if (!receiver.data(data)) stream.abort('unexpected data from gateway');
    };
    receiver.header(open.batch);
  }

  setMachines(machines: readonly DatabaseMachine[]): void {
    this.#machinesByGroup = groupMachines(machines);
    this.#options.connector.setMachines(machines);
    this.reconcile();
  }

  setConfiguration(snapshot: ConfigurationSnapshot): void {
    this.#policiesByTenant = snapshot.tenantsByName;
    for (const [group, runtime] of this.#runtimes) this.#sendLimits(group, runtime);
  }

  /**
   * Prepares a group before gateways use this owner; resolves once its primary is known or after a
   * timeout.
   */
  async warmUp(group: GroupName): Promise<void> {
    const runtime = this.#ensureRuntime(group);
    const limit = this.#options.now() + WARM_UP_TIMEOUT_MS;
    while (runtime?.statistics().primary === undefined && this.#options.now() < limit) {
      await pause(WARM_UP_POLL_PERIOD_MS);
    }
  }

  /** Creates, updates and closes runtimes to match the groups that this node owns now. */
  reconcile(): void {
    for (const group of this.#machinesByGroup.keys()) {
      if (this.#options.owns(group)) this.#ensureRuntime(group);
    }
    for (const [group, runtime] of this.#runtimes) this.#updateRuntime(group, runtime);
  }

  /** Closes runtimes of groups that are no longer owned, once their last request has ended. */
  closeUnownedGroups(): void {
    for (const [group, runtime] of this.#runtimes) {
      if (!this.#options.owns(group)) this.#closeIfIdle(group, runtime);
    }
  }

  /** Graceful shutdown: queued requests are refused as not run, running ones finish. */
  drain(): void {
    this.#isDraining = true;
    for (const runtime of this.#runtimes.values()) runtime.notify({ type: 'drain-started' });
  }

  get primaryChanges(): number {
    return this.#primaryChanges;
  }

  get unfinishedCount(): number {
    let unfinished = 0;
    for (const runtime of this.#runtimes.values()) unfinished += runtime.unfinishedCount;
    return unfinished;
  }

  statistics(): ReadonlyMap<GroupName, GroupStatistics> {
    return new Map([...this.#runtimes].map(([group, runtime]) => [group, runtime.statistics()]));
  }

  close(): void {
    for (const runtime of this.#runtimes.values()) runtime.close();
    this.#runtimes.clear();
  }

  #submit(open: OpenMessage, stream: PeerStream): void {
    const runtime = this.#runtimeFor(open.group);
    if (runtime === undefined) {
      const refusal = this.#isDraining
        ? new NotRunError('owner-stopping', 'the owner is stopping', NOT_OWNER_RETRY_DELAY_MS)
        : new NotRunError(
            'owner-unreachable',
            'not an owner of the group',
            NOT_OWNER_RETRY_DELAY_MS,
          );
      stream.send(encodeRequestError(refusal));
      stream.end();
      return;
    }
    this.#requestsAccepted += 1;
    const request = this.#requestOf(open, `${stream.id}/${this.#requestsAccepted}`);
    const work = new OwnerStream(stream, open, {
      abandoned: () => runtime.abandon(request.id),
      settled: (message) => this.#logEnd(open, message),
      idleTransactionTimeoutMs: this.#idleTransactionTimeoutMs(open.tenant),
    });
    runtime.submit(request, work);
  }

  #logEnd(open: OpenMessage, message: OwnerMessage): void {
    this.#options.logger.debug('request settled', () => {
      const { requestId, group, tenant } = open;
      const end = message.type === 'error' ? message.code : message.type;
      return { requestId, group, tenant, end };
    });
  }

  #idleTransactionTimeoutMs(tenant: TenantName): Milliseconds {
    const policy = this.#policiesByTenant.get(tenant);
    return policy?.idleTransactionTimeoutMs ?? DEFAULT_IDLE_TRANSACTION_TIMEOUT_MS;
  }

  #requestOf(open: OpenMessage, id: string): GroupRequest {
    return {
      id,
      tenant: open.tenant,
      databaseRole: open.databaseRole,
      database: open.database,
      access: open.access,
      kind: open.kind,
      weight: open.weight,
      stalenessBoundMs: open.stalenessBoundMs,
      repeatable: open.repeatable,
      session: open.session,
      deadline: this.#options.now() + open.remainingMs,
      hold: open.hold,
      zone: open.zone,
    };
  }

  #runtimeFor(group: GroupName): GroupRuntime | undefined {
    if (this.#isDraining) return undefined;
    if (!this.#options.owns(group)) return undefined;
    return this.#ensureRuntime(group);
  }

  #ensureRuntime(group: GroupName): GroupRuntime | undefined {
    const existing = this.#runtimes.get(group);
    if (existing !== undefined) return existing;
    const instances = this.#instancesOf(group);
    if (instances.length === 0) return undefined;
    const runtime = new GroupRuntime({
      group,
      stateMachine: this.#options.createStateMachine(group),
      connector: this.#options.connector,
      now: this.#options.now,
      observer: {
        primaryChanged: (change) => this.#onPrimaryChanged(change),
      },
    });
    this.#runtimes.set(group, runtime);
    this.#sendLimits(group, runtime);
    runtime.setInstances(instances);
    return runtime;
  }

  #onPrimaryChanged(change: Parameters<GroupObserver['primaryChanged']>[0]): void {
    this.#primaryChanges += 1;
    this.#options.logger.info('primary changed', { ...change });
  }

  #updateRuntime(group: GroupName, runtime: GroupRuntime): void {
    const isOwned = this.#machinesByGroup.has(group) && this.#options.owns(group);
    if (isOwned) {
      runtime.setInstances(this.#instancesOf(group));
      return;
    }
    this.#closeIfIdle(group, runtime);
  }

  #closeIfIdle(group: GroupName, runtime: GroupRuntime): void {
    if (runtime.unfinishedCount > 0) return;
    runtime.close();
    this.#runtimes.delete(group);
  }

  #instancesOf(group: GroupName): InstanceDescription[] {
    return (this.#machinesByGroup.get(group) ?? []).map((machine) => ({
      name: machine.name,
      zone: machine.zone,
      slots: machine.slots,
      connectionBudget: this.#options.connectionBudget(machine),
      leaving: machine.state === 'leaving',
    }));
  }

  #sendLimits(group: GroupName, runtime: GroupRuntime): void {
    const limits = [...this.#policiesByTenant.values()]
      .filter((policy) => policy.databases.some((access) => access.group === group))
      .map(limitsOf);
    runtime.notify({ type: 'limits-changed', limits });
  }
}

function limitsOf(policy: TenantPolicy): TenantGroupLimits {
  return {
    tenant: policy.tenant,
    maxInFlight: policy.enabled ? policy.maxInFlight : 0,
    maxQueued: policy.maxQueued,
    queueWeight: policy.queueWeight,
    maxConnections: policy.maxBackendConnections,
    requestsPerSecond: policy.requestsPerSecond,
    burst: policy.burst,
  };
}

function groupMachines(
  machines: readonly DatabaseMachine[],
): ReadonlyMap<GroupName, readonly DatabaseMachine[]> {
  const groups = new Map<GroupName, DatabaseMachine[]>();
  for (const machine of machines) {
    const groupMembers = groups.get(machine.group);
    if (groupMembers === undefined) groups.set(machine.group, [machine]);
    else groupMembers.push(machine);
  }
  return groups;
}
