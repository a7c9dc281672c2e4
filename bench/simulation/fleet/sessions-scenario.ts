/**
 * Scenario `sessions`: only the home nodes of sessions that move with nothing but their id, and
 * gateways that record and look up; many sessions in little time. Promise: what a gateway learns of
 * a session is "unknown" or no earlier than the last position that was acknowledged to it.
 */
import { comparePositions, type Position, ZERO_POSITION } from '../../../src/core/position.js';
import { requirementFor, type SessionIdentity } from '../../../src/core/session/index.js';
import { SimulatedClock } from '../clock.js';
import { SeededRandom } from '../random.js';
import type { Scenario, ScenarioOutcome } from '../scenario.js';
import { GROUP } from './context.js';
import {
  type HomeContext,
  SESSION_LIFE_MS,
  SimulatedDirectory,
  SimulatedHomeNode,
} from './home-nodes.js';
import { type FleetMechanism, HOME_MECHANISMS } from './mechanisms.js';
import { FleetNetwork } from './network.js';
import { SimulatedProcess } from './process.js';

const NODES = ['p0', 'p1', 'p2', 'p3'];
const SESSIONS = 10;
const RUN_MS = 6000;
const QUIET_END_MS = 500;
const MIN_STEP_MS = 5;
const MAX_STEP_MS = 120;
const WRITE_SHARE = 0.5;
const PROMOTION_SHARE = 0.01;
const MAX_FAULTS = 16;
const LONGEST_FAULT_MS = 1200;
const FAULTS = ['kill', 'freeze', 'cut', 'cut-one-way', 'slow', 'lose-calls'] as const;

interface HomeFault {
  readonly name: (typeof FAULTS)[number];
  readonly node: string;
  readonly other: string;
  readonly at: number;
  readonly lasts: number;
}

export const SESSIONS_SCENARIO: Scenario = {
  name: 'sessions',
  summary: 'home nodes of sessions that move with their id: restarts, freezes, cuts, lost calls',
  mechanisms: HOME_MECHANISMS,
  plan(seed, without) {
    const faults = drawFaults(new SeededRandom(seed));
    const off = new Set(HOME_MECHANISMS.filter((mechanism) => without.has(mechanism)));
    return {
      events: faults.map(({ name, node, other, at, lasts }) => {
        return `${at} ms: ${name}, ${node} (and ${other}), for ${lasts} ms`;
      }),
      run: (kept) => {
        const simulation = new SessionsSimulation(seed, off);
        return simulation.run(faults.filter((_, index) => kept.has(index)));
      },
    };
  },
};

function drawFaults(random: SeededRandom): HomeFault[] {
  const drawOne = (): HomeFault => ({
    name: random.pick(FAULTS),
    node: `p${random.whole(0, NODES.length - 1)}`,
    other: `p${random.whole(0, NODES.length - 1)}`,
    at: random.whole(0, RUN_MS),
    lasts: random.whole(1, LONGEST_FAULT_MS),
  });
  const faults = Array.from({ length: random.whole(0, MAX_FAULTS) }, drawOne);
  return faults.sort((left, right) => left.at - right.at);
}

class SessionsSimulation {
  readonly #clock: SimulatedClock;
  readonly #network: FleetNetwork;
  readonly #context: HomeContext;
  readonly #homes = new Map<string, SimulatedHomeNode>();
  readonly #violations: string[] = [];
  readonly #account: string[] = [];
  #end: Position = { timeline: 1, lsn: 1n };
  #lives = 0;

  constructor(seed: number, without: ReadonlySet<FleetMechanism>) {
    this.#clock = new SimulatedClock(seed);
    this.#network = new FleetNetwork(this.#clock);
    this.#context = {
      clock: this.#clock,
      network: this.#network,
      without,
      nodeIds: NODES,
      homeNamed: (nodeId) => this.#home(nodeId),
    };
    for (const nodeId of NODES) {
      this.#homes.set(nodeId, new SimulatedHomeNode(this.#context, this.#newLife(nodeId)));
    }
  }

  run(faults: readonly HomeFault[]): ScenarioOutcome {
    for (const fault of faults) this.#clock.after(fault.at, () => this.#apply(fault));
    for (let index = 0; index < SESSIONS; index += 1) {
      const key = { tenant: 'bureau', sessionId: `s${index}` };
      this.#step({ key, acknowledged: ZERO_POSITION, acknowledgedAt: 0 });
    }
    this.#clock.runUntil(RUN_MS + QUIET_END_MS);
    return { violations: this.#violations, account: this.#account };
  }

  #step(session: MovingSession): void {
    this.#clock.after(this.#clock.between(MIN_STEP_MS, MAX_STEP_MS), () => {
      const { now } = this.#clock;
      if (now >= RUN_MS || now - session.acknowledgedAt > SESSION_LIFE_MS) return;
      const home = this.#anyHome();
      const again = (): void => this.#step(session);
      if (home === undefined) again();
      else if (this.#clock.chance(WRITE_SHARE)) this.#write(session, home, again);
      else this.#move(session, home, again);
    });
  }

  #write(session: MovingSession, home: SimulatedHomeNode, then: () => void): void {
    const position = this.#nextPosition();
    const directory = new SimulatedDirectory(this.#context, home.process);
    const next = once(then);
    home.process.run(() => {
      directory.record(session.key, { group: GROUP, position }, (kept) => {
        if (kept)
          Object.assign(session, { acknowledged: position, acknowledgedAt: this.#clock.now });
        next();
      });
    });
    this.#clock.after(LONGEST_FAULT_MS, next);
  }

  #move(session: MovingSession, home: SimulatedHomeNode, then: () => void): void {
    const { acknowledged } = session;
    const { now } = this.#clock;
    const directory = new SimulatedDirectory(this.#context, home.process);
    const next = once(then);
    home.process.run(() => {
      directory.lookUp(session.key, (state) => {
        const required = requirementFor(state, GROUP);
        const tooEarly =
          required.type === 'known' && comparePositions(required.position, acknowledged) < 0;
        if (tooEarly) this.#report(session, required.position, acknowledged, now);
        next();
      });
    });
    this.#clock.after(LONGEST_FAULT_MS, next);
  }

  #report(session: MovingSession, known: Position, acknowledged: Position, askedAt: number): void {
    const { sessionId } = session.key;
    const told = `${known.timeline}/${known.lsn}`;
    const due = `${acknowledged.timeline}/${acknowledged.lsn}`;
    this.#violations.push(`homeNodesRemember: ${sessionId} is told ${told}, acknowledged ${due}`);
    const at = session.acknowledgedAt.toFixed(1);
    this.#account.push(`${sessionId}: ${due} kept at ${at}, looked up from ${askedAt.toFixed(1)}`);
  }

  #nextPosition(): Position {
    const timeline = this.#end.timeline + (this.#clock.chance(PROMOTION_SHARE) ? 1 : 0);
    this.#end = { timeline, lsn: this.#end.lsn + 8n };
    return this.#end;
  }

  #anyHome(): SimulatedHomeNode | undefined {
    const live = [...this.#homes.values()].filter(({ process }) => process.alive);
    return live[Math.floor(this.#clock.random() * live.length)];
  }

  #apply({ name, node, other, lasts }: HomeFault): void {
    const home = this.#home(node);
    switch (name) {
      case 'kill':
        home.process.alive = false;
        this.#clock.after(lasts, () => home.restart(this.#newLife(node)));
        return;
      case 'freeze':
        home.process.frozenUntil = this.#clock.now + lasts;
        return;
      case 'cut':
        this.#network.cut(node, other, lasts);
        this.#network.cut(other, node, lasts);
        return;
      case 'cut-one-way':
        this.#network.cut(node, other, lasts);
        return;
      case 'slow':
        this.#network.slowDown(node, other, lasts);
        return;
      case 'lose-calls':
        this.#network.loseCalls(lasts);
        return;
    }
  }

  #newLife(nodeId: string): SimulatedProcess {
    this.#lives += 1;
    return new SimulatedProcess(this.#clock, nodeId, `${nodeId}.${this.#lives}`);
  }

  #home(nodeId: string): SimulatedHomeNode {
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

/** The action, the first time only: a gateway that died meanwhile answers never. */
function once(action: () => void): () => void {
  let done = false;
  return () => {
    if (done) return;
    done = true;
    action();
  };
}
