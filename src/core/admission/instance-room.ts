/**
 * How much work one node lets in at an instance that is short of slots. Scarcity shows as time that answers take
 * beyond the work itself, or as refusals for want of slots. The room (statements in flight) falls first; where it
 * can't fall any further, since many nodes share the instance, the level does: work is let in by priority, then by a
 * hash of its tenant. Nodes see about the same delay, so that their levels agree without a word. No I/O and no clock.
 */
import type { Milliseconds } from '../units.js';
import { WorkTimes } from './work-times.js';

export interface RoomOptions {
  /** Statements that the instance runs at once. */
  readonly slots: number;
  /** Nodes that share the instance. */
  readonly sharers: number;
  /** A wait for a slot up to this is no scarcity. */
  readonly targetMs: Milliseconds;
  /** The priorities that compete: `highest` is the least number. */
  readonly highest: number;
  readonly lowest: number;
}

/** What came of a statement that had been let in. */
export interface RoomOutcome {
  readonly priority: number;
  readonly tookMs: Milliseconds;
  /** Statements in flight beside it when it ended. */
  readonly inFlight: number;
}

/** A change that callers may notice. */
export interface RoomState {
  /** Undefined while nothing is short. */
  readonly room: number | undefined;
  /** Priorities below this are let in whole; undefined while all are. */
  readonly level: number | undefined;
}

const ROOM_FALL = 0.8;
const ROOM_RISE = 1.15;
const LEVEL_FALL = 0.25;
const LEVEL_RISE = 0.05;
/** Between half of the target and the target nothing changes. */
const EASE_SHARE = 0.5;
/** A step is judged by answers to what was let in after the one before it. */
const LEAST_STEP_MS: Milliseconds = 40;
const LONGEST_STEP_MS: Milliseconds = 150;
/** Without any answer for so long, what was learned of the delay is void. */
const SILENCE_MS: Milliseconds = 400;
/** More statements of one node in flight than so many times the slots would only wait at the instance. */
const MOST_SLOTS = 1.5;

export class InstanceRoom {
  readonly times = new WorkTimes();
  /** Undefined while nothing is short. */
  #room: number | undefined;
  #level = Number.POSITIVE_INFINITY;
  #steppedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #answeredAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #answers = 0;
  #wasRefused = false;

  /** @param fleetDelayMs what other nodes see of the wait for a slot, if that is known */
  constructor(private readonly fleetDelayMs: () => Milliseconds | undefined = () => undefined) {}

  /** True while the instance is short of slots. */
  get isShort(): boolean {
    return this.#room !== undefined;
  }

  get state(): RoomState {
    const level = this.#level === Number.POSITIVE_INFINITY ? undefined : this.#level;
    return { room: this.#room === undefined ? undefined : Math.floor(this.#room), level };
  }

  /** Statements that may be in flight. */
  roomOf({ slots }: Pick<RoomOptions, 'slots'>): number {
    return Math.floor(this.#room ?? mostOf(slots));
  }

  /**
   * Whether the level lets work in.
   * @param spread of its tenant, in [0, 1)
   */
  admits(priority: number, spread: number): boolean {
    return priority + spread < this.#level;
  }

  noteAnswer({ priority, tookMs, inFlight }: RoomOutcome, options: RoomOptions, now: Milliseconds) {
    this.times.note(priority, tookMs, this.isShort);
    this.#answeredAt = now;
    this.#answers += 1;
    this.step(options, inFlight, now);
  }

  /** The instance refused a statement since all its slots were busy. */
  noteRefused(): void {
    this.#wasRefused = true;
  }

  /** Looks at what has come since the last step; called with each answer, and now and then without one. */
  step(options: RoomOptions, inFlight: number, now: Milliseconds): void {
    const stepMs = Math.min(LONGEST_STEP_MS, Math.max(LEAST_STEP_MS, this.times.delayMs));
    if (now - this.#steppedAt < stepMs) return;
    const isSilent = now - this.#answeredAt >= SILENCE_MS;
    const told = this.fleetDelayMs();
    if (this.#answers === 0 && !this.#wasRefused && !isSilent && told === undefined) return;
    this.#steppedAt = now;
    this.#answers = 0;
    if (isSilent) {
      this.times.forgetDelay();
      this.#answeredAt = now;
    }
    const delayMs = told ?? this.times.delayMs;
    if (delayMs > options.targetMs || this.#wasRefused) this.#fall(options, inFlight);
    else if (delayMs < options.targetMs * EASE_SHARE) this.#rise(options);
    this.#wasRefused = false;
  }

  #fall({ slots, sharers, highest, lowest }: RoomOptions, inFlight: number): void {
    const least = Math.max(1, Math.ceil(slots / Math.max(1, sharers)));
    const before = this.#room;
    const used = Math.min(mostOf(slots), inFlight + 1);
    this.#room = Math.max(least, (before ?? used) * ROOM_FALL);
    if (before === undefined || before > least) return;
    // The highest priority is let in whole at every node, as others may let in lower ones.
    this.#level = Math.max(highest + 1, Math.min(lowest + 1, this.#level) - LEVEL_FALL);
  }

  #rise({ slots, lowest }: RoomOptions): void {
    if (this.#level !== Number.POSITIVE_INFINITY) {
      const level = this.#level + LEVEL_RISE;
      this.#level = level >= lowest + 1 ? Number.POSITIVE_INFINITY : level;
      return;
    }
    if (this.#room === undefined) return;
    this.#room = Math.max(this.#room + 1 / 2, this.#room * ROOM_RISE);
    if (this.#room >= mostOf(slots)) this.#room = undefined;
  }
}

function mostOf(slots: number): number {
  return Math.ceil(slots * MOST_SLOTS);
}
