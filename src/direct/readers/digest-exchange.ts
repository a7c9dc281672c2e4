/**
 * Exchange of digests within a zone: each node sends its own digests to one of its readers and receives the merged
 * digests of the whole zone. The loss of a reader loses only the digests it had received, which expire within seconds.
 */
import type { FleetDigests } from '../../core/fleet/fleet-digests.js';
import { instanceKey } from '../../core/fleet/instance-key.js';
import type { Milliseconds } from '../../core/units.js';
import type { WireValue } from '../../peer/contract.js';
import type { InstanceEntry } from '../contract.js';
import { encodeDigests, parseDigests } from './digest-messages.js';

/** Counters since the process started. */
export interface DigestCounters {
  /** Digests of other nodes that were accepted. */
  taken: number;
  /** Malformed messages. */
  malformed: number;
  /** Digests of an instance unknown to this node, such as an earlier incarnation. */
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

  /** This node's own digests, for a reader. */
  encodeOwn(): WireValue {
    return encodeDigests(this.options.digests.ownDigests(this.options.now()));
  }

  /** The merged digests of the zone, for a node in it. */
  encodeZone(): WireValue {
    return encodeDigests(this.options.digests.mergedDigests(this.options.now()));
  }

  /** Records the digests that another node sent. */
  receive(value: WireValue, from: string): void {
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
