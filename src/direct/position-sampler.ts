/** Keeps the newest known log position of each primary up to date, for reads that tolerate staleness. */
import type { Position } from '../core/position.js';
import type { Milliseconds } from '../core/units.js';
import { ownRequest } from './instance-pool.js';
import { queryPosition } from './position-query.js';
import type { PrimaryView } from './promotion/contract.js';
import type { ZonePositions } from './readers/zone-positions.js';
import { ReplicaSampler, type ReplicaSamplerCounters } from './replica-sampler.js';
import {
  type InstanceRuntime,
  REPORTED_BY_REPLICAS,
  type ServiceRuntime,
} from './service-runtime.js';
import type { StatementRunner } from './statement-runner.js';
import type { TrustProver } from './trust-prover.js';
import type { StatementWire } from './wire.js';

/** The primary's log position is queried when the newest known one is older than this. */
const SAMPLE_PERIOD_MS: Milliseconds = 400;
/**
 * The same at the node that watches the primaries, and at readers. An answer to this query, which takes no slot, saves
 * the watching node a probe, which does; together with the interval between checks it must arrive before that probe
 * is due. At readers the period is shorter because other nodes learn their positions with a delay.
 */
const SHORT_SAMPLE_PERIOD_MS: Milliseconds = 250;
/** Interval between queries to a reader of the zone. */
const ZONE_QUERY_PERIOD_MS: Milliseconds = 400;
/** If the newest position is older than this, readers don't keep it fresh enough, and the primary is queried. */
const MAX_ZONE_SAMPLE_AGE_MS: Milliseconds = 950;
/**
 * After a failure, this node queries the primary itself for this time: the answers, or their absence, decide whether
 * the primary is to be replaced.
 */
const DIRECT_QUERIES_AFTER_FAILURE_MS: Milliseconds = 2500;
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
  /** Source of positions from readers; without it each node queries the primaries. */
  readonly zone?: ZonePositions | undefined;
}

export class PositionSampler {
  readonly #sampling = new Set<string>();
  #zoneQueriedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  readonly #replicas: ReplicaSampler;

  constructor(private readonly options: PositionSamplerOptions) {
    this.#replicas = new ReplicaSampler(options);
  }

  /** Queries the positions of services whose newest one is too old. */
  sample(services: Iterable<ServiceRuntime>): void {
    const { view, zone } = this.options;
    const isShortPeriod = view.watchesPrimaries || zone?.isReader === true;
    const periodMs = isShortPeriod ? SHORT_SAMPLE_PERIOD_MS : SAMPLE_PERIOD_MS;
    const throughZone: ServiceRuntime[] = [];
    for (const service of services) {
      this.#replicas.refresh(service, zone?.isReader === true);
      const ageMs = this.#ageOf(service);
      if (this.#sampling.has(service.name) || ageMs < periodMs) continue;
      if (!isShortPeriod && this.#mayQueryZone(service, ageMs)) throughZone.push(service);
      else void this.#samplePosition(service);
    }
    if (throughZone.length > 0 || zone?.sendsDigests === true) void this.#queryZone(throughZone);
  }

  #ageOf({ samples }: ServiceRuntime): Milliseconds {
    return this.options.now() - (samples.newestAt() ?? Number.NEGATIVE_INFINITY);
  }

  /**
   * A primary's position is taken from readers only while the lease confirms the primary and it answers this node. A
   * position that the replicas have needs neither.
   */
  #mayQueryZone(service: ServiceRuntime, ageMs: Milliseconds): boolean {
    const { now, view, zone } = this.options;
    if (zone?.isAvailable !== true) return false;
    const primary = service.primary(now());
    if (primary === undefined) return true;
    if (ageMs >= MAX_ZONE_SAMPLE_AGE_MS || !view.mayTrustPrimary(service.name, now())) return false;
    return primary !== undefined && primary.avoidUntil + DIRECT_QUERIES_AFTER_FAILURE_MS <= now();
  }

  async #queryZone(services: readonly ServiceRuntime[]): Promise<void> {
    const { now, zone } = this.options;
    const queriedAt = now();
    if (queriedAt < this.#zoneQueriedAt + ZONE_QUERY_PERIOD_MS || zone === undefined) return;
    this.#zoneQueriedAt = queriedAt;
    const reported = await zone.requestPositions(services.map(({ name }) => name));
    const byName = new Map(services.map((service) => [service.name, service]));
    for (const { service: name, instanceId, position, ageMs } of reported) {
      const service = byName.get(name);
      const primary = service?.primary(now());
      if (instanceId === REPORTED_BY_REPLICAS)
        service?.recordAcknowledged(queriedAt - ageMs, position);
      if (primary?.id !== instanceId) continue;
      service?.recordPosition(primary, queriedAt - ageMs, position);
    }
  }

  /** Queries the primary's position by a reset message, which takes no slot there. */
  async #samplePosition(service: ServiceRuntime): Promise<void> {
    const { now, wire, runner } = this.options;
    const primary = service.primary(now());
    if (primary === undefined) return;
    this.#sampling.add(service.name);
    this.options.counters.samplesAsked += 1;
    const deadline = now() + SAMPLE_TIMEOUT_MS;
    if (primary.pool.lender !== undefined) {
      await this.#sampleThroughOwner(service, primary, deadline);
      this.#sampling.delete(service.name);
      return;
    }
    const acquired = await primary.pool.acquire(ownRequest(deadline));
    if (acquired.isErr()) {
      runner.feedback.recordUnreachable({ service }, primary, acquired.error);
    } else {
      const connection = acquired.value;
      const sentAt = now();
      connection.values.clear();
      connection.preparedNames.clear();
      const exchange = connection.exchange(wire.encodeReset());
      const answer = await runner.attempts.awaitAnswer(exchange, connection, primary, deadline);
      if (answer?.isOk() === true) {
        primary.pool.release(connection);
        await this.#recordSample(service, primary, sentAt, answer.value.position);
      } else {
        runner.feedback.recordFailure({ service }, primary);
      }
    }
    this.#sampling.delete(service.name);
  }

  /** Reports no failure: an owner without a position shows nothing about the primary. */
  async #sampleThroughOwner(
    service: ServiceRuntime,
    primary: InstanceRuntime,
    deadline: Milliseconds,
  ): Promise<void> {
    const { now, wire } = this.options;
    const sentAt = now();
    const position = await queryPosition({ pool: primary.pool, wire, now, deadline });
    if (position !== undefined) await this.#recordSample(service, primary, sentAt, position);
  }

  async #recordSample(
    service: ServiceRuntime,
    primary: InstanceRuntime,
    sentAt: Milliseconds,
    position: Position | undefined,
  ): Promise<void> {
    const { now, view } = this.options;
    const hasRole = view.hasBeenPrimary(primary.pool.instance);
    const isTrusted = hasRole && view.mayTrustPrimary(service.name, now());
    const isProven = !isTrusted && (await this.options.prover.prove(service));
    service.recordPosition(primary, sentAt, position, isProven);
    view.reportPrimarySuccess(service.name, now());
  }
}
