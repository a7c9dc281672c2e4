/**
 * Lends this node's connections to other nodes, and runs single reads for them. Both wait in the instance's
 * queue like a statement of this node's own callers.
 */
import type { Milliseconds } from '../../core/units.js';
import type { PeerHandlers, PeerStream, WireValue } from '../../peer/contract.js';
import { Cancellation } from '../cancellation.js';
import { InstanceConnectError, InstanceQueueFullError } from '../errors.js';
import type { AcquireError } from '../instance-pool.js';
import { encodePosition } from '../position-form.js';
import type { StatementWire } from '../wire.js';
import { pause } from '../within.js';
import {
  type LeaseRefusal,
  type LendableInstance,
  type LendableLookup,
  POSITION_METHOD,
  type RelayCounters,
  type StreamRequest,
} from './contract.js';
import { GrantedLease } from './granted-lease.js';
import { encodeLeaseEvent, parsePositionRequest, parseStreamRequest } from './messages.js';
import { OwnedRead } from './owned-read.js';
import type { PositionReader } from './position-reader.js';

/** After this time, the sender of a waiting request is told that it has been received. */
const QUEUED_NOTICE_DELAY_MS: Milliseconds = 80;
const DRAIN_CHECK_PERIOD_MS: Milliseconds = 50;

export interface LeaseServerOptions {
  readonly find: LendableLookup;
  readonly positions: PositionReader;
  readonly wire: StatementWire;
  readonly counters: RelayCounters;
  readonly now: () => Milliseconds;
}

export class LeaseServer implements PeerHandlers {
  readonly #leases = new Set<GrantedLease | OwnedRead>();
  #waitingCount = 0;
  #isStopping = false;

  constructor(private readonly options: LeaseServerOptions) {}

  /** Leases and reads that are active or waiting for a connection. */
  get size(): number {
    return this.#leases.size + this.#waitingCount;
  }

  /** Refuses new leases from now on. */
  stopGranting(): void {
    this.#isStopping = true;
  }

  /** Resolves when `size` is 0, at the deadline at the latest. */
  async drained(deadline: Milliseconds): Promise<void> {
    while (this.size > 0 && this.options.now() < deadline) await pause(DRAIN_CHECK_PERIOD_MS);
  }

  onStream(header: WireValue, stream: PeerStream): void {
    const request = parseStreamRequest(header);
    if (request === undefined) {
      stream.abort('no request for a lease or a read');
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
    if (this.#isStopping) return { reason: 'stopping' };
    if (instance === undefined) return { reason: 'unknown-instance' };
    if (!instance.isOwned) return { reason: 'not-owner' };
    return instance.isUsable(this.options.now()) ? undefined : { reason: 'unusable' };
  }

  async #grant(
    request: StreamRequest,
    instance: LendableInstance,
    stream: PeerStream,
  ): Promise<void> {
    const cancellation = new Cancellation();
    stream.onClose = () => cancellation.cancel();
    stream.onMessage = () => {
      cancellation.cancel();
      stream.end();
    };
    const queuedNoticeTimer = setTimeout(
      () => stream.send({ type: 'queued' }),
      QUEUED_NOTICE_DELAY_MS,
    );
    this.#waitingCount += 1;
    const { pool } = instance;
    const now = this.options.now();
    const { aimMs = request.waitMs, isTransaction } = request;
    const acquired = await pool.acquire({
      ...{ tenant: request.tenant, account: request.account },
      ...{ priority: request.priority, policy: request.policy },
      values: new Map(request.values),
      ...{ deadline: now + request.waitMs, latencyTargetAt: now + aimMs, isTransaction },
      cancelledBy: [cancellation],
    });
    this.#waitingCount -= 1;
    if (request.type === 'lease' || acquired.isErr()) clearTimeout(queuedNoticeTimer);
    if (acquired.isErr()) {
      refuse(stream, refusalFor(acquired.error));
      return;
    }
    if (cancellation.isCancelled) {
      clearTimeout(queuedNoticeTimer);
      pool.release(acquired.value);
      return;
    }
    const { wire, now: clock, counters } = this.options;
    const granted = { stream, instance, connection: acquired.value, now: clock };
    if (request.type === 'lease') {
      counters.leasesGiven += 1;
      const onEnd = (): void => void this.#leases.delete(lease);
      const lease = new GrantedLease({ ...granted, onEnd });
      this.#leases.add(lease);
      return;
    }
    counters.readsRun += 1;
    const onEnd = (): void => {
      clearTimeout(queuedNoticeTimer);
      this.#leases.delete(read);
    };
    const read = new OwnedRead({ ...granted, request, wire, onEnd });
    this.#leases.add(read);
  }
}

function refuse(stream: PeerStream, refusal: LeaseRefusal): void {
  stream.send(encodeLeaseEvent({ type: 'refused', ...refusal }));
  stream.end();
}

function refusalFor(error: AcquireError): LeaseRefusal {
  if (error instanceof InstanceQueueFullError) return { reason: 'queue-full' };
  if (!(error instanceof InstanceConnectError)) return { reason: 'no-connection' };
  return { reason: 'unreachable', answer: error.answer };
}
