/**
 * Counts the costs of nodes: bytes by mechanism as they would be on the wire, and processor time of the
 * real handlers and codecs by role. Processor time is the only figure that is not repeatable: each role
 * gets its fraction of the process's processor time, garbage collection included, so that other load on
 * the machine doesn't count.
 */
const MICROSECONDS_PER_SECOND = 1_000_000;

/** Mechanisms that send bytes. */
export const MECHANISMS = [
  'probes-and-gossip',
  'membership-sync',
  'configuration-digests',
  'configuration-pushes',
  'configuration-fetches',
  'machine-list-service',
  'machine-list-pushes',
  'machine-list-reports',
  'machine-list-fetches',
  'links',
  'store',
] as const;
export type Mechanism = (typeof MECHANISMS)[number];

/** Roles that use processor time. */
export const CONTROL_ROLES = [
  'member',
  'configuration',
  'relay',
  'machine-list',
  'ownership',
  'links',
] as const;
export type ControlRole = (typeof CONTROL_ROLES)[number];

export interface TrafficCount {
  readonly messages: number;
  readonly bytes: number;
}

export class Meters {
  readonly #bytes = new Map<Mechanism, number>();
  readonly #messages = new Map<Mechanism, number>();
  readonly #elapsedMs = new Map<ControlRole, number>();
  #startedAt = performance.now();
  #processorAtStart = process.cpuUsage();
  storeRequests = 0;

  /** Counts one message and its bytes, network headers included. */
  recordSent(mechanism: Mechanism, bytes: number): void {
    this.#bytes.set(mechanism, (this.#bytes.get(mechanism) ?? 0) + bytes);
    this.#messages.set(mechanism, (this.#messages.get(mechanism) ?? 0) + 1);
  }

  /** Runs a real handler or codec and adds its duration to the role. */
  measure<Result>(role: ControlRole, run: () => Result): Result {
    const startedAt = performance.now();
    const result = run();
    const tookMs = performance.now() - startedAt;
    this.#elapsedMs.set(role, (this.#elapsedMs.get(role) ?? 0) + tookMs);
    return result;
  }

  traffic(mechanism: Mechanism): TrafficCount {
    return {
      messages: this.#messages.get(mechanism) ?? 0,
      bytes: this.#bytes.get(mechanism) ?? 0,
    };
  }

  totalBytes(): number {
    return MECHANISMS.reduce((sum, mechanism) => sum + this.traffic(mechanism).bytes, 0);
  }

  totalMessages(): number {
    return MECHANISMS.reduce((sum, mechanism) => sum + this.traffic(mechanism).messages, 0);
  }

  processorSeconds(role: ControlRole): number {
    const { user, system } = process.cpuUsage(this.#processorAtStart);
    const fraction = (this.#elapsedMs.get(role) ?? 0) / (performance.now() - this.#startedAt);
    return (fraction * (user + system)) / MICROSECONDS_PER_SECOND;
  }

  totalProcessorSeconds(): number {
    return CONTROL_ROLES.reduce((sum, role) => sum + this.processorSeconds(role), 0);
  }

  reset(): void {
    this.#bytes.clear();
    this.#messages.clear();
    this.#elapsedMs.clear();
    this.#startedAt = performance.now();
    this.#processorAtStart = process.cpuUsage();
    this.storeRequests = 0;
  }
}
