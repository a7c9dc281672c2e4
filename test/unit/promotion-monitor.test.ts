/** When the leader asks a primary for its status, and what makes that needless. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PrimaryMonitor } from '../../src/core/promotion/monitor.js';
import { DEFAULT_PROMOTION_TIMINGS } from '../../src/core/promotion/options.js';
import { PromotionRuntime } from '../../src/core/promotion/runtime.js';
import type { InstanceEntry, InstanceRole } from '../../src/direct/contract.js';

const { probePeriodMs } = DEFAULT_PROMOTION_TIMINGS;
const STEP_MS = 50;

class Watched {
  readonly runtime = new PromotionRuntime({
    nodeName: 'node',
    incarnation: 'life',
    timings: DEFAULT_PROMOTION_TIMINGS,
    random: () => 0.5,
  });
  role: InstanceRole = 'primary';
  probes = 0;
  readonly reasons: string[] = [];
  readonly monitor = new PrimaryMonitor(
    this.runtime,
    {
      primaryIdOf: () => 'a',
      instance: () => this.#entry(),
      isPresent: () => true,
      missingForMs: () => undefined,
    },
    { liveNodes: () => 3, suspicionsOf: () => 0 },
    'group',
    (_primary, reason) => this.reasons.push(reason),
  );

  /** Lets time pass; with `isAnswering`, the primary answers something else in every step. */
  run(durationMs: number, isAnswering: boolean): void {
    const until = this.runtime.now + durationMs;
    while (this.runtime.now < until) {
      this.runtime.now += STEP_MS;
      if (isAnswering) this.monitor.recordAlive('a');
      this.runtime.agenda.run(this.runtime.now);
      this.#answerProbes();
    }
  }

  #entry(): InstanceEntry {
    const { role } = this;
    return {
      id: 'a',
      service: 'group',
      host: '127.0.0.1',
      port: 1,
      zone: 'z',
      slots: 1,
      draining: false,
      role,
    };
  }

  #answerProbes(): void {
    for (const effect of this.runtime.takeEffects()) {
      if (effect.type !== 'request') continue;
      this.probes += 1;
      const status = {
        role: this.role,
        term: 1,
        received: { timeline: 1, lsn: 0n },
        heldTerm: 0,
        lagMs: 0,
        busySlots: 0,
        connections: 1,
      };
      this.runtime.handleAnswer(effect.id, { type: 'status', status });
    }
  }
}

test('a primary that answers other questions is not probed', () => {
  const watched = new Watched();
  watched.monitor.start();
  watched.run(10 * probePeriodMs, true);
  assert.is(watched.probes, 0);
});

test('a primary that nothing else is heard of is probed', () => {
  const watched = new Watched();
  watched.monitor.start();
  watched.run(10 * probePeriodMs, false);
  assert.ok(watched.probes >= 8, `${watched.probes} probes`);
});

test('a primary that announces itself as a replica is asked, though it answers', () => {
  const watched = new Watched();
  watched.monitor.start();
  watched.run(2 * probePeriodMs, true);
  watched.role = 'replica';
  watched.run(4 * probePeriodMs, true);
  assert.ok(watched.reasons.includes('lost-lead'), `${watched.probes} probes`);
});

test.run();
