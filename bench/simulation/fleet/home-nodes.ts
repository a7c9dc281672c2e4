/**
 * Home nodes, which store the positions of sessions that move between gateways by their id alone:
 * the core's tables and quorum, with calls that are lost, late or repeated.
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

/** Shorter than in production, so that node restarts affect sessions within a run. */
export const SESSION_IDLE_TIMEOUT_MS = 2500;

const CALL_TIMEOUT_MS = 250;
const REPEATED_CALL_PROBABILITY = 0.05;
/** Maximum delay of a repeated message. */
const MAX_REPEAT_DELAY_MS = 200;

/** Orders nodes by preference for a key; the order is the same on every node. */
export function rankNodes(key: string, nodeIds: readonly string[]): readonly string[] {
  const scoreOf = (nodeId: string): string =>
    createHash('sha1').update(`${key}\0${nodeId}`).digest('hex');
  return [...nodeIds].sort((left, right) => (scoreOf(left) < scoreOf(right) ? -1 : 1));
}

/** State shared by home nodes and the gateways that call them. */
export interface HomeContext {
  readonly clock: SimulatedClock;
  readonly network: FleetNetwork;
  readonly disabledMechanisms: ReadonlySet<FleetMechanism>;
  /** All nodes of the machine list. */
  readonly nodeIds: readonly string[];
  homeNodeById(nodeId: string): SimulatedHomeNode;
}

/** One node's session table, across restarts of the node. */
export class SimulatedHomeNode {
  #table: SessionPositionTable;

  constructor(
    private readonly context: HomeContext,
    public process: SimulatedProcess,
  ) {
    // Counts as running for longer than any session, so its table is complete.
    this.#table = newTable(-SESSION_IDLE_TIMEOUT_MS);
  }

  /** Starts a new incarnation with empty memory. */
  restart(process: SimulatedProcess): void {
    this.process = process;
    this.#table = newTable(this.context.clock.now);
  }

  recordPosition(session: SessionIdentity, entry: GroupPosition): true {
    const event = { type: 'record', session, positions: [entry] } as const;
    this.#table.handle(event, this.context.clock.now);
    return true;
  }

  lookUpPositions(session: SessionIdentity): HomeNodeAnswer {
    const found = this.#table.handle({ type: 'look-up', session }, this.context.clock.now);
    if (found.type !== 'found') return { positions: new Map(), complete: false };
    if (this.context.disabledMechanisms.has('home-completeness'))
      return { ...found.answer, complete: true };
    return found.answer;
  }
}

function newTable(startedAt: number): SessionPositionTable {
  return new SessionPositionTable({ startedAt, sessionIdleTimeoutMs: SESSION_IDLE_TIMEOUT_MS });
}

/** One gateway's access to the home nodes. */
export class SimulatedDirectory {
  constructor(
    private readonly context: HomeContext,
    private readonly process: SimulatedProcess,
  ) {}

  lookUp(session: SessionIdentity, onResult: (state: SessionState) => void): void {
    const homeNodeIds = this.#homesOf(session);
    const answers: HomeNodeAnswer[] = [];
    let outstanding = homeNodeIds.length;
    const settle = (answer: HomeNodeAnswer | undefined): void => {
      outstanding -= 1;
      if (answer !== undefined) answers.push(answer);
      if (outstanding === 0) onResult(this.#combine(answers, homeNodeIds.length));
    };
    for (const homeNodeId of homeNodeIds)
      this.#call(homeNodeId, (homeNode) => homeNode.lookUpPositions(session), settle);
  }

  record(
    session: SessionIdentity,
    entry: GroupPosition,
    onResult: (isKept: boolean) => void,
  ): void {
    const homeNodeIds = this.#homesOf(session);
    let outstanding = homeNodeIds.length;
    let acknowledged = 0;
    let isSettled = false;
    const settle = (acknowledgement: true | undefined): void => {
      outstanding -= 1;
      if (acknowledgement) acknowledged += 1;
      const recorded = isRecorded(acknowledged, this.#assumedHomeNodeCount(homeNodeIds.length));
      if (isSettled || (!recorded && outstanding > 0)) return;
      isSettled = true;
      onResult(recorded);
    };
    for (const homeNodeId of homeNodeIds)
      this.#call(homeNodeId, (homeNode) => homeNode.recordPosition(session, entry), settle);
  }

  #combine(answers: readonly HomeNodeAnswer[], homeNodeCount: number): SessionState {
    const state = combineAnswers(answers, this.#assumedHomeNodeCount(homeNodeCount));
    if (!this.context.disabledMechanisms.has('unknown-session')) return state;
    return { ...state, unlistedGroups: 'untouched' };
  }

  #homesOf(session: SessionIdentity): readonly string[] {
    return homeNodesOf(session, this.context.nodeIds, rankNodes);
  }

  /** Without the quorum, pretends that there is one home node, so that one answer is enough. */
  #assumedHomeNodeCount(homeNodeCount: number): number {
    return this.context.disabledMechanisms.has('home-quorum')
      ? Math.min(1, homeNodeCount)
      : homeNodeCount;
  }

  #call<Answer>(
    homeNodeId: string,
    query: (homeNode: SimulatedHomeNode) => Answer,
    settle: (answer: Answer | undefined) => void,
  ): void {
    const { clock, network } = this.context;
    const { process } = this;
    const { nodeId } = process;
    let isSettled = false;
    const settleOnce = (answer: Answer | undefined): void => {
      if (isSettled) return;
      isSettled = true;
      settle(answer);
    };
    const send = (): void =>
      network.sendCall(nodeId, homeNodeId, () => {
        const homeNode = this.context.homeNodeById(homeNodeId);
        homeNode.process.run(() => {
          const answer = query(homeNode);
          network.sendCall(homeNodeId, nodeId, () => process.run(() => settleOnce(answer)));
        });
      });
    send();
    if (clock.chance(REPEATED_CALL_PROBABILITY))
      clock.after(clock.between(0, MAX_REPEAT_DELAY_MS), send);
    process.after(CALL_TIMEOUT_MS, () => settleOnce(undefined));
  }
}
