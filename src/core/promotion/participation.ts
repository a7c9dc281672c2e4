/**
 * A node's part in primary changes: it registers under its lease, and when a primary is being replaced it stops
 * using it and acknowledges that. Relying on a primary not having been replaced requires the permission given here;
 * a promotion waits for every node that may have it.
 */
import type { InstanceEntry } from '../../direct/contract.js';
import type { Position } from '../position.js';
import type { Milliseconds } from '../units.js';
import type { AcknowledgedCommits } from './acknowledged-commits.js';
import type { NodeLease } from './lease.js';
import {
  acknowledgementKeyOf,
  type ChangingRecord,
  decodeRecord,
  encodeAcknowledgement,
  type NodeRecord,
  nodeKeyOf,
  type PrimaryRecord,
  parseAcknowledgementRecord,
  parseNodeRecord,
} from './records.js';
import { isStoreCallError, type PromotionRuntime } from './runtime.js';
import type { StoreView } from './store-view.js';

/** Progress of a node's acknowledgement of a primary change. */
interface AcknowledgementState {
  readonly record: ChangingRecord;
  readonly change: number;
  readonly leaseId: string;
  cancel: () => void;
  step: 'ending-use' | 'demoting' | 'writing' | 'written';
  /** Revision at which the acknowledgement was written. */
  revision: number;
  /** End of the old primary's log, if this node demoted it. */
  end: Position | undefined;
}

export class Participation {
  /** Called when the node has gained its permission, or may have lost it. */
  onRegistered: () => void = () => {};
  #registeredLease: string | undefined;
  #registeredRevision = 0;
  #acknowledgements = new Map<string, AcknowledgementState>();
  #isStopped = false;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly lease: NodeLease,
    private readonly records: StoreView,
    private readonly instanceOf: (id: string) => InstanceEntry | undefined,
    /** Members that this node has seen and no record lists. */
    private readonly unlistedOf: (service: string) => readonly InstanceEntry[],
    private readonly commits: AcknowledgedCommits,
  ) {}

  /** True if no promotion can be called without this node's acknowledgement. */
  isPermitted(now: Milliseconds): boolean {
    if (!this.isRegistered) return false;
    return this.lease.isValid(now) || this.runtime.isDisabled('permission-lapse');
  }

  /**
   * Whether the node is registered under its current lease and knows the records as of that registration or later.
   */
  get isRegistered(): boolean {
    const { leaseId } = this.lease;
    if (this.#isStopped || leaseId === undefined || leaseId !== this.#registeredLease) return false;
    return this.records.revision >= this.#registeredRevision;
  }

  /** Registers the node, and starts to watch the records once its key is written: only then are they binding. */
  register(leaseId: string): void {
    this.#register(leaseId, 0);
  }

  /**
   * Registers again after a restore of the store: the backup may lack the registration and the acknowledgements.
   */
  handleStoreRestore(): void {
    const { leaseId } = this.lease;
    this.#registeredLease = undefined;
    for (const state of this.#acknowledgements.values()) state.cancel();
    this.#acknowledgements.clear();
    if (!this.#isStopped && leaseId !== undefined) this.#register(leaseId, 0);
  }

  /** Ends the node's permission, if it has it. */
  stop(): void {
    this.#isStopped = true;
    for (const state of this.#acknowledgements.values()) state.cancel();
    this.#acknowledgements.clear();
  }

  /** Handles the present record of a service. */
  handleRecord(service: string, record: PrimaryRecord | undefined): void {
    const state = this.#acknowledgements.get(service);
    const { leaseId } = this.lease;
    if (record?.phase !== 'changing') {
      state?.cancel();
      this.#acknowledgements.delete(service);
      return;
    }
    if (!this.isRegistered || leaseId === undefined) return;
    if (state?.change === record.change && state.leaseId === leaseId) return;
    state?.cancel();
    this.#acknowledge(service, record, leaseId);
  }

  /** The data path has no write in flight to the old primary any more. */
  handleUseEnded(service: string, change: number): void {
    const state = this.#acknowledgements.get(service);
    if (state?.change !== change || state.step !== 'ending-use') return;
    state.cancel();
    this.#demote(service, state);
  }

  #register(leaseId: string, knownRevision: number): void {
    const { nodeName, incarnation, directoryAt, peer, linkMbps } = this.runtime.options;
    const key = nodeKeyOf(nodeName);
    const record: NodeRecord = { incarnation, leaseId, directoryAt, peer, linkMbps };
    const put = { type: 'put', key, value: JSON.stringify(record), leaseId } as const;
    const compares = [{ key, modRevision: knownRevision }];
    this.runtime.transaction(compares, [put], (answer) => {
      if (this.#isStopped || leaseId !== this.lease.leaseId) return;
      if (isStoreCallError(answer)) {
        const retry = (): void => this.#register(leaseId, knownRevision);
        this.runtime.after(this.#retryDelay(answer.retryAfterMs), () => {
          if (!this.#isStopped && leaseId === this.lease.leaseId) retry();
        });
        return;
      }
      const current = answer.current.find((entry) => entry.key === key);
      const currentRevision = current?.modRevision ?? 0;
      const isOwn = decodeRecord(current, parseNodeRecord)?.leaseId === leaseId;
      if (answer.succeeded) this.#setRegistered(leaseId, answer.revision);
      else if (isOwn) this.#setRegistered(leaseId, currentRevision);
      else this.#register(leaseId, currentRevision);
    });
  }

  #setRegistered(leaseId: string, revision: number): void {
    this.#registeredLease = leaseId;
    this.#registeredRevision = revision;
    if (!this.records.isRunning) this.records.start();
    else if (this.records.revision < revision) this.records.readNow();
    this.onRegistered();
  }

  #acknowledge(service: string, record: ChangingRecord, leaseId: string): void {
    const { change } = record;
    const state: AcknowledgementState = {
      record,
      change,
      leaseId,
      cancel: () => {},
      step: 'ending-use',
      revision: 0,
      end: undefined,
    };
    this.#acknowledgements.set(service, state);
    const { endUseTimeoutMs } = this.runtime.timings;
    state.cancel = this.runtime.after(endUseTimeoutMs, () => this.#demote(service, state));
    this.runtime.emit({ type: 'end-use', service, change });
  }

  #write(service: string, state: AcknowledgementState, knownRevision: number): void {
    state.step = 'writing';
    state.cancel = () => {};
    const { leaseId, change, end } = state;
    const key = acknowledgementKeyOf(service, this.runtime.options.nodeName);
    const unlistedMembers = this.unlistedOf(service);
    const unlisted = unlistedMembers.length === 0 ? undefined : unlistedMembers;
    const acknowledged = this.commits.latestOf(service);
    const replicated = this.commits.replicatedOf(service);
    const positions = { end, acknowledged, replicated };
    const value = encodeAcknowledgement({ change, leaseId, ...positions, unlisted });
    const put = { type: 'put', key, value, leaseId } as const;
    this.runtime.transaction([{ key, modRevision: knownRevision }], [put], (answer) => {
      if (this.#acknowledgements.get(service) !== state) return;
      if (isStoreCallError(answer)) {
        const retry = (): void => this.#write(service, state, knownRevision);
        state.cancel = this.runtime.after(this.#retryDelay(answer.retryAfterMs), retry);
        return;
      }
      const current = answer.current.find((entry) => entry.key === key);
      const written = decodeRecord(current, parseAcknowledgementRecord);
      const isOwn = written?.change === change && written.leaseId === leaseId;
      if (!answer.succeeded && !isOwn) {
        this.#write(service, state, current?.modRevision ?? 0);
        return;
      }
      state.step = 'written';
      state.revision = answer.succeeded ? answer.revision : (current?.modRevision ?? 0);
      if (state.end !== end) this.#write(service, state, state.revision);
    });
  }

  /**
   * The leader may be cut off from an old primary that this node reaches, and that may still get commits
   * acknowledged: this node demotes it as well, and reports the end of its log. In a planned change only the leader
   * demotes it, after no node has a write in flight any more. The wait for an unresponsive instance is short: an
   * end reported later is written later. In a fleet with owners only the owners demote it: the instance does not
   * have enough connections for all nodes.
   */
  #demote(service: string, state: AcknowledgementState): void {
    const { from, term, planned } = state.record;
    const { mayConnect } = this.runtime.options;
    const instance = planned ? undefined : this.instanceOf(from);
    if (instance === undefined || mayConnect?.(instance) === false) {
      this.#write(service, state, 0);
      return;
    }
    state.step = 'demoting';
    let hasProceeded = false;
    const proceed = (): void => {
      if (hasProceeded || this.#acknowledgements.get(service) !== state) return;
      hasProceeded = true;
      state.cancel();
      this.#write(service, state, 0);
    };
    state.cancel = this.runtime.after(this.runtime.timings.demoteWaitMs, proceed);
    this.runtime.control('demote', instance, term + 1, (answer) => {
      if (typeof answer !== 'string' && answer.role === 'replica') state.end = answer.received;
      if (state.step === 'written' && state.end !== undefined) this.#writeLogEnd(service, state);
      else proceed();
    });
  }

  #writeLogEnd(service: string, state: AcknowledgementState): void {
    if (this.#acknowledgements.get(service) === state) this.#write(service, state, state.revision);
  }

  #retryDelay(minDelayMs: Milliseconds): Milliseconds {
    return Math.max(minDelayMs, this.runtime.jittered(this.runtime.timings.storeRetryDelayMs));
  }
}
