/** Chooses the instance for a statement or transaction, and the log position that it requires there. */
import { laterPosition, type Position } from '../core/position.js';
import type { Access, SessionRequirement } from '../core/request.js';
import { rankInstances } from '../core/statements/instance-choice.js';
import { LaggingReplicas } from '../core/statements/lagging-replicas.js';
import type { StatementErrorCode } from '../core/statements/statement.js';
import type { Milliseconds } from '../core/units.js';
import type { RouteDescription } from './contract.js';
import type { FleetPlacement } from './fleet-placement.js';
import type { InFlightStatements } from './in-flight-statements.js';
import type { PrimaryView } from './promotion/contract.js';
import type { RequestTrace, TraceStep } from './request-trace.js';
import type { InstanceRuntime, ServiceRuntime } from './service-runtime.js';
import type { Tenant } from './tenant.js';
import type { TrustProver } from './trust-prover.js';

/**
 * A read must reach its instance within this time to keep its staleness bound; one message takes a few
 * milliseconds. A larger margin excludes replicas that lag by nearly the bound and moves their reads to
 * the primary: with 400 ms, two lagging replicas left a primary 80 % busy.
 */
const STALENESS_MARGIN_MS = 100;

/** The state of a session that its statements depend on. */
export interface SessionContext {
  readonly values: ReadonlyMap<string, string>;
  /** The session's last write in the service's log, for routes on which its reads must see it. */
  readonly requirement: SessionRequirement;
  /** Statements of the session that an instance may still run, even after their caller got a response or a timeout. */
  readonly inFlight: InFlightStatements;
}

/** The facts that determine which instances may serve a statement or transaction. */
export interface Placement {
  readonly access: Access;
  readonly route: RouteDescription;
  readonly tenant: Tenant;
  /** The tenant that the caller's key belongs to; undefined where callers need no key. */
  readonly account?: string | undefined;
  readonly service: ServiceRuntime;
  readonly session: SessionContext;
  /** Arrival of the statement. */
  readonly beganAt: Milliseconds;
  /** A transaction that may write can also read, so it must not begin at a replaced primary. */
  readonly isTransaction?: boolean;
  /** Records the decisions about the request. */
  readonly trace?: RequestTrace;
}

/** The instance that a statement is sent to, and the log position that it requires there. */
export interface Target {
  readonly instance: InstanceRuntime;
  readonly after: Position | undefined;
  /** Expected response times of all candidates, by instance id. */
  readonly expected?: ReadonlyMap<string, Milliseconds> | undefined;
}

export interface TargetChooserOptions {
  readonly view: PrimaryView;
  readonly prover: TrustProver;
  /** Ranks the instances for a read by all nodes' observations; without it only this node's own count. */
  readonly placement?: FleetPlacement | undefined;
  readonly now: () => Milliseconds;
}

export class TargetChooser {
  /** Replicas that recently lacked a position that a read required. */
  readonly lag = new LaggingReplicas();

  constructor(private readonly options: TargetChooserOptions) {}

  /** The instance for a new statement or transaction; undefined if none may serve it now. */
  choose(placement: Placement, excluded: ReadonlySet<string>): Target | undefined {
    const target = this.#choose(placement, excluded);
    this.#recordChoice(placement, target);
    return target;
  }

  #recordChoice({ service, trace }: Placement, target: Target | undefined): void {
    if (trace === undefined) return;
    const { view, now } = this.options;
    const isTrusted = view.mayTrustPrimary(service.name, now());
    const primary = view.primaryOf(service.name)?.id;
    if (target === undefined) {
      const isChanging = view.isChanging(service.name);
      trace.record({ step: 'no-instance', primary, isTrusted, isChanging });
      return;
    }
    const sampledAt = service.samples.newestAt();
    const sampleAgeMs = sampledAt === undefined ? undefined : Math.round(now() - sampledAt);
    const { instance, after, expected } = target;
    const isPrimary = instance.id === primary;
    const chosen = { step: 'chosen', instance: instance.id, isPrimary, isTrusted } as const;
    trace.record({ ...chosen, after, sampleAgeMs, ...expectedTimesOf(instance.id, expected) });
  }

  #choose(placement: Placement, excluded: ReadonlySet<string>): Target | undefined {
    const now = this.options.now();
    const required = requiredPosition(placement, now);
    if (needsPrimary(placement, required)) return this.#primaryTarget(placement, required, now);
    const readable = placement.service.readable(now);
    const current = readable.filter(({ id }) => !this.lag.isLikelyBehind(id, required, now));
    const candidates = current.length > 0 ? current : readable;
    const open = candidates.filter(({ id }) => !excluded.has(id));
    // A single read that probes a faulty instance can still be served by another one; a transaction would stay there.
    const mayProbe = excluded.size === 0 && placement.isTransaction !== true;
    const chosen = this.#selectForRead(placement, open.length > 0 ? open : candidates, mayProbe);
    return chosen && { ...chosen, after: required };
  }

  /** Selects one of the candidates for a read. */
  #selectForRead(
    { service }: Placement,
    candidates: readonly InstanceRuntime[],
    mayProbe: boolean,
  ): Pick<Target, 'instance' | 'expected'> | undefined {
    const ranked = this.options.placement?.rank(service.name, candidates, mayProbe);
    if (ranked === undefined) {
      const instance = rankInstances(candidates, this.options.now())[0];
      return instance && { instance };
    }
    const instance = ranked[0]?.candidate;
    const expected = new Map(ranked.map((ranking) => [ranking.candidate.id, ranking.expectedMs]));
    return instance && { instance, expected };
  }

  /** Checks a target chosen earlier: returns it with the position required now, or undefined if it became invalid. */
  recheck(placement: Placement, target: Target): Target | undefined {
    const now = this.options.now();
    if (!target.instance.isUsable(now)) return undefined;
    const required = requiredPosition(placement, now);
    if (!needsPrimary(placement, required)) return { instance: target.instance, after: required };
    const primary = this.#primaryTarget(placement, required, now);
    return primary?.instance.id === target.instance.id ? primary : undefined;
  }

  /** Records whether an instance had reached the position that a statement required. */
  recordAnswer(instanceId: string, needed: Position, code: StatementErrorCode | undefined): void {
    if (code === 'lagging') this.lag.recordLagging(instanceId, needed, this.options.now());
    else if (code === undefined) this.lag.recordServed(instanceId);
  }

  /** True if the primary is known and responds, and only the proof that it has not been replaced is missing. */
  lacksTrust(placement: Placement): boolean {
    const { now } = this.options;
    const { service, access } = placement;
    const primary = service.primary(now());
    if (primary === undefined || primary.pool.health.isUnresponsive(access)) return false;
    return includesReads(placement) && !this.#mayRelyOn(primary, service, now());
  }

  #mayRelyOn(primary: InstanceRuntime, service: ServiceRuntime, now: Milliseconds): boolean {
    const { view } = this.options;
    return view.mayTrustPrimary(service.name, now) && view.hasBeenPrimary(primary.pool.instance);
  }

  #primaryTarget(
    placement: Placement,
    after: Position | undefined,
    now: Milliseconds,
  ): Target | undefined {
    const { service, beganAt, access } = placement;
    const instance = service.primary(now);
    if (instance === undefined || instance.pool.health.isStalled(access)) return undefined;
    const isTrusted =
      this.#mayRelyOn(instance, service, now) ||
      this.options.prover.covers(service, instance.id, beganAt);
    if (includesReads(placement) && !isTrusted) return undefined;
    if (access !== 'read') return { instance, after: undefined };
    return { instance, after: after ?? positionReportedBy(instance, service) };
  }
}

/**
 * The newest position that the primary has reported: a new incarnation, which responds under the same platform id and
 * has none of its log, refuses a read that requires it.
 */
function positionReportedBy(
  { id, pool }: InstanceRuntime,
  service: ServiceRuntime,
): Position | undefined {
  if (pool.instance.lifeOf === undefined) return undefined;
  const sample = service.newestSample();
  return sample?.instanceId === id ? sample.position : undefined;
}

/** The expected response times of the chosen instance and of the others, for the trace. */
function expectedTimesOf(
  chosenId: string,
  expected: ReadonlyMap<string, Milliseconds> | undefined,
): Pick<Extract<TraceStep, { step: 'chosen' }>, 'expectedMs' | 'passedBy'> {
  if (expected === undefined) return {};
  const others = [...expected].filter(([id]) => id !== chosenId);
  const passedBy = Object.fromEntries(others.map(([id, time]) => [id, Math.round(time)]));
  return { expectedMs: Math.round(expected.get(chosenId) ?? 0), passedBy };
}

function includesReads({ access, isTransaction }: Placement): boolean {
  return access === 'read' || isTransaction === true;
}

/** Without a required position, only the primary is certain to have all commits that the read must see. */
function needsPrimary({ access, route }: Placement, required: Position | undefined): boolean {
  return access === 'write' || route.consistency === 'primary' || required === undefined;
}

function requiredPosition(placement: Placement, now: Milliseconds): Position | undefined {
  const { route, service, session } = placement;
  const required = service.samples.requiredAt(now, route.maxStalenessMs - STALENESS_MARGIN_MS);
  if (required === undefined || route.consistency !== 'read-your-writes') return required;
  const { requirement } = session;
  return requirement.type === 'known' ? laterPosition(required, requirement.position) : undefined;
}
