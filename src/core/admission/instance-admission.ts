/**
 * Decides for one instance, as one node sees it, who starts next, who waits, and who is refused at once. In force only
 * where callers compete by different priorities; without rules everything is let in. No I/O and no clock.
 */
import { hashText } from '../hash-text.js';
import type { Milliseconds } from '../units.js';
import { InstanceRoom, type RoomOptions, type RoomState } from './instance-room.js';
import {
  type OrderView,
  PassedOver,
  STARTS_PER_OLDEST,
  startsBefore,
  type WaitingWork,
} from './queue-order.js';

/** What callers need, as far as admission depends on it. */
export interface AdmissionRules {
  /** A wait for a slot of an instance up to this is no scarcity. */
  readonly targetDelayMs: Milliseconds;
  /** The priorities that compete: `highest` is the least number. */
  readonly highest: number;
  readonly lowest: number;
}

/** A statement that asks for room. */
export interface AdmissionWork extends WaitingWork {
  readonly deadline: Milliseconds;
  /** It is started by then, or refused. */
  readonly startBy: Milliseconds;
}

/** Why a statement is refused before it is tried. */
export type AdmissionRefusal =
  /** By the estimate its turn comes too late. */
  | 'no-turn-in-time'
  /** It has waited as long as it may without being tried. */
  | 'waited-too-long';

/** The instance as it is now. */
export interface InstanceUse {
  readonly slots: number;
  /** Nodes that share the instance. */
  readonly sharers: number;
  /** Statements of this node in flight there. */
  readonly inFlight: number;
  /** Those of them that have the highest priority. */
  readonly highest: number;
}

/** Part of the aim that a declared wait for a slot may take. */
const TARGET_SHARE = 0.2;
/** Part of its time that a statement may wait untried. */
const UNTRIED_SHARE = 0.5;
/** Another part of the tenants is let in first after so long. */
const TURN_MS: Milliseconds = 2000;

/** A route as admission looks at it. */
export interface CompetingRoute {
  readonly priority: number;
  readonly targetLatencyMs: Milliseconds;
}

/** Undefined where nobody competes: all routes have the same priority. */
export function admissionRules(routes: readonly CompetingRoute[]): AdmissionRules | undefined {
  const priorities = routes.map(({ priority }) => priority);
  const [highest, lowest] = [Math.min(...priorities), Math.max(...priorities)];
  if (!(highest < lowest)) return undefined;
  const shortest = Math.min(...routes.map(({ targetLatencyMs }) => targetLatencyMs));
  return { targetDelayMs: shortest * TARGET_SHARE, highest, lowest };
}

/** By when a statement that came at `beganAt` is to be started. */
export function startByOf(beganAt: Milliseconds, deadline: Milliseconds): Milliseconds {
  return beganAt + (deadline - beganAt) * UNTRIED_SHARE;
}

export class InstanceAdmission {
  readonly room: InstanceRoom;
  readonly #passedOver = new PassedOver();

  constructor(
    private readonly rules: () => AdmissionRules | undefined,
    fleetDelayMs?: () => Milliseconds | undefined,
  ) {
    this.room = new InstanceRoom(fleetDelayMs);
  }

  /** False where nobody competes; nothing else of this class binds then. */
  get isInForce(): boolean {
    return this.rules() !== undefined;
  }

  get state(): RoomState {
    return this.room.state;
  }

  /**
   * Whether a statement may start, for all that the instance's slots allow. What is in flight of lower priorities
   * takes no room of the highest.
   */
  mayStart({ priority, tenant }: WaitingWork, use: InstanceUse, now: Milliseconds): boolean {
    const rules = this.rules();
    if (rules === undefined) return true;
    const room = this.room.roomOf(use);
    if (priority <= rules.highest) return use.highest < Math.max(room, use.slots);
    return use.inFlight < room && this.room.admits(priority, spreadOf(tenant, now));
  }

  /** Why it is not worth waiting, if it isn't. */
  refusalOf(
    work: AdmissionWork,
    waiting: readonly WaitingWork[],
    held: ReadonlyMap<string, number>,
    use: InstanceUse,
    now: Milliseconds,
  ): AdmissionRefusal | undefined {
    if (!this.isInForce) return undefined;
    if (now >= work.startBy) return 'waited-too-long';
    const startsAt = now + this.expectedWaitMs(work, waiting, held, use, now);
    const endsAt = startsAt + this.room.times.answerMs(work.priority);
    return startsAt > work.startBy || endsAt > work.deadline ? 'no-turn-in-time' : undefined;
  }

  /** Expected wait in this node's queue behind those that start before it. */
  expectedWaitMs(
    work: WaitingWork,
    waiting: readonly WaitingWork[],
    held: ReadonlyMap<string, number>,
    use: InstanceUse,
    now: Milliseconds,
  ): Milliseconds {
    if (waiting.length === 0) return 0;
    const view = this.#view(held, now);
    const first = Math.min(...waiting.map(({ priority }) => priority));
    let aheadMs = 0;
    let passedOver = 0;
    for (const other of waiting) {
      if (startsBefore(other, work, view)) aheadMs += view.answerMs(other.priority);
      if (other.priority > first) passedOver += 1;
    }
    // However much goes before it, it has a turn as the oldest.
    const startsUntilOldest = (passedOver + 1) * STARTS_PER_OLDEST;
    const asOldestMs = startsUntilOldest * view.answerMs(first);
    return Math.min(aheadMs, asOldestMs) / this.room.roomOf(use);
  }

  /** The statement that starts next of those that may; undefined if none may. */
  next<Work extends WaitingWork>(
    candidates: readonly Work[],
    held: ReadonlyMap<string, number>,
    now: Milliseconds,
  ): Work | undefined {
    const view = this.#view(held, now);
    let first: Work | undefined;
    let oldest: Work | undefined;
    for (const work of candidates) {
      if (first === undefined || startsBefore(work, first, view)) first = work;
      if (oldest === undefined || work.queuedAt < oldest.queuedAt) oldest = work;
    }
    if (first === undefined || oldest === undefined) return undefined;
    return this.#passedOver.choose(first, oldest, view);
  }

  /** A statement gave its connection back. */
  noteEnd(priority: number, tookMs: Milliseconds, use: InstanceUse, now: Milliseconds): void {
    const rules = this.rules();
    if (rules === undefined) return;
    const { inFlight } = use;
    this.room.noteAnswer({ priority, tookMs, inFlight }, optionsOf(rules, use), now);
  }

  noteRefused(): void {
    if (this.isInForce) this.room.noteRefused();
  }

  /** Time goes on without an answer. */
  step(use: InstanceUse, now: Milliseconds): void {
    const rules = this.rules();
    if (rules !== undefined) this.room.step(optionsOf(rules, use), use.inFlight, now);
  }

  isHighest(priority: number): boolean {
    return priority <= (this.rules()?.highest ?? Number.NEGATIVE_INFINITY);
  }

  #view(held: ReadonlyMap<string, number>, now: Milliseconds): OrderView {
    return { now, held, answerMs: (priority) => this.room.times.answerMs(priority) };
  }
}

function optionsOf(rules: AdmissionRules, { slots, sharers }: InstanceUse): RoomOptions {
  const { targetDelayMs: targetMs, highest, lowest } = rules;
  return { slots, sharers, targetMs, highest, lowest };
}

/** Place of a tenant among those of its priority, in [0, 1); another one from turn to turn. */
export function spreadOf(tenant: string, now: Milliseconds): number {
  let hash = hashText(tenant, Math.floor(now / TURN_MS));
  hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
  return ((hash ^ (hash >>> 13)) >>> 0) / 2 ** 32;
}
