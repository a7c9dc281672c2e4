/** When the leader probes a primary, and when other responses make a probe unnecessary. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PrimaryMonitor } from '../../src/core/promotion/monitor.js';
import { DEFAULT_PROMOTION_TIMINGS } from '../../src/core/promotion/options.js';
import { PromotionRuntime } from '../../src/core/promotion/runtime.js';
import type { InstanceEntry, InstanceRole } from '../../src/direct/contract.js';

const { probePeriodMs } = DEFAULT_PROMOTION_TIMINGS;
const STEP_MS = 50;

class MonitoredPrimary {
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
      isRegistered: () => true,
      missingForMs: () => undefined,
    },
    { countLiveNodes: () => 3, countSuspicions: () => 0 },
    'group',
    (_primary, reason) => this.reasons.push(reason),
  );

  /** Advances the time; with `isAnswering`, the primary responds to another request in every step. */
  run(durationMs: number, isAnswering: boolean): void {
    const until = this.runtime.now + durationMs;
    while (this.runtime.now < until) {
      this.runtime.now += STEP_MS;
      if (isAnswering) this.monitor.recordAlive('a');
      this.runtime.timers.runDue(this.runtime.now);
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

test('a primary that responds to other requests is not probed', () => {
  const monitored = new MonitoredPrimary();
  monitored.monitor.start();
  monitored.run(10 * probePeriodMs, true);
  assert.is(monitored.probes, 0);
});

test('a primary without any other response is probed', () => {
  const monitored = new MonitoredPrimary();
  monitored.monitor.start();
  monitored.run(10 * probePeriodMs, false);
  assert.ok(monitored.probes >= 8, `${monitored.probes} probes`);
});

test('a primary that announces itself as a replica is probed although it responds', () => {
  const monitored = new MonitoredPrimary();
  monitored.monitor.start();
  monitored.run(2 * probePeriodMs, true);
  monitored.role = 'replica';
  monitored.run(4 * probePeriodMs, true);
  assert.ok(monitored.reasons.includes('lost-lead'), `${monitored.probes} probes`);
});

test.run();
