/**
 * Probes in progress: each is direct at first, then indirect through other members, then reported as
 * failed. Also keeps the probes that this node makes on behalf of others.
 */
import type { Milliseconds } from '../units.js';
import type { MembershipOptions, NodeAddress } from './contract.js';
import type { MemberUpdate } from './member.js';

interface Probe {
  readonly target: MemberUpdate;
  readonly indirectAt: Milliseconds;
  readonly failsAt: Milliseconds;
  indirectSent: boolean;
}

interface Relay {
  readonly requester: NodeAddress;
  readonly sequence: number;
  readonly expiresAt: Milliseconds;
}

/** Maximum number of simultaneous probes on behalf of others; further requests are ignored. */
const MAX_RELAYS = 256;
const SEQUENCE_LIMIT = 0xffff_ffff;

/** Probes in progress. */
export class Prober {
  readonly #options: MembershipOptions;
  readonly #probes = new Map<number, Probe>();
  readonly #relays = new Map<number, Relay>();
  #lastSequence = 0;

  constructor(options: MembershipOptions) {
    this.#options = options;
  }

  nextSequence(): number {
    this.#lastSequence = (this.#lastSequence % SEQUENCE_LIMIT) + 1;
    return this.#lastSequence;
  }

  /** Starts a probe and returns the sequence number for its ping. */
  startProbe(target: MemberUpdate, now: Milliseconds): number {
    const sequence = this.nextSequence();
    const indirectAt = now + this.#options.probeTimeoutMs;
    const failsAt = now + this.#options.probePeriodMs;
    this.#probes.set(sequence, { target, indirectAt, failsAt, indirectSent: false });
    return sequence;
  }

  isProbing(nodeId: string): boolean {
    return [...this.#probes.values()].some((probe) => probe.target.nodeId === nodeId);
  }

  /** Ends the probe that a response belongs to; returns its target. */
  endProbe(sequence: number): MemberUpdate | undefined {
    const probe = this.#probes.get(sequence);
    this.#probes.delete(sequence);
    return probe?.target;
  }

  /** Starts a probe on behalf of another member; returns the sequence number for its ping, if accepted. */
  startRelay(requester: NodeAddress, sequence: number, now: Milliseconds): number | undefined {
    if (this.#relays.size >= MAX_RELAYS) return undefined;
    const own = this.nextSequence();
    const expiresAt = now + this.#options.probePeriodMs;
    this.#relays.set(own, { requester, sequence, expiresAt });
    return own;
  }

  endRelay(sequence: number): Relay | undefined {
    const relay = this.#relays.get(sequence);
    this.#relays.delete(sequence);
    return relay;
  }

  /** Probes that are now due to become indirect; each is returned once. */
  takeIndirectDue(now: Milliseconds): { sequence: number; target: MemberUpdate }[] {
    const due: { sequence: number; target: MemberUpdate }[] = [];
    for (const [sequence, probe] of this.#probes) {
      if (probe.indirectSent || probe.indirectAt > now) continue;
      probe.indirectSent = true;
      due.push({ sequence, target: probe.target });
    }
    return due;
  }

  /** Ends the probes that have failed and returns their targets. */
  takeFailed(now: Milliseconds): MemberUpdate[] {
    const failed: MemberUpdate[] = [];
    for (const [sequence, probe] of this.#probes) {
      if (probe.failsAt > now) continue;
      this.#probes.delete(sequence);
      failed.push(probe.target);
    }
    for (const [sequence, relay] of this.#relays) {
      if (relay.expiresAt <= now) this.#relays.delete(sequence);
    }
    return failed;
  }

  /** Discards all probes without a result, after this node itself was paused. */
  reset(): void {
    this.#probes.clear();
    this.#relays.clear();
  }

  nextDeadline(): Milliseconds {
    let deadline = Number.POSITIVE_INFINITY;
    for (const probe of this.#probes.values()) {
      deadline = Math.min(deadline, probe.indirectSent ? probe.failsAt : probe.indirectAt);
    }
    return deadline;
  }
}
