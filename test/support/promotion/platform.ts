/** The platform's promotion call in virtual time, with what it may see checked: the fencing tokens. */
import type { PromoteRequest, RequestAnswer } from '../../../src/core/promotion/contract.js';
import type { SimulatedGroup } from './group.js';
import type { SimulatedNetwork } from './network.js';

export const PLATFORM = 'platform';

export class SimulatedPlatform {
  slowUntil = 0;
  lossUntil = 0;
  downUntil = 0;
  readonly violations: string[] = [];
  calls = 0;
  /** The instance that was called for last, by service. */
  readonly calledFor = new Map<string, string>();
  #highestToken = 0;
  #holder = '';

  constructor(
    private readonly network: SimulatedNetwork,
    private readonly groups: ReadonlyMap<string, SimulatedGroup>,
  ) {}

  promote(
    machine: string,
    holder: string,
    request: PromoteRequest,
    /** The sender has not reset the call. */
    isOnItsWay: () => boolean,
    onAnswer: (answer: RequestAnswer) => void,
  ): void {
    const { clock } = this.network;
    const answerBack = (outcome: 'accepted' | 'refused' | 'busy'): void =>
      this.network.send(PLATFORM, machine, () => onAnswer({ type: 'promotion', outcome }));
    this.network.send(machine, PLATFORM, () => {
      if (!isOnItsWay() || clock.now < this.downUntil) return;
      this.#noteToken(holder, request.fencingToken);
      this.calledFor.set(request.service, request.instanceId);
      if (clock.chance(0.1)) {
        answerBack('busy');
        return;
      }
      const slowness = clock.now < this.slowUntil ? clock.between(100, 1500) : 0;
      clock.after(slowness, () => {
        const outcome = this.groups.get(request.service)?.promote(request.instanceId) ?? 'refused';
        const isLost = clock.now < this.lossUntil && clock.chance(0.5);
        if (!isLost) answerBack(outcome);
      });
    });
  }

  #noteToken(holder: string, token: number): void {
    this.calls += 1;
    if (token < this.#highestToken) {
      this.violations.push(`ONE: token ${token} of ${holder} after ${this.#highestToken}`);
    }
    if (token === this.#highestToken && holder !== this.#holder) {
      this.violations.push(`ONE: token ${token} of ${holder} and of ${this.#holder}`);
    }
    this.#highestToken = Math.max(this.#highestToken, token);
    this.#holder = holder;
  }
}
