/** Runs a database group's state machine in tests: answers its probes and opens its connections. */
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

/** A group's state machine with all the effects that it has returned so far. */
export class GroupDriver {
  readonly stateMachine: DatabaseGroup;
  readonly effects: GroupEffect[] = [];
  now = 0;
  /** State that each instance reports in response to probes; an absent instance doesn't respond. */
  readonly states = new Map<string, InstanceState>();

  constructor(options: Partial<DatabaseGroupOptions> = {}) {
    this.stateMachine = new DatabaseGroup({
      group: 'orders',
      ownZone: 'a',
      random: () => 0.5,
      ...options,
    });
  }

  /** Starts with three instances `a`, `b` and `c` by default. */
  start(instances: readonly InstanceDescription[] = ['a', 'b', 'c'].map((n) => instance(n))): void {
    this.send({ type: 'instances-changed', instances });
    this.settle();
  }

  send(event: GroupEvent): GroupEffect[] {
    const effects = this.stateMachine.handle(event, this.now);
    this.effects.push(...effects);
    return effects;
  }

  /** Advances the time, sends a tick and then answers the open effects. */
  wait(milliseconds: number): void {
    this.now += milliseconds;
    this.send({ type: 'tick' });
    this.settle();
  }

  private handledCount = 0;

  /** Answers probes, opens connections and confirms resets until there are no new effects. */
  settle(): void {
    for (; this.handledCount < this.effects.length; this.handledCount += 1) {
      const effect = this.effects[this.handledCount];
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

  /** The final effects of a request; at most one is allowed. */
  finals(requestId: string): GroupEffect[] {
    return this.effects.filter((effect) => {
      const isFinal = effect.type === 'release' || effect.type === 'fail';
      return isFinal && effect.requestId === requestId;
    });
  }
}
