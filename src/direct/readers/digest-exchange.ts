/**
 * Exchange of digests within a zone: each node tells one of its readers what it saw itself, and hears what the whole
 * zone saw. Nothing is lost with a reader but what it heard; a digest lives for seconds.
 */
import type { FleetDigests } from '../../core/fleet/fleet-digests.js';
import { instanceKey } from '../../core/fleet/instance-key.js';
import type { Milliseconds } from '../../core/units.js';
import type { WireValue } from '../../peer/contract.js';
import type { InstanceEntry } from '../contract.js';
import { encodeDigests, parseDigests } from './digest-messages.js';

/** Counted since the start. */
export interface DigestCounters {
  /** Digests of other nodes that were taken. */
  taken: number;
  /** Messages that had not their form. */
  malformed: number;
  /** Of an instance that is not known here, as one of an earlier life. */
  unknownInstance: number;
  stale: number;
  implausible: number;
}

export interface DigestExchangeOptions {
  readonly digests: FleetDigests;
  readonly instances: () => Iterable<InstanceEntry>;
  readonly now: () => Milliseconds;
}

export class DigestExchange {
  readonly counters: DigestCounters = {
    taken: 0,
    malformed: 0,
    unknownInstance: 0,
    stale: 0,
    implausible: 0,
  };

  constructor(private readonly options: DigestExchangeOptions) {}

  /** What this node saw itself, for a reader. */
  own(): WireValue {
    return encodeDigests(this.options.digests.ownDigests(this.options.now()));
  }

  /** What the zone saw, for a node of it. */
  zone(): WireValue {
    return encodeDigests(this.options.digests.mergedDigests(this.options.now()));
  }

  /** Takes what another node told. */
  take(value: WireValue, from: string): void {
    const rows = parseDigests(value);
    if (rows === undefined) {
      this.counters.malformed += 1;
      return;
    }
    const byKey = new Map<number, InstanceEntry>();
    for (const entry of this.options.instances()) byKey.set(instanceKey(entry.id), entry);
    const now = this.options.now();
    for (const { key, ...observed } of rows) {
      const entry = byKey.get(key);
      if (entry === undefined) {
        this.counters.unknownInstance += 1;
        continue;
      }
      const digest = { ...observed, service: entry.service, instanceId: entry.id };
      this.counters[this.options.digests.recordReported(digest, from, now) ?? 'taken'] += 1;
    }
  }
}
