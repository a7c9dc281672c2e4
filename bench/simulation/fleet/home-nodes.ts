/**
 * Where gateways keep the positions of sessions that move with nothing but their id: the core's
 * tables and quorum, with calls that are lost, late or repeated.
 */
import { createHash } from 'node:crypto';
import {
  combineAnswers,
  type GroupPosition,
  type HomeNodeAnswer,
  homeNodesOf,
  isRecorded,
  type SessionIdentity,
  SessionPositionTable,
  type SessionState,
} from '../../../src/core/session/index.js';
import type { SimulatedClock } from '../clock.js';
import type { FleetMechanism } from './mechanisms.js';
import type { FleetNetwork } from './network.js';
import type { SimulatedProcess } from './process.js';

/** Sessions live shorter than real ones, so that node restarts matter to them. */
export const SESSION_LIFE_MS = 2500;

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

/** What home nodes and those who ask them share. */
export interface HomeContext {
  readonly clock: SimulatedClock;
  readonly network: FleetNetwork;
  readonly without: ReadonlySet<FleetMechanism>;
  /** All nodes of the machine list. */
  readonly nodeIds: readonly string[];
  homeNamed(nodeId: string): SimulatedHomeNode;
}

/** One node's table, through the node's lives. */
export class SimulatedHomeNode {
  #table: SessionPositionTable;

  constructor(
    private readonly context: HomeContext,
    public process: SimulatedProcess,
  ) {
    // It runs for longer than any session.
    this.#table = newTable(-SESSION_LIFE_MS);
  }

  /** A new life with nothing in memory. */
  restart(process: SimulatedProcess): void {
    this.process = process;
    this.#table = newTable(this.context.clock.now);
  }

  keep(session: SessionIdentity, entry: GroupPosition): true {
    const event = { type: 'record', session, positions: [entry] } as const;
    this.#table.handle(event, this.context.clock.now);
    return true;
  }

  answerLookUp(session: SessionIdentity): HomeNodeAnswer {
    const found = this.#table.handle({ type: 'look-up', session }, this.context.clock.now);
    if (found.type !== 'found') return { positions: new Map(), complete: false };
    if (this.context.without.has('home-completeness')) return { ...found.answer, complete: true };
    return found.answer;
  }
}

function newTable(startedAt: number): SessionPositionTable {
  return new SessionPositionTable({ startedAt, sessionIdleTimeoutMs: SESSION_LIFE_MS });
}

/** One gateway's access to the home nodes. */
export class SimulatedDirectory {
  constructor(
    private readonly context: HomeContext,
    private readonly process: SimulatedProcess,
  ) {}

  lookUp(session: SessionIdentity, take: (state: SessionState) => void): void {
    const homes = this.#homesOf(session);
    const answers: HomeNodeAnswer[] = [];
    let outstanding = homes.length;
    const settle = (answer: HomeNodeAnswer | undefined): void => {
      outstanding -= 1;
      if (answer !== undefined) answers.push(answer);
      if (outstanding === 0) take(this.#combine(answers, homes.length));
    };
    for (const home of homes) this.#call(home, (asked) => asked.answerLookUp(session), settle);
  }

  record(session: SessionIdentity, entry: GroupPosition, take: (kept: boolean) => void): void {
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

  #combine(answers: readonly HomeNodeAnswer[], homeNodeCount: number): SessionState {
    const state = combineAnswers(answers, this.#countFor(homeNodeCount));
    if (!this.context.without.has('unknown-session')) return state;
    return { ...state, unlistedGroups: 'untouched' };
  }

  #homesOf(session: SessionIdentity): readonly string[] {
    return homeNodesOf(session, this.context.nodeIds, rankNodes);
  }

  /** With one home node as far as the quorum knows, one answer is enough. */
  #countFor(homeNodeCount: number): number {
    return this.context.without.has('home-quorum') ? Math.min(1, homeNodeCount) : homeNodeCount;
  }

  #call<Answer>(
    home: string,
    ask: (asked: SimulatedHomeNode) => Answer,
    settle: (answer: Answer | undefined) => void,
  ): void {
    const { clock, network } = this.context;
    const { process } = this;
    const { nodeId } = process;
    let settled = false;
    const settleOnce = (answer: Answer | undefined): void => {
      if (settled) return;
      settled = true;
      settle(answer);
    };
    const send = (): void =>
      network.sendCall(nodeId, home, () => {
        const asked = this.context.homeNamed(home);
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
