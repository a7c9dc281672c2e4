/** Chooses the instance of a statement or transaction, and the log position that it needs there. */
import { laterPosition, type Position } from '../core/position.js';
import type { Access } from '../core/request.js';
import { rankInstances } from '../core/statements/instance-choice.js';
import { LaggingReplicas } from '../core/statements/lag-memory.js';
import type { StatementErrorCode } from '../core/statements/statement.js';
import type { Milliseconds } from '../core/units.js';
import type { RouteDescription } from './contract.js';
import type { FleetPlacement } from './fleet-placement.js';
import type { PrimaryView } from './promotion/contract.js';
import type { RequestTrace, TraceStep } from './request-trace.js';
import type { InstanceRuntime, ServiceRuntime } from './service-runtime.js';
import type { StatementsUnderWay } from './statements-under-way.js';
import type { Tenant } from './tenant.js';
import type { TrustProver } from './trust-prover.js';

/**
 * A read must reach its instance within this, or its staleness bound may be missed; one message takes a few
 * milliseconds. Each 100 ms more keep reads from replicas that lag by nearly their bound: with 400 ms, two lagging
 * replicas left a primary 80 % busy, and days with such lag had 0.02 to 0.03 less worth (simulated days, one play each).
 */
const STALENESS_MARGIN_MS = 100;

/** What one session brings along to every statement. */
export interface SessionContext {
  readonly values: ReadonlyMap<string, string>;
  /** Last position that the session wrote, in the service's log. */
  readonly lastWritten: Position | undefined;
  /** What of the session may still run at an instance, also after it was answered or given up. */
  readonly underWay: StatementsUnderWay;
}

/** What decides where a statement or transaction may go. */
export interface Placement {
  readonly access: Access;
  readonly route: RouteDescription;
  readonly tenant: Tenant;
  /** Who asks, by the caller's key; undefined where callers need none. */
  readonly account?: string | undefined;
  readonly service: ServiceRuntime;
  readonly session: SessionContext;
  /** When the statement came. */
  readonly beganAt: Milliseconds;
  /** A transaction that may write also reads, so that it must not begin at a deposed primary. */
  readonly isTransaction?: boolean;
  /** Takes what is decided about it. */
  readonly trace?: RequestTrace;
}

/** Where a statement goes and what position it needs there. */
export interface Target {
  readonly instance: InstanceRuntime;
  readonly after: Position | undefined;
  /** Expected times of the instances it was chosen from, by their ids. */
  readonly expected?: ReadonlyMap<string, Milliseconds> | undefined;
}

export interface TargetChooserOptions {
  readonly view: PrimaryView;
  readonly prover: TrustProver;
  /** Orders the instances that may serve a read; without it each node ranks them by its own sight. */
  readonly placement?: FleetPlacement | undefined;
  readonly now: () => Milliseconds;
}

export class TargetChooser {
  /** Replicas that lately lacked what a read needed. */
  readonly lag = new LaggingReplicas();

  constructor(private readonly options: TargetChooserOptions) {}

  /** The instance for a new statement or transaction, or none for now. */
  choose(placement: Placement, excluded: ReadonlySet<string>): Target | undefined {
    const target = this.#choose(placement, excluded);
    this.#note(placement, target);
    return target;
  }

  #note({ service, trace }: Placement, target: Target | undefined): void {
    if (trace === undefined) return;
    const { view, now } = this.options;
    const isTrusted = view.mayTrustPrimary(service.name, now());
    const primary = view.primaryOf(service.name)?.id;
    if (target === undefined) {
      const isChanging = view.isChanging(service.name);
      trace.note({ step: 'no-instance', primary, isTrusted, isChanging });
      return;
    }
    const sampledAt = service.samples.newestAt();
    const sampleAgeMs = sampledAt === undefined ? undefined : Math.round(now() - sampledAt);
    const { instance, after, expected } = target;
    const isPrimary = instance.id === primary;
    const chosen = { step: 'chosen', instance: instance.id, isPrimary, isTrusted } as const;
    trace.note({ ...chosen, after, sampleAgeMs, ...timesOf(instance.id, expected) });
  }

  #choose(placement: Placement, excluded: ReadonlySet<string>): Target | undefined {
    const now = this.options.now();
    const required = requiredPosition(placement, now);
    if (needsPrimary(placement, required)) return this.#primaryTarget(placement, required, now);
    const readable = placement.service.readable(now);
    const current = readable.filter(({ id }) => !this.lag.isLikelyBehind(id, required, now));
    const candidates = current.length > 0 ? current : readable;
    const open = candidates.filter(({ id }) => !excluded.has(id));
    // What an ill instance does to a single read is mended by another one; a transaction would stay there.
    const mayProbe = excluded.size === 0 && placement.isTransaction !== true;
    const chosen = this.#first(placement, open.length > 0 ? open : candidates, mayProbe);
    return chosen && { ...chosen, after: required };
  }

  /** The one of these that a read goes to. */
  #first(
    { service }: Placement,
    candidates: readonly InstanceRuntime[],
    mayProbe: boolean,
  ): Pick<Target, 'instance' | 'expected'> | undefined {
    const placed = this.options.placement?.rank(service.name, candidates, mayProbe);
    if (placed === undefined) {
      const instance = rankInstances(candidates, this.options.now())[0];
      return instance && { instance };
    }
    const instance = placed[0]?.candidate;
    const expected = new Map(placed.map((one) => [one.candidate.id, one.expectedMs]));
    return instance && { instance, expected };
  }

  /** Whether a target chosen some time ago may still be used, and the position it needs now. */
  recheck(placement: Placement, target: Target): Target | undefined {
    const now = this.options.now();
    if (!target.instance.isUsable(now)) return undefined;
    const required = requiredPosition(placement, now);
    if (!needsPrimary(placement, required)) return { instance: target.instance, after: required };
    const primary = this.#primaryTarget(placement, required, now);
    return primary?.instance.id === target.instance.id ? primary : undefined;
  }

  /** Takes whether an instance had the position that was needed there. */
  noteAnswer(instanceId: string, needed: Position, code: StatementErrorCode | undefined): void {
    if (code === 'lagging') this.lag.recordLagging(instanceId, needed, this.options.now());
    else if (code === undefined) this.lag.recordServed(instanceId);
  }

  /** True if the primary is there and answers, and only the proof that it still leads is missing. */
  lacksTrust(placement: Placement): boolean {
    const { view, now } = this.options;
    const { service, access } = placement;
    const primary = service.primary(now());
    if (primary === undefined || primary.pool.health.isUnresponsive(access)) return false;
    return reads(placement) && !view.mayTrustPrimary(service.name, now());
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
      this.options.view.mayTrustPrimary(service.name, now) ||
      this.options.prover.covers(service, instance.id, beganAt);
    if (reads(placement) && !isTrusted) return undefined;
    return { instance, after: access === 'read' ? after : undefined };
  }
}

/** What an instance was chosen by, and those that were passed by. */
function timesOf(
  chosenId: string,
  expected: ReadonlyMap<string, Milliseconds> | undefined,
): Pick<Extract<TraceStep, { step: 'chosen' }>, 'expectedMs' | 'passedBy'> {
  if (expected === undefined) return {};
  const others = [...expected].filter(([id]) => id !== chosenId);
  const passedBy = Object.fromEntries(others.map(([id, time]) => [id, Math.round(time)]));
  return { expectedMs: Math.round(expected.get(chosenId) ?? 0), passedBy };
}

function reads({ access, isTransaction }: Placement): boolean {
  return access === 'read' || isTransaction === true;
}

/** Without a position to ask for, only the primary is sure to have what the read must see. */
function needsPrimary({ access, route }: Placement, required: Position | undefined): boolean {
  return access === 'write' || route.consistency === 'primary' || required === undefined;
}

function requiredPosition(placement: Placement, now: Milliseconds): Position | undefined {
  const { route, service, session } = placement;
  const required = service.samples.requiredAt(now, route.maxStalenessMs - STALENESS_MARGIN_MS);
  const { lastWritten } = session;
  if (required === undefined || lastWritten === undefined) return required;
  return route.consistency === 'read-your-writes' ? laterPosition(required, lastWritten) : required;
}
