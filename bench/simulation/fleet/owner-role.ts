/**
 * One node as an owner of the group: the core's ownership, hand-over and routes according to this
 * node's view of the members, and the group state machine while the node serves or retires.
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
const MIN_WARM_UP_MS = 20;
const MAX_WARM_UP_MS = 250;
const RETIRE_POLL_PERIOD_MS = 20;
const HAND_OVER_OPTIONS = { warmTimeoutMs: 300, retireTimeoutMs: 500 };

export class OwnerRole {
  readonly #context: FleetContext;
  readonly #process: SimulatedProcess;
  readonly #zone: string;
  readonly #index = new OwnerIndex(hash64);
  readonly #handOver: OwnerHandOver;
  readonly #routes: GroupRoutes;
  readonly #liveNodes = new Set<string>();
  /** Owners of this incarnation: the last one serves, earlier ones finish their requests. */
  readonly owners: SimulatedOwner[] = [];
  #servingOwner: SimulatedOwner | undefined;
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
    this.#handOver = new OwnerHandOver(process.nodeId, HAND_OVER_OPTIONS);
    this.#routes = new GroupRoutes(HAND_OVER_MS, (nodeId) => this.#liveNodes.has(nodeId));
    for (const member of members) this.addMember(member);
    this.#applyOwnersChanges(this.#index.setGroup({ group: GROUP, zones: ['a', 'b', 'c'] }));
  }

  /** Owners to try, in order of preference, according to this node's view. */
  get route(): readonly string[] {
    return this.#routes.routeOf(GROUP, this.#context.clock.now);
  }

  addMember(member: OwnerCandidate): void {
    this.#liveNodes.add(member.nodeId);
    this.#applyOwnersChanges(this.#index.addMember(member));
  }

  removeMember(nodeId: string): void {
    this.#liveNodes.delete(nodeId);
    this.#applyOwnersChanges(this.#index.removeMember(nodeId));
    this.#handleEvent({ type: 'member-gone', nodeId });
  }

  handleServingAnnounced(from: string): void {
    this.#handleEvent({ type: 'serving-announced', group: GROUP, from });
  }

  handleRedirect(): void {
    this.#routes.handleRedirect(GROUP);
  }

  /** Submits a request to the serving owner; returns an error if it is refused. */
  submit(request: GroupRequest, work: SubmittedWork): RequestError | undefined {
    if (this.#stopping) return new NotRunError('owner-stopping', 'the owner is stopping', 0);
    if (this.#servingOwner === undefined) {
      return new NotRunError('owner-unreachable', 'not an owner of the group', 0);
    }
    this.#servingOwner.submit(request, work);
    return undefined;
  }

  abandon(requestId: string): void {
    for (const owner of this.owners) owner.send({ type: 'request-abandoned', requestId });
  }

  get unfinishedCount(): number {
    return this.owners.reduce((sum, owner) => sum + owner.unfinishedRequests.length, 0);
  }

  /** Graceful shutdown, after the node's own callers have disconnected. */
  drain(): void {
    this.#stopping = true;
    for (const owner of this.owners) owner.send({ type: 'drain-started' });
  }

  /** Exempts unfinished requests from checks of their result, since the process ended or is frozen. */
  markOwnerFailed(): void {
    for (const owner of this.owners) {
      for (const record of owner.unfinishedRequests) record.ownerFailed = true;
    }
  }

  terminate(): void {
    this.markOwnerFailed();
    for (const owner of this.owners) owner.terminate();
  }

  #applyOwnersChanges(changes: readonly OwnersChange[]): void {
    for (const change of changes) {
      this.#routes.handleOwnersChanged(change, this.#context.clock.now);
      this.#handleEvent({ type: 'owners-changed', change });
    }
  }

  #handleEvent(event: HandOverEvent): void {
    const { clock } = this.#context;
    for (const effect of this.#handOver.handle(event, clock.now)) this.#executeEffect(effect);
    const due = this.#handOver.nextDeadline();
    if (due !== undefined)
      this.#process.after(due - clock.now, () => this.#handleEvent({ type: 'tick' }));
  }

  #executeEffect(effect: HandOverEffect): void {
    const { clock, nodeIds } = this.#context;
    const { nodeId } = this.#process;
    switch (effect.type) {
      case 'warm':
        this.#startOwner();
        this.#process.after(clock.between(MIN_WARM_UP_MS, MAX_WARM_UP_MS), () =>
          this.#handleEvent({ type: 'warmed', group: GROUP }),
        );
        return;
      case 'serve':
        this.#startOwner();
        return;
      case 'announce-serving':
        for (const to of effect.to) {
          this.#send(to, (node) => node.role.handleServingAnnounced(nodeId));
        }
        return;
      case 'redirect':
        for (const to of nodeIds) this.#send(to, (node) => node.role.handleRedirect());
        return;
      case 'retire':
        this.#retire();
        return;
    }
  }

  #send(to: string, action: (node: ReturnType<FleetContext['nodeById']>) => void): void {
    const { network, nodeById } = this.#context;
    network.send(this.#process.nodeId, to, () => {
      const node = nodeById(to);
      node.process.run(() => action(node));
    });
  }

  #startOwner(): void {
    if (this.#servingOwner !== undefined) return;
    const { clock, group, history, disabledOwnerMechanisms } = this.#context;
    const owner = new SimulatedOwner(clock, group, {
      group: GROUP,
      ownZone: this.#zone,
      history,
      runInProcess: this.#process.run,
      ...(disabledOwnerMechanisms === undefined
        ? {}
        : { disabledMechanisms: disabledOwnerMechanisms }),
    });
    this.owners.push(owner);
    this.#servingOwner = owner;
    this.#context.handleOwnerStarted(owner);
  }

  /** Finishes running requests, then closes the connections. */
  #retire(): void {
    const owner = this.#servingOwner;
    if (owner === undefined) return;
    this.#servingOwner = undefined;
    owner.send({ type: 'drain-started' });
    const closeIfIdle = (): void => {
      if (owner.unfinishedRequests.length === 0) owner.terminate();
      else this.#process.after(RETIRE_POLL_PERIOD_MS, closeIfIdle);
    };
    closeIfIdle();
  }
}

function hash64(text: string): bigint {
  return createHash('sha1').update(text).digest().readBigUInt64BE();
}
