/**
 * One node as an owner of the group: the core's ownership, hand-over and routes by this node's own
 * view of the members, and the group's machine while the node serves or retires.
 */
import { createHash } from 'node:crypto';
import { NotRunError, type RequestError } from '../../../src/core/errors.js';
import { GroupRoutes } from '../../../src/core/ownership/group-routes.js';
import {
  type HandOverEffect,
  type HandOverEvent,
  OwnerHandOver,
} from '../../../src/core/ownership/hand-over.js';
import { OwnerIndex, type OwnersChange } from '../../../src/core/ownership/owner-index.js';
import type { OwnerCandidate } from '../../../src/core/ownership/rendezvous.js';
import type { GroupRequest } from '../../../src/core/request.js';
import { SimulatedOwner, type SubmittedWork } from '../owner.js';
import { type FleetContext, GROUP } from './context.js';
import type { SimulatedProcess } from './process.js';

const HAND_OVER_MS = 600;
const MIN_WARM_MS = 20;
const MAX_WARM_MS = 250;
const RETIRE_POLL_MS = 20;
const OPTIONS = { warmTimeoutMs: 300, retireTimeoutMs: 500 };

export class OwnerRole {
  readonly #context: FleetContext;
  readonly #process: SimulatedProcess;
  readonly #zone: string;
  readonly #index = new OwnerIndex(hash64);
  readonly #handOver: OwnerHandOver;
  readonly #routes: GroupRoutes;
  readonly #live = new Set<string>();
  /** The machines of this life: the last one serves, earlier ones finish what they run. */
  readonly owners: SimulatedOwner[] = [];
  #serving: SimulatedOwner | undefined;
  #stopping = false;

  constructor(
    context: FleetContext,
    process: SimulatedProcess,
    members: readonly OwnerCandidate[],
    zone: string,
  ) {
    this.#context = context;
    this.#process = process;
    this.#zone = zone;
    this.#handOver = new OwnerHandOver(process.nodeId, OPTIONS);
    this.#routes = new GroupRoutes(HAND_OVER_MS, (nodeId) => this.#live.has(nodeId));
    for (const member of members) this.memberCame(member);
    this.#take(this.#index.setGroup({ group: GROUP, zones: ['a', 'b', 'c'] }));
  }

  /** Owners to try, best first, by this node's view. */
  get route(): readonly string[] {
    return this.#routes.routeOf(GROUP, this.#context.clock.now);
  }

  memberCame(member: OwnerCandidate): void {
    this.#live.add(member.nodeId);
    this.#take(this.#index.addMember(member));
  }

  memberGone(nodeId: string): void {
    this.#live.delete(nodeId);
    this.#take(this.#index.removeMember(nodeId));
    this.#tell({ type: 'member-gone', nodeId });
  }

  onServingAnnounced(from: string): void {
    this.#tell({ type: 'serving-announced', group: GROUP, from });
  }

  onRedirect(): void {
    this.#routes.handleRedirect(GROUP);
  }

  /** Hands a request to the machine, or says why not. */
  submit(request: GroupRequest, work: SubmittedWork): RequestError | undefined {
    if (this.#stopping) return new NotRunError('owner-stopping', 'the owner is stopping', 0);
    if (this.#serving === undefined) {
      return new NotRunError('owner-unreachable', 'not an owner of the group', 0);
    }
    this.#serving.submit(request, work);
    return undefined;
  }

  abandon(requestId: string): void {
    for (const owner of this.owners) owner.send({ type: 'request-abandoned', requestId });
  }

  get unfinished(): number {
    return this.owners.reduce((sum, owner) => sum + owner.unfinished.length, 0);
  }

  /** Planned stop, after the node's own callers have gone. */
  drain(): void {
    this.#stopping = true;
    for (const owner of this.owners) owner.send({ type: 'drain-started' });
  }

  /** The process has ended, or is frozen: what becomes of its requests is excused. */
  excuse(): void {
    for (const owner of this.owners) {
      for (const record of owner.unfinished) record.excused = true;
    }
  }

  die(): void {
    this.excuse();
    for (const owner of this.owners) owner.die();
  }

  #take(changes: readonly OwnersChange[]): void {
    for (const change of changes) {
      this.#routes.handleOwnersChanged(change, this.#context.clock.now);
      this.#tell({ type: 'owners-changed', change });
    }
  }

  #tell(event: HandOverEvent): void {
    const { clock } = this.#context;
    for (const effect of this.#handOver.handle(event, clock.now)) this.#carryOut(effect);
    const due = this.#handOver.nextDeadline();
    if (due !== undefined) this.#process.after(due - clock.now, () => this.#tell({ type: 'tick' }));
  }

  #carryOut(effect: HandOverEffect): void {
    const { clock, nodeIds } = this.#context;
    const { nodeId } = this.#process;
    switch (effect.type) {
      case 'warm':
        this.#start();
        this.#process.after(clock.between(MIN_WARM_MS, MAX_WARM_MS), () =>
          this.#tell({ type: 'warmed', group: GROUP }),
        );
        return;
      case 'serve':
        this.#start();
        return;
      case 'announce-serving':
        for (const to of effect.to) {
          this.#post(to, (node) => node.role.onServingAnnounced(nodeId));
        }
        return;
      case 'redirect':
        for (const to of nodeIds) this.#post(to, (node) => node.role.onRedirect());
        return;
      case 'retire':
        this.#retire();
        return;
    }
  }

  #post(to: string, action: (node: ReturnType<FleetContext['nodeNamed']>) => void): void {
    const { network, nodeNamed } = this.#context;
    network.send(this.#process.nodeId, to, () => {
      const node = nodeNamed(to);
      node.process.run(() => action(node));
    });
  }

  #start(): void {
    if (this.#serving !== undefined) return;
    const { clock, group, history, machineWithout } = this.#context;
    const owner = new SimulatedOwner(clock, group, {
      group: GROUP,
      ownZone: this.#zone,
      history,
      process: this.#process.run,
      ...(machineWithout === undefined ? {} : { disabledMechanisms: machineWithout }),
    });
    this.owners.push(owner);
    this.#serving = owner;
    this.#context.ownerStarted(owner);
  }

  /** Finishes what runs, then closes the connections. */
  #retire(): void {
    const owner = this.#serving;
    if (owner === undefined) return;
    this.#serving = undefined;
    owner.send({ type: 'drain-started' });
    const closeIfIdle = (): void => {
      if (owner.unfinished.length === 0) owner.die();
      else this.#process.after(RETIRE_POLL_MS, closeIfIdle);
    };
    closeIfIdle();
  }
}

function hash64(text: string): bigint {
  return createHash('sha1').update(text).digest().readBigUInt64BE();
}
