/** Keeps the newest known log position of each primary fresh, for reads that may be of some age. */
import type { Position } from '../core/position.js';
import type { Milliseconds } from '../core/units.js';
import { ownRequest } from './instance-pool.js';
import { askPosition } from './position-question.js';
import type { PrimaryView } from './promotion/contract.js';
import type { ZonePositions } from './readers/zone-positions.js';
import { ReplicaSampler, type ReplicaSamplerCounters } from './replica-sampler.js';
import { type InstanceRuntime, type ServiceRuntime, TOLD_BY_REPLICAS } from './service-runtime.js';
import type { StatementRunner } from './statement-runner.js';
import type { TrustProver } from './trust-prover.js';
import type { StatementWire } from './wire.js';

/** The primary's log position is asked for when the newest known one is older than this. */
const SAMPLE_INTERVAL_MS: Milliseconds = 400;
/**
 * The same at the node that watches the primaries, and at readers. An answer to this question, which takes no
 * slot, saves the former the probe that does; with the pause between checks it has to come before that is
 * due. What readers know, others know later.
 */
const OFTEN_SAMPLE_INTERVAL_MS: Milliseconds = 250;
/** A reader of the zone is asked so often. */
const ZONE_INTERVAL_MS: Milliseconds = 400;
/** A position that readers keep no younger than this is asked for at the primary. */
const ZONE_OLDEST_MS: Milliseconds = 950;
/**
 * A primary that this node failed at is asked by this node itself for so long: its answers, or their absence,
 * tell whether it is to be replaced.
 */
const OWN_AFTER_FAILURE_MS: Milliseconds = 2500;
const SAMPLE_TIMEOUT_MS: Milliseconds = 500;

export interface SamplerCounters extends ReplicaSamplerCounters {
  samplesAsked: number;
}

export interface PositionSamplerOptions {
  readonly wire: StatementWire;
  readonly view: PrimaryView;
  readonly prover: TrustProver;
  readonly runner: StatementRunner;
  readonly now: () => Milliseconds;
  readonly counters: SamplerCounters;
  /** Positions by way of readers; without it each node asks the primaries. */
  readonly zone?: ZonePositions | undefined;
}

export class PositionSampler {
  readonly #sampling = new Set<string>();
  #zoneAskedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  readonly #replicas: ReplicaSampler;

  constructor(private readonly options: PositionSamplerOptions) {
    this.#replicas = new ReplicaSampler(options);
  }

  /** Asks for the positions of those services whose newest one is old. */
  sample(services: Iterable<ServiceRuntime>): void {
    const { view, zone } = this.options;
    const isOften = view.watchesPrimaries || zone?.isReader === true;
    const intervalMs = isOften ? OFTEN_SAMPLE_INTERVAL_MS : SAMPLE_INTERVAL_MS;
    const byZone: ServiceRuntime[] = [];
    for (const service of services) {
      this.#replicas.look(service, zone?.isReader === true);
      const ageMs = this.#ageOf(service);
      if (this.#sampling.has(service.name) || ageMs < intervalMs) continue;
      if (!isOften && this.#asksZone(service, ageMs)) byZone.push(service);
      else void this.#samplePosition(service);
    }
    if (byZone.length > 0 || zone?.sendsDigests === true) void this.#askZone(byZone);
  }

  #ageOf({ samples }: ServiceRuntime): Milliseconds {
    return this.options.now() - (samples.newestAt() ?? Number.NEGATIVE_INFINITY);
  }

  /**
   * Of a primary, only what the lease vouches for is taken from others, and only while it answers this node. What the
   * replicas have needs neither.
   */
  #asksZone(service: ServiceRuntime, ageMs: Milliseconds): boolean {
    const { now, view, zone } = this.options;
    if (zone?.isAvailable !== true) return false;
    const primary = service.primary(now());
    if (primary === undefined) return true;
    if (ageMs >= ZONE_OLDEST_MS || !view.mayTrustPrimary(service.name, now())) return false;
    return primary !== undefined && primary.avoidUntil + OWN_AFTER_FAILURE_MS <= now();
  }

  async #askZone(services: readonly ServiceRuntime[]): Promise<void> {
    const { now, zone } = this.options;
    const askedAt = now();
    if (askedAt < this.#zoneAskedAt + ZONE_INTERVAL_MS || zone === undefined) return;
    this.#zoneAskedAt = askedAt;
    const told = await zone.requestPositions(services.map(({ name }) => name));
    const byName = new Map(services.map((service) => [service.name, service]));
    for (const { service: name, instanceId, position, ageMs } of told) {
      const service = byName.get(name);
      const primary = service?.primary(now());
      if (instanceId === TOLD_BY_REPLICAS) service?.noteAcknowledged(askedAt - ageMs, position);
      if (primary?.id !== instanceId) continue;
      service?.noteAnswer(primary, askedAt - ageMs, position);
    }
  }

  /** Asks the primary for its position by a message that takes no slot there. */
  async #samplePosition(service: ServiceRuntime): Promise<void> {
    const { now, wire, runner } = this.options;
    const primary = service.primary(now());
    if (primary === undefined) return;
    this.#sampling.add(service.name);
    this.options.counters.samplesAsked += 1;
    const deadline = now() + SAMPLE_TIMEOUT_MS;
    if (primary.pool.lessor !== undefined) {
      await this.#sampleThroughOwner(service, primary, deadline);
      this.#sampling.delete(service.name);
      return;
    }
    const acquired = await primary.pool.acquire(ownRequest(deadline));
    if (acquired.isErr()) {
      runner.feedback.noteUnreachable({ service }, primary, acquired.error);
    } else {
      const connection = acquired.value;
      const sentAt = now();
      connection.values.clear();
      connection.preparedNames.clear();
      const exchange = connection.exchange(wire.encodeReset());
      const answer = await runner.attempts.awaitAnswer(exchange, connection, primary, deadline);
      if (answer?.isOk() === true) {
        primary.pool.release(connection);
        await this.#noteSample(service, primary, sentAt, answer.value.position);
      } else {
        runner.feedback.noteFailure({ service }, primary);
      }
    }
    this.#sampling.delete(service.name);
  }

  /** An owner that can't tell says nothing of the primary: nothing is reported of it. */
  async #sampleThroughOwner(
    service: ServiceRuntime,
    primary: InstanceRuntime,
    deadline: Milliseconds,
  ): Promise<void> {
    const { now, wire } = this.options;
    const sentAt = now();
    const position = await askPosition({ pool: primary.pool, wire, now, deadline });
    if (position !== undefined) await this.#noteSample(service, primary, sentAt, position);
  }

  async #noteSample(
    service: ServiceRuntime,
    primary: InstanceRuntime,
    sentAt: Milliseconds,
    position: Position | undefined,
  ): Promise<void> {
    const { now, view } = this.options;
    const isTrusted = view.mayTrustPrimary(service.name, now());
    const isProven = !isTrusted && (await this.options.prover.prove(service));
    service.noteAnswer(primary, sentAt, position, isProven);
    view.reportPrimarySuccess(service.name, now());
  }
}
