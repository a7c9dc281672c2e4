/**
 * The machine list of one node: polls the list service while its agent requires it, exchanges
 * differences with other nodes, and reports changes.
 */
import { areSameMembers, type ConfigurationMember } from '../../core/configuration/relays.js';
import { MachineListAgent } from '../../core/machine-list/agent.js';
import type {
  MachineListEffect,
  MachineListEvent,
  MachineListStatus,
} from '../../core/machine-list/contract.js';
import type { Hash64 } from '../../core/ownership/rendezvous.js';
import type { Milliseconds } from '../../core/units.js';
import type { NodeIdentity, PeerTransport, WireValue } from '../../peer/contract.js';
import type { Machine } from '../../platform/contract.js';
import type {
  MachineListClient,
  MachineListPollResponse,
} from '../../platform/machine-list-client.js';
import { MachineListMessageError } from './errors.js';
import {
  buildPage,
  deltaFromWire,
  FETCH_METHOD,
  fetchRequestSchema,
  hashesFromWire,
  PUSH_METHOD,
  pushSchema,
  REPORT_METHOD,
  reportFromWire,
  reportSchema,
  reportToWire,
  toListEntry,
} from './messages.js';
import { MachineListPeerClient } from './peer-client.js';

/** Options and dependencies of the machine list service. */
export interface MachineListServiceOptions {
  readonly self: ConfigurationMember;
  /** Not started yet: this service starts and stops it. */
  readonly client: MachineListClient;
  readonly transport: Pick<PeerTransport, 'call'>;
  /** Returns the live members; the same array until they change. */
  readonly members: () => readonly ConfigurationMember[];
  readonly hash: Hash64;
  readonly random: () => number;
  /** Monotonic clock in ms. */
  readonly now: () => Milliseconds;
}

/** Status of the machine list on one node, for operators. */
export interface MachineListServiceStatus extends MachineListStatus {
  readonly machines: number;
  /** Polls of the list service since start. */
  readonly polls: number;
  readonly pollFailures: number;
  readonly peerErrors: number;
}

const METHODS: readonly string[] = [REPORT_METHOD, FETCH_METHOD, PUSH_METHOD];

/** Machine list of one node. */
export class MachineListService {
  /** Called with the whole list after each change. */
  onChange: ((machines: readonly Machine[]) => void) | undefined;
  readonly #agent: MachineListAgent<Machine>;
  readonly #peers: MachineListPeerClient;
  #members: readonly ConfigurationMember[] = [];
  #timer: NodeJS.Timeout | undefined;
  #isRunning = false;
  #peerErrors = 0;

  constructor(private readonly options: MachineListServiceOptions) {
    const { self, random, transport, hash, client } = options;
    this.#agent = new MachineListAgent({ self, random });
    this.#peers = new MachineListPeerClient(transport, hash);
    client.onPollResponse = (reading) => this.#onPollResult(reading);
  }

  /** Starts polling and comparing lists with peers. */
  start(): void {
    this.#isRunning = true;
    this.#handle({ type: 'started' });
    this.handleMembersChanged();
  }

  /** Stops polls and timers. The list is kept. */
  stop(): void {
    this.#isRunning = false;
    clearTimeout(this.#timer);
    this.options.client.stop();
  }

  /** To be called when the members may have changed. */
  handleMembersChanged(): void {
    const members = this.options.members();
    if (areSameMembers(members, this.#members)) return;
    this.#members = members;
    this.#handle({ type: 'members-changed', members });
  }

  status(): MachineListServiceStatus {
    const { polls, failures } = this.options.client.counters();
    return {
      ...this.#agent.status(this.options.now()),
      machines: this.#agent.replica.size,
      polls,
      pollFailures: failures,
      peerErrors: this.#peerErrors,
    };
  }

  /** True for the methods that `onCall` handles. */
  handles(method: string): boolean {
    return METHODS.includes(method);
  }

  /** Handles a peer's call; throws `MachineListMessageError` if the body is malformed. */
  onCall(method: string, body: WireValue, from: NodeIdentity): WireValue {
    if (method === REPORT_METHOD) return this.#onReport(body, from.nodeId);
    if (method === FETCH_METHOD) return this.#onFetch(body);
    return this.#onPush(body, from.nodeId);
  }

  #onReport(body: WireValue, nodeId: string): WireValue {
    const parsed = reportSchema.safeParse(body);
    if (!parsed.success) throw new MachineListMessageError(REPORT_METHOD);
    const response = reportToWire(this.#agent.report(this.options.now()));
    this.#handle({ type: 'report-received', nodeId, report: reportFromWire(parsed.data) });
    return response;
  }

  #onFetch(body: WireValue): WireValue {
    const parsed = fetchRequestSchema.safeParse(body);
    if (!parsed.success) throw new MachineListMessageError(FETCH_METHOD);
    const hashes = hashesFromWire(parsed.data.hashes);
    return buildPage(this.#agent.replica.differingBuckets(hashes), parsed.data.afterBucket);
  }

  #onPush(body: WireValue, nodeId: string): WireValue {
    const parsed = pushSchema.safeParse(body);
    if (!parsed.success) throw new MachineListMessageError(PUSH_METHOD);
    const delta = deltaFromWire(parsed.data, this.options.hash);
    this.#handle({ type: 'push-received', nodeId, root: parsed.data.root, delta });
    return null;
  }

  #onPollResult({ knownVersion: asked, version, machines }: MachineListPollResponse): void {
    const { hash } = this.options;
    const entries = machines?.map((machine) => toListEntry(machine, hash));
    this.#handle({ type: 'read', reading: { knownVersion: asked, version, entries } });
  }

  #handle(event: MachineListEvent<Machine>): void {
    if (!this.#isRunning) return;
    for (const effect of this.#agent.handle(event, this.options.now())) this.#executeEffect(effect);
    this.#armTimer();
  }

  #armTimer(): void {
    clearTimeout(this.#timer);
    if (!this.#isRunning) return;
    const delay = Math.max(0, this.#agent.nextDeadline() - this.options.now());
    this.#timer = setTimeout(() => this.#handle({ type: 'tick' }), Math.ceil(delay));
  }

  #executeEffect(effect: MachineListEffect<Machine>): void {
    switch (effect.type) {
      case 'set-reading':
        if (effect.isPolling) this.options.client.start();
        else this.options.client.stop();
        return;
      case 'apply':
        this.#apply(effect.stamp.version);
        return;
      case 'ask-report':
        this.#exchangeReports(effect.peer);
        return;
      case 'fetch':
        this.#fetch(effect.peer);
        return;
      case 'push':
        this.#peers.push(effect.peer, effect.root, effect.delta).mapErr(() => {
          this.#peerErrors += 1;
        });
    }
  }

  #apply(version: number): void {
    const machines = this.#agent.replica.items();
    this.options.client.adopt(version, machines);
    this.onChange?.(machines);
  }

  #exchangeReports(peer: ConfigurationMember): void {
    const { nodeId } = peer;
    this.#peers.exchangeReports(peer, this.#agent.report(this.options.now())).match(
      (report) => this.#handle({ type: 'report-received', nodeId, report }),
      () => this.#handlePeerFailure(nodeId),
    );
  }

  #fetch(peer: ConfigurationMember): void {
    const { nodeId } = peer;
    this.#peers.fetchBuckets(peer, this.#agent.replica.bucketHashes()).match(
      (buckets) => this.#handle({ type: 'fetched', nodeId, buckets }),
      () => this.#handlePeerFailure(nodeId),
    );
  }

  #handlePeerFailure(nodeId: string): void {
    this.#peerErrors += 1;
    this.#handle({ type: 'peer-failed', nodeId });
  }
}
