/** What the answers of one instance tell: whether it answers at all, how fast, and at which pace it takes statements. */
import type { InstanceObservation } from '../core/fleet/instance-digest.js';
import type { Access } from '../core/request.js';
import { BusyPace } from '../core/statements/busy-pace.js';
import { StallDetector } from '../core/statements/stall.js';
import type { StatementErrorCode } from '../core/statements/statement.js';
import type { Milliseconds } from '../core/units.js';
import type { GatewayLatencies } from './latencies.js';

const INITIAL_ANSWER_MS: Milliseconds = 25;
const ANSWER_SMOOTHING = 0.1;
/** An answer that takes longer than this, or so many times the recent time, is taken for lost. */
const MIN_LOST_AFTER_MS: Milliseconds = 250;
const LOST_AFTER_FACTOR = 8;
/** An instance that answers nothing for so long gets no new work but a probe now and then. */
const STALL_MS: Milliseconds = 400;
const MIN_STALL_UNANSWERED = 2;
/** A stalled instance gets one statement in so long, which shows whether it answers again. */
const STALL_PROBE_PERIOD_MS: Milliseconds = 200;

export interface InstanceHealthOptions {
  readonly now: () => Milliseconds;
  readonly latencies?: Pick<GatewayLatencies, 'instanceAnswers'>;
  /** Takes what statements show of the instance. */
  readonly observe?: (observation: InstanceObservation) => void;
}

export class InstanceHealth {
  /** Recent time of an answer. */
  answerMs: Milliseconds = INITIAL_ANSWER_MS;
  /** Reads avoid the instance until then. */
  avoidUntil: Milliseconds = 0;
  /** Nodes that share the instance. */
  nodeCount = 1;
  readonly pace = new BusyPace();
  readonly #answers = new StallDetector(STALL_MS, MIN_STALL_UNANSWERED);
  readonly #commits = new StallDetector(STALL_MS, MIN_STALL_UNANSWERED);
  #stallProbedAt: Milliseconds = 0;
  /** Called when the instance refused a statement since all its slots were busy. */
  onBusy: (() => void) | undefined;

  constructor(private readonly options: InstanceHealthOptions) {}

  /** How long an answer may take before it is taken for lost. */
  get lostAfterMs(): Milliseconds {
    return Math.max(MIN_LOST_AFTER_MS, this.answerMs * LOST_AFTER_FACTOR);
  }

  /** True while it answers nothing that was asked. */
  isUnresponsive(access: Access): boolean {
    const now = this.options.now();
    return this.#answers.isStalled(now) || (access === 'write' && this.#commits.isStalled(now));
  }

  /** True while it answers nothing; now and then false, so that one statement tries it. */
  isStalled(access: Access): boolean {
    const now = this.options.now();
    const stalled = this.isUnresponsive(access);
    if (!stalled || now - this.#stallProbedAt < STALL_PROBE_PERIOD_MS) return stalled;
    this.#stallProbedAt = now;
    return false;
  }

  /** How long nothing of this kind that was asked has been answered. */
  silenceMs(access: Access): Milliseconds {
    const detector = access === 'write' ? this.#commits : this.#answers;
    return detector.silenceMs(this.options.now());
  }

  /** A statement was sent; the returned function tells whether it was answered. */
  trackAnswer(access: Access): (answered: boolean) => void {
    const detectors = access === 'write' ? [this.#answers, this.#commits] : [this.#answers];
    for (const detector of detectors) detector.recordRequest(this.options.now());
    return (answered) => {
      for (const detector of detectors) {
        if (answered) detector.recordAnswer(this.options.now());
        else detector.recordAbandoned();
      }
    };
  }

  /**
   * A statement that takes a slot was answered.
   * @param tookMs how long that took; left out where it says nothing of the next one
   */
  recordOutcome(
    code: StatementErrorCode | undefined,
    tookMs?: Milliseconds,
    access: Access = 'read',
  ): void {
    if (code === 'busy') this.recordBusy();
    if (code === 'failed') this.recordFailed();
    if (code !== undefined) return;
    this.recordServed();
    // A write also waits for replicas.
    const answerMs = access === 'read' ? tookMs : undefined;
    this.options.observe?.({ type: 'answered', answerMs });
    if (tookMs === undefined) return;
    this.options.latencies?.instanceAnswers.observe(tookMs);
    this.answerMs += (tookMs - this.answerMs) * ANSWER_SMOOTHING;
  }

  /** A slot was free for a statement. */
  recordServed(): void {
    this.pace.recordServed();
  }

  /** The instance refused since all its slots were busy. */
  recordBusy(): void {
    this.pace.recordBusy(this.options.now(), this.nodeCount);
    this.onBusy?.();
    this.options.observe?.({ type: 'refused' });
  }

  /** A statement got no answer, or an error of the instance's own. */
  recordFailed(): void {
    this.options.observe?.({ type: 'failed' });
  }

  /** A statement got its connection after so long. */
  recordWait(waitMs: Milliseconds): void {
    this.options.observe?.({ type: 'started', waitMs });
  }
}
