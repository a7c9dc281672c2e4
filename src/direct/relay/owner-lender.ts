/**
 * Borrows connections to one instance from its owners, and has them run reads. Owners are tried one after
 * the other until one serves. Trying another is always safe: nothing is sent to the instance before a lease
 * is granted, and a read may be repeated.
 */
import { err, ok, type Result } from 'neverthrow';
import type { ReachableNode } from '../../core/ownership/owner-roster.js';
import type { Position } from '../../core/position.js';
import type { StatementAnswer } from '../../core/statements/statement.js';
import type { Milliseconds } from '../../core/units.js';
import type { PeerStream, PeerTransport } from '../../peer/contract.js';
import { isAnyCancelled, listenToAll } from '../cancellation.js';
import type { InstanceEntry } from '../contract.js';
import {
  InstanceConnectError,
  InstanceConnectionLostError,
  InstanceOwnersUnreachableError,
  InstanceQueueFullError,
  InstanceWaitTimeoutError,
} from '../errors.js';
import type { InstanceConnection } from '../instance-connection.js';
import type { AcquireError, ConnectionRequest } from '../instance-pool.js';
import { parsePosition } from '../position-form.js';
import { timeoutAfterInput } from '../within.js';
import {
  CANCEL_READ,
  type ConnectionLender,
  type LeaseEvent,
  type LeaseRefusal,
  type LeaseRequest,
  type OwnerRead,
  type OwnerReadError,
  POSITION_METHOD,
  type RelayCounters,
  type StreamRequest,
} from './contract.js';
import { LeasedConnection } from './leased-connection.js';
import { parseLeaseEvent } from './messages.js';
import type { OwnerHealth } from './owner-health.js';

/** An owner that has sent nothing for this time, not even that it received the request, counts as lost. */
const SILENCE_TIMEOUT_MS: Milliseconds = 250;
/** Maximum cached owner orders, one per tenant; beyond it the cache is cleared. */
const MAX_ACCOUNTS = 512;

export interface OwnerLenderOptions {
  readonly instance: InstanceEntry;
  /** In the order in which they are tried. */
  readonly owners: readonly ReachableNode[];
  /** The owners in the order for one tenant, for use where each connection belongs to one tenant. */
  readonly ownersFor: (account: string) => readonly ReachableNode[];
  readonly transport: PeerTransport;
  readonly health: OwnerHealth;
  readonly counters: RelayCounters;
  readonly now: () => Milliseconds;
}

/** The owner did not serve the request; another one may be tried. */
type Unserved =
  | { readonly type: 'refused'; readonly refusal: LeaseRefusal }
  /** The owner was unreachable, the link was lost, or no response came in time. */
  | { readonly type: 'no-answer' };

/** Outcome of one stream. */
type StreamOutcome =
  | { readonly type: 'granted'; readonly connection: LeasedConnection }
  | { readonly type: 'answered'; readonly answer: StatementAnswer }
  /** The connection to the instance ended, or the instance did not respond in time. */
  | { readonly type: 'lost' }
  | Unserved;

/** Handlers of an owner's events on a waiting stream; they return its outcome, or undefined if it goes on waiting. */
type EventHandlers = {
  readonly [Type in LeaseEvent['type']]: (
    event: Extract<LeaseEvent, { type: Type }>,
    owner: ReachableNode,
    stream: PeerStream,
  ) => StreamOutcome | undefined;
};

export class OwnerLender implements ConnectionLender {
  readonly #ownersByAccount = new Map<string, readonly ReachableNode[]>();
  readonly #handlers: EventHandlers = {
    queued: () => undefined,
    granted: (event, owner, stream) => ({
      type: 'granted',
      connection: this.#createConnection(owner, stream, event),
    }),
    refused: (refusal, _owner, stream) => {
      stream.end();
      return { type: 'refused', refusal };
    },
    answers: ({ answers: [answer] }, _owner, stream) => {
      stream.end();
      return answer === undefined ? { type: 'no-answer' } : { type: 'answered', answer };
    },
    lost: (_event, _owner, stream) => {
      stream.end();
      return { type: 'lost' };
    },
  };

  /** Cancel a waiting request. A read is still awaited: the instance may be running it already, with the session's values. */
  readonly #cancellers: Readonly<
    Record<StreamRequest['type'], (stream: PeerStream, giveUp: () => void) => void>
  > = {
    lease: (_stream, giveUp) => giveUp(),
    read: (stream) => stream.send(CANCEL_READ),
  };

  constructor(private readonly options: OwnerLenderOptions) {}

  async acquire(request: ConnectionRequest): Promise<Result<InstanceConnection, AcquireError>> {
    const { counters } = this.options;
    const outcome = await this.#requestInTurn(request, (owner, waitMs) => {
      counters.leasesAsked += 1;
      const header = this.#headerOf(request, waitMs);
      return this.#openStream(owner, { type: 'lease', ...header }, request, waitMs);
    });
    if (outcome.isErr()) return err(outcome.error);
    if (outcome.value.type === 'granted') return ok(outcome.value.connection);
    return err(this.#unreachable('no owner lends a connection'));
  }

  async read(read: OwnerRead): Promise<Result<StatementAnswer, OwnerReadError>> {
    const { counters, instance } = this.options;
    const { prepared, message } = read;
    const outcome = await this.#requestInTurn(read, (owner, waitMs) => {
      counters.readsAsked += 1;
      const header = this.#headerOf(read, waitMs);
      return this.#openStream(owner, { type: 'read', ...header, prepared, message }, read, waitMs);
    });
    if (outcome.isErr()) return err(outcome.error);
    if (outcome.value.type === 'answered') return ok(outcome.value.answer);
    return err(new InstanceConnectionLostError(`${instance.id}: no answer through its owner`));
  }

  /** Tries owners one after the other until one serves; an error if none does. */
  async #requestInTurn(
    request: ConnectionRequest,
    openStream: (owner: ReachableNode, waitMs: Milliseconds) => Promise<StreamOutcome>,
  ): Promise<Result<Exclude<StreamOutcome, Unserved>, AcquireError>> {
    const { instance, health, counters, now } = this.options;
    for (const owner of this.#ownersInOrder(request.account)) {
      const waitMs = request.deadline - now();
      if (waitMs <= 0 || isAnyCancelled(request.cancelledBy)) break;
      const outcome = await openStream(owner, waitMs);
      if (outcome.type !== 'refused' && outcome.type !== 'no-answer') return ok(outcome);
      if (isAnyCancelled(request.cancelledBy)) break;
      counters.leasesRefused += 1;
      const error = outcome.type === 'refused' && finalError(instance.id, outcome.refusal);
      if (error) return err(error);
      health.recordFailure(owner.nodeId);
    }
    return err(this.#unreachable('no owner lends a connection'));
  }

  #unreachable(reason: string): InstanceOwnersUnreachableError {
    return new InstanceOwnersUnreachableError(`${this.options.instance.id}: ${reason}`);
  }

  #headerOf(
    {
      tenant,
      account,
      priority,
      policy,
      values,
      latencyTargetAt,
      isTransaction,
    }: ConnectionRequest,
    waitMs: Milliseconds,
  ): Omit<LeaseRequest, 'type'> {
    const { service, id: instanceId } = this.options.instance;
    const aimMs =
      latencyTargetAt === undefined ? undefined : Math.round(latencyTargetAt - this.options.now());
    return {
      ...{ service, instanceId, tenant, priority, policy, values: [...values], waitMs },
      ...(aimMs === undefined ? {} : { aimMs }),
      ...(isTransaction === true ? { isTransaction } : {}),
      ...(account === undefined ? {} : { account }),
    };
  }

  async position(timeoutMs: Milliseconds): Promise<Position | undefined> {
    const { instance, transport, health } = this.options;
    const owner = this.#ownersInOrder()[0];
    if (owner === undefined) return undefined;
    const body = { service: instance.service, instanceId: instance.id };
    const response = await transport.call(owner, POSITION_METHOD, body, timeoutMs);
    if (response.isErr()) {
      health.recordFailure(owner.nodeId);
      return undefined;
    }
    health.recordReceived(owner.nodeId);
    return parsePosition(response.value);
  }

  #ownersFor(account: string): readonly ReachableNode[] {
    const known = this.#ownersByAccount.get(account);
    if (known !== undefined) return known;
    const owners = this.options.ownersFor(account);
    if (this.#ownersByAccount.size >= MAX_ACCOUNTS) this.#ownersByAccount.clear();
    this.#ownersByAccount.set(account, owners);
    return owners;
  }

  /** The owners in their order, with those that failed recently last. */
  #ownersInOrder(account?: string): readonly ReachableNode[] {
    const { health } = this.options;
    const owners = account === undefined ? this.options.owners : this.#ownersFor(account);
    const avoided = owners.filter(({ nodeId }) => health.isAvoided(nodeId));
    return [...owners.filter((owner) => !avoided.includes(owner)), ...avoided];
  }

  #openStream(
    owner: ReachableNode,
    header: StreamRequest,
    { cancelledBy }: ConnectionRequest,
    waitMs: Milliseconds,
  ): Promise<StreamOutcome> {
    const { transport, health } = this.options;
    const stream = transport.openStream(owner, header);
    return new Promise((resolve) => {
      const settle = (outcome: StreamOutcome): void => {
        stopWaiting();
        stopListening();
        resolve(outcome);
      };
      const giveUp = (): void => {
        stream.abort('given up');
        settle({ type: 'no-answer' });
      };
      let stopWaiting = timeoutAfterInput(Math.min(SILENCE_TIMEOUT_MS, waitMs), giveUp);
      const stopListening = listenToAll(cancelledBy, () =>
        this.#cancellers[header.type](stream, giveUp),
      );
      stream.onClose = () => settle({ type: 'no-answer' });
      stream.onMessage = (message) => {
        health.recordReceived(owner.nodeId);
        const event = parseLeaseEvent(message);
        if (event === undefined) {
          giveUp();
          return;
        }
        const handle = this.#handlers[event.type] as (
          ...args: [LeaseEvent, ReachableNode, PeerStream]
        ) => StreamOutcome | undefined;
        const outcome = handle(event, owner, stream);
        if (outcome !== undefined) {
          settle(outcome);
          return;
        }
        stopWaiting();
        stopWaiting = timeoutAfterInput(waitMs + SILENCE_TIMEOUT_MS, giveUp);
      };
    });
  }

  #createConnection(
    owner: ReachableNode,
    stream: PeerStream,
    { values, preparedNames }: Extract<LeaseEvent, { type: 'granted' }>,
  ): LeasedConnection {
    const { health, counters, now } = this.options;
    const connection = new LeasedConnection({
      ...{ stream, values, preparedNames, now },
      isOwnerSilentSince: (time) => health.isSilentSince(owner.nodeId, time),
      onAbandoned: () => {
        if (connection.isOwnerSilent) health.recordFailure(owner.nodeId);
      },
      onOwnerLost: () => {
        counters.leasesLost += 1;
        health.recordFailure(owner.nodeId);
      },
    });
    stream.onMessage = (message) => {
      health.recordReceived(owner.nodeId);
      connection.receive(parseLeaseEvent(message));
    };
    return connection;
  }
}

/** The error of a refusal that every other owner would repeat; undefined if another one may serve. */
function finalError(instanceId: string, refusal: LeaseRefusal): AcquireError | undefined {
  switch (refusal.reason) {
    case 'unreachable':
      return new InstanceConnectError(`${instanceId}: its owner can't reach it`, refusal.answer);
    case 'queue-full':
      return new InstanceQueueFullError(`${instanceId}: too many wait at its owner`);
    case 'no-connection':
    case 'unusable':
      return new InstanceWaitTimeoutError(`${instanceId}: its owner gives no connection`);
    case 'stopping':
    case 'not-owner':
    case 'unknown-instance':
      return undefined;
  }
}
