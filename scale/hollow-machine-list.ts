/** The machine list of one hollow node: the real agent and messages over the simulated network. */
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
import { readMachines } from './components/machine-list.js';
import { DeadlineTimer } from './deadline-timer.js';
import type { HollowContext } from './hollow-membership.js';
import type { Mechanism } from './meters.js';
import type { NetworkNode } from './network.js';
import { latencyBetween, STORE_REGION, ZONES_PER_REGION } from './places.js';
import type { ListText, SimulatedMachineList } from './simulated-machine-list.js';

const CALL_TIMEOUT_MS = 1000;
/** Zone that stands for the service's place. */
const SERVICE_ZONE_INDEX = STORE_REGION * ZONES_PER_REGION;

/** Who polls the list service. */
export type ListReaders = 'two-a-zone' | 'every-node';

/** What the list of a hollow node is made of. */
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

/** One node's list. */
export class HollowMachineList {
  readonly agent: MachineListAgent<Machine>;
  readonly #options: HollowMachineListOptions;
  readonly #timer: DeadlineTimer;
  #isReading = false;
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

  /** A node that is told of no other reads for itself, as every node did once. */
  setMembers(members: readonly ConfigurationMember[]): void {
    if (this.#options.readers === 'every-node') return;
    this.#handle({ type: 'members-changed', members });
  }

  receiveCall(method: string, body: WireValue, from: NodeIdentity): WireValue {
    const { nodeId } = from;
    if (method === REPORT_METHOD) {
      const report = this.#timed(() => reportFromWire(reportSchema.parse(body)));
      const answer = this.#report();
      this.#handle({ type: 'report-received', nodeId, report });
      return answer;
    }
    if (method === PUSH_METHOD) {
      const push = this.#timed(() => pushSchema.parse(body));
      const delta = this.#timed(() => deltaFromWire(push, this.#options.hash));
      this.#handle({ type: 'push-received', nodeId, root: push.root, delta });
      return null;
    }
    return this.#timed(() => {
      const { hashes, afterBucket } = fetchRequestSchema.parse(body);
      return buildPage(this.agent.replica.differingBuckets(hashesFromWire(hashes)), afterBucket);
    });
  }

  #handle(event: MachineListEvent<Machine>): void {
    const { now } = this.#options.context.clock;
    const effects = this.#timed(() => this.agent.handle(event, now));
    for (const effect of effects) this.#carryOut(effect);
    this.#timer.arm();
  }

  #timed<Result>(run: () => Result): Result {
    return this.#options.context.meters.timed('machine-list', run);
  }

  #report(): WireValue {
    return this.#timed(() => reportToWire(this.agent.report(this.#options.context.clock.now)));
  }

  #carryOut(effect: MachineListEffect<Machine>): void {
    switch (effect.type) {
      case 'set-reading':
        this.#isReading = effect.isPolling;
        this.#poll();
        return;
      case 'apply':
        this.#knownVersion = effect.stamp.version;
        this.#timed(() => this.agent.replica.items());
        this.#options.onApplied(effect.stamp.version);
        return;
      case 'ask-report':
        this.#askReport(effect.peer);
        return;
      case 'fetch': {
        const hashes = hashesToWire(this.agent.replica.bucketHashes());
        this.#fetchPage({ peer: effect.peer, hashes, buckets: new Map(), digest: undefined }, -1);
        return;
      }
      case 'push': {
        const body = this.#timed(() => pushToWire(effect.root, effect.delta));
        this.#call(effect.peer, PUSH_METHOD, body, 'machine-list-pushes', () => undefined);
      }
    }
  }

  // ---- peers

  #askReport(peer: ConfigurationMember): void {
    this.#call(peer, REPORT_METHOD, this.#report(), 'machine-list-reports', (value) => {
      const report = this.#timed(() => reportFromWire(reportSchema.parse(value)));
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
    const { digest, buckets: page, more } = this.#timed(() => fetchResponseSchema.parse(value));
    if (progress.digest !== undefined && progress.digest.hash !== digest.hash) {
      this.#handle({ type: 'peer-failed', nodeId });
      return;
    }
    let last = -1;
    for (const [index, machines] of page) {
      const entries = this.#timed(() =>
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
    onAnswer: (value: WireValue) => void,
  ): void {
    const { context, node } = this.#options;
    context.network.call(node, {
      to: { host: peer.host, peerPort: peer.port },
      method,
      body,
      timeoutMs: CALL_TIMEOUT_MS,
      mechanism,
      role: 'machine-list',
      onAnswer,
      onFailure: () => this.#handle({ type: 'peer-failed', nodeId: peer.nodeId }),
    });
  }

  // ---- the service, with a long poll at a time

  #poll(): void {
    if (!this.#isReading || this.#isPolling || !this.#options.node.isRunning) return;
    this.#isPolling = true;
    const { context, service } = this.#options;
    const { pollWaitMs, responseTimeoutMs: answerTimeoutMs } = DEFAULT_MACHINE_LIST_OPTIONS;
    const asked = this.#knownVersion;
    let isAnswered = false;
    const answer = (): void => {
      if (isAnswered) return;
      isAnswered = true;
      if (this.#isCut()) {
        context.clock.after(answerTimeoutMs, () => this.#pollAgain());
        return;
      }
      // Counted once for the node: the service is none of them.
      context.meters.sent('machine-list-service', service.pollBytes() / 2);
      const list = service.answer();
      context.clock.after(this.#latency(), () => this.#onAnswer(asked, list));
    };
    context.clock.after(this.#latency(), () => {
      if (asked !== service.version) answer();
      else {
        service.onNext(answer);
        context.clock.after(pollWaitMs, answer);
      }
    });
  }

  #pollAgain(): void {
    this.#isPolling = false;
    this.#poll();
  }

  /** As the real client: the text is parsed each time, the machines only where the list is another. */
  #onAnswer(asked: number, { version, text }: ListText): void {
    const { node, hash, context } = this.#options;
    if (!node.isRunning) return;
    if (node.isPaused) {
      node.keepForLater(() => this.#onAnswer(asked, { version, text }));
      return;
    }
    const isNew = version !== this.#knownVersion;
    const entries = this.#timed(() =>
      readMachines(text, isNew)?.map((one) => toListEntry(one, hash)),
    );
    this.#knownVersion = version;
    if (this.#isReading)
      this.#handle({ type: 'read', reading: { knownVersion: asked, version, entries } });
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
