/**
 * Connections of one instance that its owners lend, and reads that they run. Owners are asked one after
 * the other until one serves: before a lease is granted nothing is sent to the instance, and a read may
 * be repeated, so that another may always be asked.
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

/** An owner that has said nothing, not even that the request came, is taken for lost after this. */
const SILENCE_MS: Milliseconds = 250;
/** Orders that are remembered; more tenants than this are worked out again. */
const MOST_ACCOUNTS = 512;

export interface OwnerLessorOptions {
  readonly instance: InstanceEntry;
  /** In the order in which they are asked. */
  readonly owners: readonly ReachableNode[];
  /** The same, in the order for one tenant where connections are of one tenant each. */
  readonly ownersFor: (account: string) => readonly ReachableNode[];
  readonly transport: PeerTransport;
  readonly health: OwnerHealth;
  readonly counters: RelayCounters;
  readonly now: () => Milliseconds;
}

/** Not granted, whatever was asked for: another owner may be asked. */
type Unserved =
  | { readonly type: 'refused'; readonly refusal: LeaseRefusal }
  /** Not reached, lost, or silent. */
  | { readonly type: 'no-answer' };

/** What became of one stream. */
type StreamOutcome =
  | { readonly type: 'granted'; readonly connection: LeasedConnection }
  | { readonly type: 'answered'; readonly answer: StatementAnswer }
  /** The connection to the instance ended, or it did not answer in time. */
  | { readonly type: 'lost' }
  | Unserved;

/** What an event of the owner says of a stream that waits; nothing yet if undefined. */
type EventHandlers = {
  readonly [Type in LeaseEvent['type']]: (
    event: Extract<LeaseEvent, { type: Type }>,
    owner: ReachableNode,
    stream: PeerStream,
  ) => StreamOutcome | undefined;
};

export class OwnerLessor implements ConnectionLender {
  readonly #byAccount = new Map<string, readonly ReachableNode[]>();
  readonly #handlers: EventHandlers = {
    queued: () => undefined,
    granted: (event, owner, stream) => ({
      type: 'granted',
      connection: this.#connection(owner, stream, event),
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

  /** What the instance was sent already is waited for: it runs with the session's values. */
  readonly #cancellers: Readonly<
    Record<StreamRequest['type'], (stream: PeerStream, giveUp: () => void) => void>
  > = {
    lease: (_stream, giveUp) => giveUp(),
    read: (stream) => stream.send(CANCEL_READ),
  };

  constructor(private readonly options: OwnerLessorOptions) {}

  async acquire(request: ConnectionRequest): Promise<Result<InstanceConnection, AcquireError>> {
    const { counters } = this.options;
    const asked = await this.#askInTurn(request, (owner, waitMs) => {
      counters.leasesAsked += 1;
      const header = this.#headerOf(request, waitMs);
      return this.#open(owner, { type: 'lease', ...header }, request, waitMs);
    });
    if (asked.isErr()) return err(asked.error);
    if (asked.value.type === 'granted') return ok(asked.value.connection);
    return err(this.#unreachable('no owner lends a connection'));
  }

  async read(read: OwnerRead): Promise<Result<StatementAnswer, OwnerReadError>> {
    const { counters, instance } = this.options;
    const { prepared, message } = read;
    const asked = await this.#askInTurn(read, (owner, waitMs) => {
      counters.readsAsked += 1;
      const header = this.#headerOf(read, waitMs);
      return this.#open(owner, { type: 'read', ...header, prepared, message }, read, waitMs);
    });
    if (asked.isErr()) return err(asked.error);
    if (asked.value.type === 'answered') return ok(asked.value.answer);
    return err(new InstanceConnectionLostError(`${instance.id}: no answer through its owner`));
  }

  /** Asks owners one after the other until one serves; the error if none does. */
  async #askInTurn(
    request: ConnectionRequest,
    ask: (owner: ReachableNode, waitMs: Milliseconds) => Promise<StreamOutcome>,
  ): Promise<Result<Exclude<StreamOutcome, Unserved>, AcquireError>> {
    const { instance, health, counters, now } = this.options;
    for (const owner of this.#inOrder(request.account)) {
      const waitMs = request.deadline - now();
      if (waitMs <= 0 || isAnyCancelled(request.cancelledBy)) break;
      const outcome = await ask(owner, waitMs);
      if (outcome.type !== 'refused' && outcome.type !== 'no-answer') return ok(outcome);
      if (isAnyCancelled(request.cancelledBy)) break;
      counters.leasesRefused += 1;
      const error = outcome.type === 'refused' && finalError(instance.id, outcome.refusal);
      if (error) return err(error);
      health.noteFailure(owner.nodeId);
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
    const owner = this.#inOrder()[0];
    if (owner === undefined) return undefined;
    const body = { service: instance.service, instanceId: instance.id };
    const answer = await transport.call(owner, POSITION_METHOD, body, timeoutMs);
    if (answer.isErr()) {
      health.noteFailure(owner.nodeId);
      return undefined;
    }
    health.noteHeard(owner.nodeId);
    return parsePosition(answer.value);
  }

  #ownersFor(account: string): readonly ReachableNode[] {
    const known = this.#byAccount.get(account);
    if (known !== undefined) return known;
    const owners = this.options.ownersFor(account);
    if (this.#byAccount.size >= MOST_ACCOUNTS) this.#byAccount.clear();
    this.#byAccount.set(account, owners);
    return owners;
  }

  /** Those that failed lately come last; the order is kept among the others. */
  #inOrder(account?: string): readonly ReachableNode[] {
    const { health } = this.options;
    const owners = account === undefined ? this.options.owners : this.#ownersFor(account);
    const avoided = owners.filter(({ nodeId }) => health.isAvoided(nodeId));
    return [...owners.filter((owner) => !avoided.includes(owner)), ...avoided];
  }

  #open(
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
      let stopWaiting = timeoutAfterInput(Math.min(SILENCE_MS, waitMs), giveUp);
      const stopListening = listenToAll(cancelledBy, () =>
        this.#cancellers[header.type](stream, giveUp),
      );
      stream.onClose = () => settle({ type: 'no-answer' });
      stream.onMessage = (message) => {
        health.noteHeard(owner.nodeId);
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
        stopWaiting = timeoutAfterInput(waitMs + SILENCE_MS, giveUp);
      };
    });
  }

  #connection(
    owner: ReachableNode,
    stream: PeerStream,
    { values, preparedNames }: Extract<LeaseEvent, { type: 'granted' }>,
  ): LeasedConnection {
    const { health, counters, now } = this.options;
    const connection = new LeasedConnection({
      ...{ stream, values, preparedNames, now },
      isOwnerSilentSince: (time) => health.isSilentSince(owner.nodeId, time),
      onGivenUp: () => {
        if (connection.isOwnerSilent) health.noteFailure(owner.nodeId);
      },
      onOwnerLost: () => {
        counters.leasesLost += 1;
        health.noteFailure(owner.nodeId);
      },
    });
    stream.onMessage = (message) => {
      health.noteHeard(owner.nodeId);
      connection.receive(parseLeaseEvent(message));
    };
    return connection;
  }
}

/** The error to end with, if another owner would say the same. */
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
