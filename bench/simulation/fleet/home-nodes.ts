/**
 * Where gateways keep the positions of sessions that move with nothing but their id: the core's
 * tables and quorum, with calls that are lost, late or repeated.
 */
import { createHash } from 'node:crypto';
import {
  combineAnswers,
  type GroupPosition,
  type HomeAnswer,
  homeNodesOf,
  isRecorded,
  type SessionKeyName,
  type SessionState,
} from '../../../src/core/session/index.js';
import type { FleetContext } from './context.js';
import type { FleetNode } from './node.js';

const CALL_TIMEOUT_MS = 250;
const REPEATED_SHARE = 0.05;
/** A message that is repeated comes at most this much later. */
const MAX_REPETITION_MS = 200;

/** Orders nodes by preference for a key, the same everywhere. */
export function rankNodes(key: string, nodeIds: readonly string[]): readonly string[] {
  const scoreOf = (nodeId: string): string =>
    createHash('sha1').update(`${key}\0${nodeId}`).digest('hex');
  return [...nodeIds].sort((left, right) => (scoreOf(left) < scoreOf(right) ? -1 : 1));
}

/** One gateway's access to the home nodes. */
export class SimulatedDirectory {
  constructor(
    private readonly context: FleetContext,
    private readonly node: FleetNode,
  ) {}

  lookUp(session: SessionKeyName, take: (state: SessionState) => void): void {
    const homes = this.#homesOf(session);
    const answers: HomeAnswer[] = [];
    let outstanding = homes.length;
    const settle = (answer: HomeAnswer | undefined): void => {
      outstanding -= 1;
      if (answer !== undefined) answers.push(answer);
      if (outstanding === 0) take(combineAnswers(answers, this.#countFor(homes.length)));
    };
    for (const home of homes) this.#call(home, (asked) => asked.answerLookUp(session), settle);
  }

  record(session: SessionKeyName, entry: GroupPosition, take: (kept: boolean) => void): void {
    const homes = this.#homesOf(session);
    let outstanding = homes.length;
    let acknowledged = 0;
    let taken = false;
    const settle = (kept: true | undefined): void => {
      outstanding -= 1;
      if (kept) acknowledged += 1;
      const recorded = isRecorded(acknowledged, this.#countFor(homes.length));
      if (taken || (!recorded && outstanding > 0)) return;
      taken = true;
      take(recorded);
    };
    for (const home of homes) this.#call(home, (asked) => asked.keep(session, entry), settle);
  }

  #homesOf(session: SessionKeyName): readonly string[] {
    return homeNodesOf(session, this.context.nodeIds, rankNodes);
  }

  /** With one home node as far as the quorum knows, one answer is enough. */
  #countFor(homeNodeCount: number): number {
    return this.context.without.has('home-quorum') ? Math.min(1, homeNodeCount) : homeNodeCount;
  }

  #call<Answer>(
    home: string,
    ask: (asked: FleetNode) => Answer,
    settle: (answer: Answer | undefined) => void,
  ): void {
    const { clock, network } = this.context;
    const { process, nodeId } = this.node;
    let settled = false;
    const settleOnce = (answer: Answer | undefined): void => {
      if (settled) return;
      settled = true;
      settle(answer);
    };
    const send = (): void =>
      network.sendCall(nodeId, home, () => {
        const asked = this.context.nodeNamed(home);
        asked.process.run(() => {
          const answer = ask(asked);
          network.sendCall(home, nodeId, () => process.run(() => settleOnce(answer)));
        });
      });
    send();
    if (clock.chance(REPEATED_SHARE)) clock.after(clock.between(0, MAX_REPETITION_MS), send);
    process.after(CALL_TIMEOUT_MS, () => settleOnce(undefined));
  }
}
