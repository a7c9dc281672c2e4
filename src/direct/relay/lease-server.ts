/**
 * Lends this node's connections to other nodes. A lease waits in the queue of its instance like a
 * statement of this node's own callers.
 */
import type { Milliseconds } from '../../core/units.js';
import type { PeerHandlers, PeerStream, WireValue } from '../../peer/contract.js';
import { InstanceConnectError } from '../errors.js';
import type { AcquireError } from '../instance-pool.js';
import { pause } from '../within.js';
import {
  type LeaseRefusal,
  type LeaseRequest,
  type LendableInstance,
  type LendableLookup,
  POSITION_METHOD,
  type RelayCounters,
} from './contract.js';
import { GrantedLease } from './granted-lease.js';
import {
  encodeLeaseEvent,
  encodePosition,
  parseLeaseRequest,
  parsePositionRequest,
} from './messages.js';
import type { PositionReader } from './position-reader.js';

/** A request that waits longer than this is told that it has come. */
const QUEUED_AFTER_MS: Milliseconds = 40;
const DRAIN_CHECK_MS: Milliseconds = 50;

export interface LeaseServerOptions {
  readonly find: LendableLookup;
  readonly positions: PositionReader;
  readonly counters: RelayCounters;
  readonly now: () => Milliseconds;
}

export class LeaseServer implements PeerHandlers {
  readonly #leases = new Set<GrantedLease>();
  #waiting = 0;
  #stopping = false;

  constructor(private readonly options: LeaseServerOptions) {}

  /** Leases that are in use or waited for. */
  get size(): number {
    return this.#leases.size + this.#waiting;
  }

  /** Refuses new leases from now on. */
  stopGranting(): void {
    this.#stopping = true;
  }

  /** Resolves when no lease is in use any more, at the deadline at the latest. */
  async drained(deadline: Milliseconds): Promise<void> {
    while (this.size > 0 && this.options.now() < deadline) await pause(DRAIN_CHECK_MS);
  }

  onStream(header: WireValue, stream: PeerStream): void {
    const request = parseLeaseRequest(header);
    if (request === undefined) {
      stream.abort('no request for a lease');
      return;
    }
    const instance = this.options.find(request.service, request.instanceId);
    const refusal = this.#refusalOf(instance);
    if (refusal !== undefined) refuse(stream, refusal);
    else if (instance !== undefined) void this.#grant(request, instance, stream);
  }

  async onCall(method: string, body: WireValue): Promise<WireValue> {
    const request = method === POSITION_METHOD ? parsePositionRequest(body) : undefined;
    if (request === undefined) return null;
    const instance = this.options.find(request.service, request.instanceId);
    if (instance === undefined || this.#refusalOf(instance) !== undefined) return null;
    const position = await this.options.positions.read(instance.pool);
    if (position === undefined) return null;
    this.options.counters.positionsTold += 1;
    return encodePosition(position);
  }

  #refusalOf(instance: LendableInstance | undefined): LeaseRefusal | undefined {
    if (this.#stopping) return { reason: 'stopping' };
    if (instance === undefined) return { reason: 'unknown-instance' };
    if (!instance.isOwned) return { reason: 'not-owner' };
    return instance.isUsable(this.options.now()) ? undefined : { reason: 'unusable' };
  }

  async #grant(
    request: LeaseRequest,
    instance: LendableInstance,
    stream: PeerStream,
  ): Promise<void> {
    let isGone = false;
    stream.onClose = () => {
      isGone = true;
    };
    const tellQueued = setTimeout(() => stream.send({ type: 'queued' }), QUEUED_AFTER_MS);
    this.#waiting += 1;
    const { pool } = instance;
    const acquired = await pool.acquire({
      ...{ tenant: request.tenant, priority: request.priority },
      values: new Map(request.values),
      deadline: this.options.now() + request.waitMs,
    });
    this.#waiting -= 1;
    clearTimeout(tellQueued);
    if (acquired.isErr()) {
      refuse(stream, refusalFor(acquired.error));
      return;
    }
    if (isGone) {
      pool.release(acquired.value);
      return;
    }
    this.options.counters.leasesGiven += 1;
    const lease = new GrantedLease({
      ...{ stream, instance, connection: acquired.value, now: this.options.now },
      onEnd: () => this.#leases.delete(lease),
    });
    this.#leases.add(lease);
  }
}

function refuse(stream: PeerStream, refusal: LeaseRefusal): void {
  stream.send(encodeLeaseEvent({ type: 'refused', ...refusal }));
  stream.end();
}

function refusalFor(error: AcquireError): LeaseRefusal {
  if (!(error instanceof InstanceConnectError)) return { reason: 'no-connection' };
  return { reason: 'unreachable', answer: error.answer };
}
