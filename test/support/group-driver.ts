/** Drives one group's machine by hand: answers probes and opens connections as a test says. */
import type {
  GroupEffect,
  GroupEvent,
  InstanceDescription,
  InstanceState,
  RunResult,
} from '../../src/core/group/contract.js';
import { DatabaseGroup } from '../../src/core/group/database-group.js';
import type { DatabaseGroupOptions } from '../../src/core/group/options.js';
import { effectsOf, instance } from './group-fixtures.js';

/** A machine with all the effects it has produced so far. */
export class GroupDriver {
  readonly machine: DatabaseGroup;
  readonly effects: GroupEffect[] = [];
  now = 0;
  /** What each instance answers to probes; absent: no answer. */
  readonly states = new Map<string, InstanceState>();

  constructor(options: Partial<DatabaseGroupOptions> = {}) {
    this.machine = new DatabaseGroup({
      group: 'orders',
      ownZone: 'a',
      random: () => 0.5,
      ...options,
    });
  }

  /** Three instances `a`, `b`, `c` by default. */
  start(instances: readonly InstanceDescription[] = ['a', 'b', 'c'].map((n) => instance(n))): void {
    this.send({ type: 'instances-changed', instances });
    this.settle();
  }

  send(event: GroupEvent): GroupEffect[] {
    const effects = this.machine.handle(event, this.now);
    this.effects.push(...effects);
    return effects;
  }

  /** Lets time pass and answers what is asked at its end. */
  wait(milliseconds: number): void {
    this.now += milliseconds;
    this.send({ type: 'tick' });
    this.settle();
  }

  private answered = 0;

  /** Answers open probes and opens connections until nothing new is asked. */
  settle(): void {
    for (; this.answered < this.effects.length; this.answered += 1) {
      const effect = this.effects[this.answered];
      if (effect?.type === 'probe') {
        const state = this.states.get(effect.instance);
        if (state !== undefined) {
          this.send({ type: 'probe-answered', probeId: effect.probeId, state });
        }
      }
      if (effect?.type === 'open-connection') {
        this.send({ type: 'connection-opened', connectionId: effect.connectionId });
      }
      if (effect?.type === 'reset-connection') {
        this.send({ type: 'connection-reset', connectionId: effect.connectionId });
      }
    }
  }

  finish(requestId: string, result: RunResult): void {
    this.send({ type: 'run-finished', requestId, result });
  }

  runs(): Extract<GroupEffect, { type: 'run' }>[] {
    return effectsOf(this.effects, 'run');
  }

  /** The final effects of a request: there must never be more than one. */
  finals(requestId: string): GroupEffect[] {
    return this.effects.filter((effect) => {
      const isFinal = effect.type === 'release' || effect.type === 'fail';
      return isFinal && effect.requestId === requestId;
    });
  }
}
