/**
 * Scenario `sessions`: only home nodes of sessions that move by their id alone, and gateways that
 * record and look up positions. Checked promise: a look-up returns "unknown" or a position not
 * earlier than the last one that was acknowledged for the session.
 */
import { comparePositions, type Position, ZERO_POSITION } from '../../../src/core/position.js';
import { requirementFor, type SessionIdentity } from '../../../src/core/session/index.js';
import { SimulatedClock } from '../clock.js';
import { SeededRandom } from '../random.js';
import type { Scenario, ScenarioOutcome } from '../scenario.js';
import { GROUP } from './context.js';
import {
  type HomeContext,
  SESSION_IDLE_TIMEOUT_MS,
  SimulatedDirectory,
  SimulatedHomeNode,
} from './home-nodes.js';
import { type FleetMechanism, HOME_MECHANISMS } from './mechanisms.js';
import { FleetNetwork } from './network.js';
import { SimulatedProcess } from './process.js';

const NODES = ['p0', 'p1', 'p2', 'p3'];
const SESSION_COUNT = 10;
const RUN_MS = 6000;
const SETTLING_MS = 500;
const MIN_STEP_MS = 5;
const MAX_STEP_MS = 120;
const WRITE_PROBABILITY = 0.5;
const PROMOTION_PROBABILITY = 0.01;
const MAX_FAULTS = 16;
const MAX_FAULT_DURATION_MS = 1200;
const FAULTS = ['kill', 'freeze', 'cut', 'cut-one-way', 'slow', 'lose-calls'] as const;

interface HomeFault {
  readonly name: (typeof FAULTS)[number];
  readonly node: string;
  readonly other: string;
  readonly at: number;
  readonly durationMs: number;
}

export const SESSIONS_SCENARIO: Scenario = {
  name: 'sessions',
  summary: 'home nodes of sessions that move with their id: restarts, freezes, cuts, lost calls',
  mechanisms: HOME_MECHANISMS,
  plan(seed, disabledMechanisms) {
    const faults = drawFaults(new SeededRandom(seed));
    const disabledHomeMechanisms = new Set(
      HOME_MECHANISMS.filter((mechanism) => disabledMechanisms.has(mechanism)),
    );
    return {
      events: faults.map(({ name, node, other, at, durationMs }) => {
        return `${at} ms: ${name}, ${node} (and ${other}), for ${durationMs} ms`;
      }),
      run: (kept) => {
        const simulation = new SessionsSimulation(seed, disabledHomeMechanisms);
        return simulation.run(faults.filter((_, index) => kept.has(index)));
      },
    };
  },
};

function drawFaults(random: SeededRandom): HomeFault[] {
  const drawOne = (): HomeFault => ({
    name: random.pick(FAULTS),
    node: `p${random.integer(0, NODES.length - 1)}`,
    other: `p${random.integer(0, NODES.length - 1)}`,
    at: random.integer(0, RUN_MS),
    durationMs: random.integer(1, MAX_FAULT_DURATION_MS),
  });
  const faults = Array.from({ length: random.integer(0, MAX_FAULTS) }, drawOne);
  return faults.sort((left, right) => left.at - right.at);
}

class SessionsSimulation {
  readonly #clock: SimulatedClock;
  readonly #network: FleetNetwork;
  readonly #context: HomeContext;
  readonly #homes = new Map<string, SimulatedHomeNode>();
  readonly #violations: string[] = [];
  readonly #summaries: string[] = [];
  #lastPosition: Position = { timeline: 1, lsn: 1n };
  #incarnationCount = 0;

  constructor(seed: number, disabledMechanisms: ReadonlySet<FleetMechanism>) {
    this.#clock = new SimulatedClock(seed);
    this.#network = new FleetNetwork(this.#clock);
    this.#context = {
      clock: this.#clock,
      network: this.#network,
      disabledMechanisms,
      nodeIds: NODES,
      homeNodeById: (nodeId) => this.#homeNode(nodeId),
    };
    for (const nodeId of NODES) {
      this.#homes.set(nodeId, new SimulatedHomeNode(this.#context, this.#createProcess(nodeId)));
    }
  }

  run(faults: readonly HomeFault[]): ScenarioOutcome {
    for (const fault of faults) this.#clock.after(fault.at, () => this.#apply(fault));
    for (let index = 0; index < SESSION_COUNT; index += 1) {
      const key = { tenant: 'bureau', sessionId: `s${index}` };
      this.#step({ key, acknowledged: ZERO_POSITION, acknowledgedAt: 0 });
    }
    this.#clock.runUntil(RUN_MS + SETTLING_MS);
    return { violations: this.#violations, summaries: this.#summaries };
  }

  #step(session: MovingSession): void {
    this.#clock.after(this.#clock.between(MIN_STEP_MS, MAX_STEP_MS), () => {
      const { now } = this.#clock;
      if (now >= RUN_MS || now - session.acknowledgedAt > SESSION_IDLE_TIMEOUT_MS) return;
      const home = this.#pickLiveHomeNode();
      const again = (): void => this.#step(session);
      if (home === undefined) again();
      else if (this.#clock.chance(WRITE_PROBABILITY)) this.#write(session, home, again);
      else this.#lookUp(session, home, again);
    });
  }

  #write(session: MovingSession, home: SimulatedHomeNode, then: () => void): void {
    const position = this.#nextPosition();
    const directory = new SimulatedDirectory(this.#context, home.process);
    const next = callOnce(then);
    home.process.run(() => {
      directory.record(session.key, { group: GROUP, position }, (isRecorded) => {
        if (isRecorded)
          Object.assign(session, { acknowledged: position, acknowledgedAt: this.#clock.now });
        next();
      });
    });
    this.#clock.after(MAX_FAULT_DURATION_MS, next);
  }

  #lookUp(session: MovingSession, home: SimulatedHomeNode, then: () => void): void {
    const { acknowledged } = session;
    const { now } = this.#clock;
    const directory = new SimulatedDirectory(this.#context, home.process);
    const next = callOnce(then);
    home.process.run(() => {
      directory.lookUp(session.key, (state) => {
        const required = requirementFor(state, GROUP);
        const isTooEarly =
          required.type === 'known' && comparePositions(required.position, acknowledged) < 0;
        if (isTooEarly) this.#report(session, required.position, acknowledged, now);
        next();
      });
    });
    this.#clock.after(MAX_FAULT_DURATION_MS, next);
  }

  #report(
    session: MovingSession,
    known: Position,
    acknowledged: Position,
    lookedUpAt: number,
  ): void {
    const { sessionId } = session.key;
    const knownText = `${known.timeline}/${known.lsn}`;
    const acknowledgedText = `${acknowledged.timeline}/${acknowledged.lsn}`;
    this.#violations.push(
      `homeNodesRemember: ${sessionId} looked up ${knownText}, acknowledged ${acknowledgedText}`,
    );
    const at = session.acknowledgedAt.toFixed(1);
    this.#summaries.push(
      `${sessionId}: ${acknowledgedText} kept at ${at}, looked up from ${lookedUpAt.toFixed(1)}`,
    );
  }

  #nextPosition(): Position {
    const timeline =
      this.#lastPosition.timeline + (this.#clock.chance(PROMOTION_PROBABILITY) ? 1 : 0);
    this.#lastPosition = { timeline, lsn: this.#lastPosition.lsn + 8n };
    return this.#lastPosition;
  }

  #pickLiveHomeNode(): SimulatedHomeNode | undefined {
    const live = [...this.#homes.values()].filter(({ process }) => process.isAlive);
    return live[Math.floor(this.#clock.random() * live.length)];
  }

  #apply({ name, node, other, durationMs }: HomeFault): void {
    const home = this.#homeNode(node);
    switch (name) {
      case 'kill':
        home.process.isAlive = false;
        this.#clock.after(durationMs, () => home.restart(this.#createProcess(node)));
        return;
      case 'freeze':
        home.process.frozenUntil = this.#clock.now + durationMs;
        return;
      case 'cut':
        this.#network.cut(node, other, durationMs);
        this.#network.cut(other, node, durationMs);
        return;
      case 'cut-one-way':
        this.#network.cut(node, other, durationMs);
        return;
      case 'slow':
        this.#network.slowDown(node, other, durationMs);
        return;
      case 'lose-calls':
        this.#network.loseCalls(durationMs);
        return;
    }
  }

  #createProcess(nodeId: string): SimulatedProcess {
    this.#incarnationCount += 1;
    return new SimulatedProcess(this.#clock, nodeId, `${nodeId}.${this.#incarnationCount}`);
  }

  #homeNode(nodeId: string): SimulatedHomeNode {
    const home = this.#homes.get(nodeId);
    if (home === undefined) throw new RangeError(`no node ${nodeId}`);
    return home;
  }
}

interface MovingSession {
  readonly key: SessionIdentity;
  acknowledged: Position;
  acknowledgedAt: number;
}

/** Runs the action at the first call only: a timer also calls it, in case a killed gateway never does. */
function callOnce(action: () => void): () => void {
  let done = false;
  return () => {
    if (done) return;
    done = true;
    action();
  };
}
