/**
 * Connections of one instance that its owners lend. Owners are asked one after the other until one
 * grants: nothing is sent to the instance before that, so that another may always be asked.
 */
import { err, ok, type Result } from 'neverthrow';
import type { ReachableNode } from '../../core/ownership/owner-roster.js';
import type { Position } from '../../core/position.js';
import type { Milliseconds } from '../../core/units.js';
import type { PeerStream, PeerTransport } from '../../peer/contract.js';
import type { InstanceEntry } from '../contract.js';
import {
  InstanceConnectError,
  InstanceOwnersUnreachableError,
  InstanceWaitTimeoutError,
} from '../errors.js';
import type { InstanceConnection } from '../instance-connection.js';
import type { AcquireError, ConnectionRequest } from '../instance-pool.js';
import {
  type ConnectionLessor,
  type LeaseEvent,
  type LeaseRefusal,
  type LeaseRequest,
  POSITION_METHOD,
  type RelayCounters,
} from './contract.js';
import { LeasedConnection } from './leased-connection.js';
import { parseLeaseEvent, parsePosition } from './messages.js';
import type { OwnerHealth } from './owner-health.js';

/** An owner that has not even said that the request came is taken for lost after this. */
const SILENCE_MS: Milliseconds = 250;

export interface OwnerLessorOptions {
  readonly instance: InstanceEntry;
  /** In the order in which they are asked. */
  readonly owners: readonly ReachableNode[];
  readonly transport: PeerTransport;
  readonly health: OwnerHealth;
  readonly counters: RelayCounters;
  readonly now: () => Milliseconds;
}

/** What became of one request for a lease. */
type LeaseOutcome =
  | { readonly type: 'granted'; readonly connection: LeasedConnection }
  | { readonly type: 'refused'; readonly refusal: LeaseRefusal }
  /** Not reached, lost, or silent. */
  | { readonly type: 'no-answer' };

export class OwnerLessor implements ConnectionLessor {
  constructor(private readonly options: OwnerLessorOptions) {}

  async acquire(request: ConnectionRequest): Promise<Result<InstanceConnection, AcquireError>> {
    const { instance, health, counters, now } = this.options;
    for (const owner of this.#inOrder()) {
      const waitMs = request.deadline - now();
      if (waitMs <= 0) break;
      counters.leasesAsked += 1;
      const outcome = await this.#lease(owner, request, waitMs);
      if (outcome.type === 'granted') return ok(outcome.connection);
      counters.leasesRefused += 1;
      const error = outcome.type === 'refused' && finalError(instance.id, outcome.refusal);
      if (error) return err(error);
      health.noteFailure(owner.nodeId);
    }
    return err(new InstanceOwnersUnreachableError(`${instance.id}: no owner lends a connection`));
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

  /** Those that failed lately come last; the order is kept among the others. */
  #inOrder(): readonly ReachableNode[] {
    const { owners, health } = this.options;
    const avoided = owners.filter(({ nodeId }) => health.isAvoided(nodeId));
    return [...owners.filter((owner) => !avoided.includes(owner)), ...avoided];
  }

  #lease(
    owner: ReachableNode,
    request: ConnectionRequest,
    waitMs: Milliseconds,
  ): Promise<LeaseOutcome> {
    const { instance, transport, health } = this.options;
    const { tenant, priority, values } = request;
    const header: LeaseRequest = {
      ...{ type: 'lease', service: instance.service, instanceId: instance.id },
      ...{ tenant, priority, values: [...values], waitMs },
    };
    const stream = transport.openStream(owner, header);
    return new Promise((resolve) => {
      const settle = (outcome: LeaseOutcome): void => {
        clearTimeout(timer);
        resolve(outcome);
      };
      const giveUp = (): void => {
        stream.abort('lease given up');
        settle({ type: 'no-answer' });
      };
      let timer = setTimeout(giveUp, Math.min(SILENCE_MS, waitMs));
      stream.onClose = () => settle({ type: 'no-answer' });
      stream.onMessage = (message) => {
        health.noteHeard(owner.nodeId);
        const event = parseLeaseEvent(message);
        if (event?.type === 'queued') {
          clearTimeout(timer);
          timer = setTimeout(giveUp, waitMs + SILENCE_MS);
        } else if (event?.type === 'granted') {
          settle({ type: 'granted', connection: this.#connection(owner, stream, event) });
        } else if (event?.type === 'refused') {
          stream.end();
          settle({ type: 'refused', refusal: event });
        } else giveUp();
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
    case 'no-connection':
    case 'unusable':
      return new InstanceWaitTimeoutError(`${instanceId}: its owner gives no connection`);
    case 'stopping':
    case 'not-owner':
    case 'unknown-instance':
      return undefined;
  }
}
