/** The machine list of a hollow node: the real agent and messages over the simulated network. */
import type { ConfigurationMember } from '../src/core/configuration/relays.js';
import { MachineListAgent } from '../src/core/machine-list/agent.js';
import type { MachineListEffect, MachineListEvent } from '../src/core/machine-list/contract.js';
import type { ListDigest, ListEntry } from '../src/core/machine-list/replica.js';
import type { Hash64 } from '../src/core/ownership/rendezvous.js';
import {
  buildPage,
  deltaFromWire,
  FETCH_METHOD,
  fetchRequestSchema,
  fetchResponseSchema,
  hashesFromWire,
  hashesToWire,
  PUSH_METHOD,
  pushSchema,
  pushToWire,
  REPORT_METHOD,
  reportFromWire,
  reportSchema,
  reportToWire,
  toListEntry,
} from '../src/node/machine-list/messages.js';
import type { NodeIdentity, WireValue } from '../src/peer/contract.js';
import type { Machine } from '../src/platform/contract.js';
import { DEFAULT_MACHINE_LIST_OPTIONS } from '../src/platform/machine-list-client.js';
import { parseMachines } from './components/machine-list.js';
import { DeadlineTimer } from './deadline-timer.js';
import type { HollowContext } from './hollow-membership.js';
import type { Mechanism } from './meters.js';
import type { NetworkNode } from './network.js';
import type { MachineListResponse, SimulatedMachineList } from './simulated-machine-list.js';
import { latencyBetween, STORE_REGION, ZONES_PER_REGION } from './zones.js';

const CALL_TIMEOUT_MS = 1000;
/** Zone of the machine list service. */
const SERVICE_ZONE_INDEX = STORE_REGION * ZONES_PER_REGION;

/** Which nodes poll the list service. */
export type ListReaders = 'two-a-zone' | 'every-node';

/** Options and dependencies of HollowMachineList. */
export interface HollowMachineListOptions {
  readonly context: HollowContext;
  readonly node: NetworkNode;
  readonly self: ConfigurationMember;
  readonly service: SimulatedMachineList;
  readonly readers: ListReaders;
  readonly hash: Hash64;
  readonly onApplied: (version: number) => void;
}

interface FetchProgress {
  readonly peer: ConfigurationMember;
  readonly hashes: Uint8Array;
  readonly buckets: Map<number, ListEntry<Machine>[]>;
  readonly digest: ListDigest | undefined;
}

export class HollowMachineList {
  readonly agent: MachineListAgent<Machine>;
  readonly #options: HollowMachineListOptions;
  readonly #timer: DeadlineTimer;
  #shouldPoll = false;
  #isPolling = false;
  #knownVersion = 0;

  constructor(options: HollowMachineListOptions) {
    this.#options = options;
    const { context, self } = options;
    this.agent = new MachineListAgent({ self, random: context.random });
    this.#timer = new DeadlineTimer(
      context.clock,
      () => this.agent.nextDeadline(),
      () => this.tick(),
    );
  }

  start(): void {
    this.#handle({ type: 'started' });
  }

  tick(): void {
    const { node } = this.#options;
    if (node.isRunning && !node.isPaused) this.#handle({ type: 'tick' });
  }

  /** With `every-node`, the agent learns of no other nodes, so that it polls for itself. */
  setMembers(members: readonly ConfigurationMember[]): void {
    if (this.#options.readers === 'every-node') return;
    this.#handle({ type: 'members-changed', members });
  }

  receiveCall(method: string, body: WireValue, from: NodeIdentity): WireValue {
    const { nodeId } = from;
    if (method === REPORT_METHOD) {
      const report = this.#measure(() => reportFromWire(reportSchema.parse(body)));
      const response = this.#report();
      this.#handle({ type: 'report-received', nodeId, report });
      return response;
    }
    if (method === PUSH_METHOD) {
      const push = this.#measure(() => pushSchema.parse(body));
      const delta = this.#measure(() => deltaFromWire(push, this.#options.hash));
      this.#handle({ type: 'push-received', nodeId, root: push.root, delta });
      return null;
    }
    return this.#measure(() => {
      const { hashes, afterBucket } = fetchRequestSchema.parse(body);
      return buildPage(this.agent.replica.differingBuckets(hashesFromWire(hashes)), afterBucket);
    });
  }

  #handle(event: MachineListEvent<Machine>): void {
    const { now } = this.#options.context.clock;
    const effects = this.#measure(() => this.agent.handle(event, now));
    for (const effect of effects) this.#executeEffect(effect);
    this.#timer.arm();
  }

  #measure<Result>(run: () => Result): Result {
    return this.#options.context.meters.measure('machine-list', run);
  }

  #report(): WireValue {
    return this.#measure(() => reportToWire(this.agent.report(this.#options.context.clock.now)));
  }

  #executeEffect(effect: MachineListEffect<Machine>): void {
    switch (effect.type) {
      case 'set-reading':
        this.#shouldPoll = effect.isPolling;
        this.#poll();
        return;
      case 'apply':
        this.#knownVersion = effect.stamp.version;
        this.#measure(() => this.agent.replica.items());
        this.#options.onApplied(effect.stamp.version);
        return;
      case 'ask-report':
        this.#requestReport(effect.peer);
        return;
      case 'fetch': {
        const hashes = hashesToWire(this.agent.replica.bucketHashes());
        this.#fetchPage({ peer: effect.peer, hashes, buckets: new Map(), digest: undefined }, -1);
        return;
      }
      case 'push': {
        const body = this.#measure(() => pushToWire(effect.root, effect.delta));
        this.#call(effect.peer, PUSH_METHOD, body, 'machine-list-pushes', () => undefined);
      }
    }
  }

  // ---- peers

  #requestReport(peer: ConfigurationMember): void {
    this.#call(peer, REPORT_METHOD, this.#report(), 'machine-list-reports', (value) => {
      const report = this.#measure(() => reportFromWire(reportSchema.parse(value)));
      this.#handle({ type: 'report-received', nodeId: peer.nodeId, report });
    });
  }

  #fetchPage(progress: FetchProgress, afterBucket: number): void {
    const body = { hashes: progress.hashes, afterBucket };
    this.#call(progress.peer, FETCH_METHOD, body, 'machine-list-fetches', (value) =>
      this.#onPage(progress, value),
    );
  }

  #onPage(progress: FetchProgress, value: WireValue): void {
    const { peer, buckets } = progress;
    const { nodeId } = peer;
    const { digest, buckets: page, more } = this.#measure(() => fetchResponseSchema.parse(value));
    if (progress.digest !== undefined && progress.digest.hash !== digest.hash) {
      this.#handle({ type: 'peer-failed', nodeId });
      return;
    }
    let last = -1;
    for (const [index, machines] of page) {
      const entries = this.#measure(() =>
        machines.map((one) => toListEntry(one, this.#options.hash)),
      );
      buckets.set(index, entries);
      last = index;
    }
    if (more) this.#fetchPage({ ...progress, digest }, last);
    else this.#handle({ type: 'fetched', nodeId, buckets: { digest, buckets } });
  }

  #call(
    peer: ConfigurationMember,
    method: string,
    body: WireValue,
    mechanism: Mechanism,
    onResponse: (value: WireValue) => void,
  ): void {
    const { context, node } = this.#options;
    context.network.call(node, {
      to: { host: peer.host, peerPort: peer.port },
      method,
      body,
      timeoutMs: CALL_TIMEOUT_MS,
      mechanism,
      role: 'machine-list',
      onResponse: onResponse,
      onFailure: () => this.#handle({ type: 'peer-failed', nodeId: peer.nodeId }),
    });
  }

  // ---- the list service, with one long poll at a time

  #poll(): void {
    if (!this.#shouldPoll || this.#isPolling || !this.#options.node.isRunning) return;
    this.#isPolling = true;
    const { context, service } = this.#options;
    const { pollWaitMs, responseTimeoutMs } = DEFAULT_MACHINE_LIST_OPTIONS;
    const versionAtPoll = this.#knownVersion;
    let isAnswered = false;
    const respond = (): void => {
      if (isAnswered) return;
      isAnswered = true;
      if (this.#isCut()) {
        context.clock.after(responseTimeoutMs, () => this.#pollAgain());
        return;
      }
      // Half of the bytes: figures count each message twice, for sender and receiver, and the service is no node.
      context.meters.recordSent('machine-list-service', service.pollBytes() / 2);
      const list = service.response();
      context.clock.after(this.#latency(), () => this.#onPollResponse(versionAtPoll, list));
    };
    context.clock.after(this.#latency(), () => {
      if (versionAtPoll !== service.version) respond();
      else {
        service.onNextVersion(respond);
        context.clock.after(pollWaitMs, respond);
      }
    });
  }

  #pollAgain(): void {
    this.#isPolling = false;
    this.#poll();
  }

  /** As in the real client, the text is always parsed, the machines only if the version is new. */
  #onPollResponse(versionAtPoll: number, { version, text }: MachineListResponse): void {
    const { node, hash, context } = this.#options;
    if (!node.isRunning) return;
    if (node.isPaused) {
      node.deferUntilResumed(() => this.#onPollResponse(versionAtPoll, { version, text }));
      return;
    }
    const isNew = version !== this.#knownVersion;
    const entries = this.#measure(() =>
      parseMachines(text, isNew)?.map((one) => toListEntry(one, hash)),
    );
    this.#knownVersion = version;
    if (this.#shouldPoll)
      this.#handle({ type: 'read', reading: { knownVersion: versionAtPoll, version, entries } });
    context.clock.after(DEFAULT_MACHINE_LIST_OPTIONS.minPollPeriodMs, () => this.#pollAgain());
  }

  #isCut(): boolean {
    const { context, node } = this.#options;
    return context.network.isCut(node.zoneIndex, SERVICE_ZONE_INDEX);
  }

  #latency(): number {
    const { context, node } = this.#options;
    return latencyBetween(node.zoneIndex, SERVICE_ZONE_INDEX, { fraction: context.random });
  }
}
