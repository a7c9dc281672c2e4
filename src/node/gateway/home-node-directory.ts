/**
 * Stores the positions of sessions with an id on their home nodes, over peer calls. The core
 * defines which nodes are home nodes and how many must respond; see docs/design/sessions.md.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { z } from 'zod';
import { MeadowstackError } from '../../core/errors.js';
import type { TenantName } from '../../core/request.js';
import {
  combineAnswers,
  type HomeNodeAnswer,
  homeKey,
  homeNodesOf,
  isRecorded,
  type NodeRanking,
  type SessionIdentity,
  SessionPositionTable,
  type SessionState,
} from '../../core/session/index.js';
import type { Milliseconds } from '../../core/units.js';
import type { PeerAddress, PeerTransport, WireValue } from '../../peer/contract.js';
import type { GroupPositionEntry, SessionDirectory } from './session-directory.js';

/** Records a session's position at a home node. */
export const SESSION_RECORD_METHOD = 'session.record';
/** Looks a session's positions up at a home node. */
export const SESSION_LOOK_UP_METHOD = 'session.look-up';

/** More than the number of callers of a node at the target fleet size. */
const MAX_CACHED_HOMES = 32_768;
/** Time limit of a look-up at one home node. */
const LOOK_UP_TIMEOUT_MS = 250;
/** Minimum time limit of a record, also past the request's deadline: its write is already done. */
const MIN_RECORD_TIMEOUT_MS = 250;
/** Maximum time limit of a record; the outcome is then reported to the caller as unknown. */
const MAX_RECORD_TIMEOUT_MS = 2_000;
/** Delay before a failed record at a home node is retried. */
const RECORD_RETRY_DELAY_MS = 50;

const keySchema = z.object({ tenant: z.string(), sessionId: z.string() });
const entrySchema = z.object({
  group: z.string(),
  position: z.object({ timeline: z.number().int(), lsn: z.bigint() }),
});
const recordSchema = z.object({ session: keySchema, positions: z.array(entrySchema) });
const lookUpSchema = z.object({ session: keySchema });
const lookUpResponseSchema = z.object({ positions: z.array(entrySchema), complete: z.boolean() });

/** A peer called an unknown session method, or sent a malformed message. */
export class SessionCallError extends MeadowstackError {
  readonly code = 'MS-SESSION-CALL';
}

/** A node that can be the home node of sessions. */
export interface HomeNode {
  readonly nodeId: string;
  readonly address: PeerAddress;
}

/** A record that is being sent to the home nodes. */
interface PendingRecord {
  readonly session: SessionIdentity;
  readonly entry: GroupPositionEntry;
  readonly deadline: Milliseconds;
  /** Aborted once enough home nodes have stored the record. */
  readonly enough: AbortSignal;
}

/** Dependencies of the directory. */
export interface HomeNodeDirectoryOptions {
  readonly nodeId: string;
  readonly transport: PeerTransport;
  readonly rank: NodeRanking;
  /** All proxies of the machine list, this node included; the same array until they change. */
  readonly nodes: () => readonly HomeNode[];
  readonly now: () => Milliseconds;
}

/** Positions of sessions by id; three home nodes store each session. */
export class HomeNodeDirectory implements SessionDirectory {
  readonly #options: HomeNodeDirectoryOptions;
  readonly #table: SessionPositionTable;
  /** Home nodes by session; cached because choosing them goes through all nodes of the fleet. */
  readonly #cachedHomes = new Map<string, readonly HomeNode[]>();
  #currentNodes: readonly HomeNode[] = [];
  #nodeIds: readonly string[] = [];

  constructor(options: HomeNodeDirectoryOptions) {
    this.#options = options;
    this.#table = new SessionPositionTable({ startedAt: options.now() });
  }

  get sessionCount(): number {
    return this.#table.sessionCount;
  }

  async lookUp(tenant: TenantName, sessionId: string): Promise<SessionState> {
    const session = { tenant, sessionId };
    const homes = this.#homesOf(session);
    const queries = homes.map((home) => this.#queryHome(home, session));
    const responses = (await Promise.all(queries)).filter((answer) => answer !== undefined);
    return combineAnswers(responses, homes.length);
  }

  record(
    tenant: TenantName,
    sessionId: string,
    entry: GroupPositionEntry,
    remainingMs: Milliseconds,
  ): Promise<boolean> {
    const session = { tenant, sessionId };
    const homes = this.#homesOf(session);
    const timeoutMs = Math.min(MAX_RECORD_TIMEOUT_MS, Math.max(MIN_RECORD_TIMEOUT_MS, remainingMs));
    const deadlineAt = this.#options.now() + timeoutMs;
    const enough = new AbortController();
    return new Promise((resolve) => {
      let acknowledged = 0;
      let outstanding = homes.length;
      const handleResult = (recorded: boolean): void => {
        outstanding -= 1;
        if (recorded) acknowledged += 1;
        if (!isRecorded(acknowledged, homes.length) && outstanding > 0) return;
        resolve(isRecorded(acknowledged, homes.length));
        enough.abort();
      };
      if (homes.length === 0) resolve(false);
      for (const { nodeId } of homes) {
        void this.#recordWithRetries(nodeId, {
          session,
          entry,
          deadline: deadlineAt,
          enough: enough.signal,
        }).then(handleResult);
      }
    });
  }

  /**
   * Retries until the home node has stored the record, enough others have, or the deadline has
   * passed. Each attempt reads the node's address again, since the node may have been restarted at
   * another address, and reopens a lost link.
   */
  async #recordWithRetries(nodeId: string, record: PendingRecord): Promise<boolean> {
    const { session, entry, deadline: deadlineAt, enough } = record;
    for (;;) {
      const home = this.#homesOf(session).find((node) => node.nodeId === nodeId);
      const remainingMs = deadlineAt - this.#options.now();
      const recorded =
        home !== undefined && (await this.#recordAt(home, session, entry, remainingMs));
      if (recorded) return true;
      const isDeadlineReached = this.#options.now() + RECORD_RETRY_DELAY_MS >= deadlineAt;
      if (isDeadlineReached || enough.aborted) return false;
      await pause(RECORD_RETRY_DELAY_MS);
      if (enough.aborted) return false;
    }
  }

  /** True for the methods that `onCall` implements. */
  handles(method: string): boolean {
    return method === SESSION_RECORD_METHOD || method === SESSION_LOOK_UP_METHOD;
  }

  /** Answers a peer's call; throws `SessionCallError` if it is malformed. */
  onCall(method: string, body: WireValue): WireValue {
    if (method === SESSION_RECORD_METHOD) return this.#onRecord(body);
    if (method === SESSION_LOOK_UP_METHOD) return this.#onLookUp(body);
    throw new SessionCallError(`no session method ${method}`);
  }

  #onRecord(body: WireValue): WireValue {
    const parsed = recordSchema.safeParse(body);
    if (!parsed.success) throw new SessionCallError('malformed session record');
    this.#table.handle({ type: 'record', ...parsed.data }, this.#options.now());
    return { recorded: true };
  }

  #onLookUp(body: WireValue): WireValue {
    const parsed = lookUpSchema.safeParse(body);
    if (!parsed.success) throw new SessionCallError('malformed session look-up');
    const answer = this.#lookUpLocally(parsed.data.session);
    const positions = [...answer.positions].map(([group, position]) => ({ group, position }));
    return { positions, complete: answer.complete };
  }

  #lookUpLocally(session: SessionIdentity): HomeNodeAnswer {
    const answer = this.#table.handle({ type: 'look-up', session }, this.#options.now());
    return answer.type === 'found' ? answer.answer : { positions: new Map(), complete: false };
  }

  #homesOf(session: SessionIdentity): readonly HomeNode[] {
    const nodes = this.#options.nodes();
    if (nodes !== this.#currentNodes) this.#setNodes(nodes);
    if (this.#cachedHomes.size >= MAX_CACHED_HOMES) this.#cachedHomes.clear();
    const key = homeKey(session);
    const homes = this.#cachedHomes.get(key) ?? this.#chooseHomes(session, nodes);
    this.#cachedHomes.set(key, homes);
    return homes;
  }

  #setNodes(nodes: readonly HomeNode[]): void {
    this.#currentNodes = nodes;
    this.#nodeIds = nodes.map((node) => node.nodeId);
    this.#cachedHomes.clear();
  }

  #chooseHomes(session: SessionIdentity, nodes: readonly HomeNode[]): readonly HomeNode[] {
    const homes = new Set(homeNodesOf(session, this.#nodeIds, this.#options.rank));
    return nodes.filter((node) => homes.has(node.nodeId));
  }

  async #queryHome(home: HomeNode, session: SessionIdentity): Promise<HomeNodeAnswer | undefined> {
    if (home.nodeId === this.#options.nodeId) return this.#lookUpLocally(session);
    const { transport } = this.#options;
    const result = await transport.call(
      home.address,
      SESSION_LOOK_UP_METHOD,
      { session },
      LOOK_UP_TIMEOUT_MS,
    );
    const parsed = lookUpResponseSchema.safeParse(result.unwrapOr(undefined));
    if (!parsed.success) return undefined;
    const positions = new Map(parsed.data.positions.map((entry) => [entry.group, entry.position]));
    return { positions, complete: parsed.data.complete };
  }

  async #recordAt(
    home: HomeNode,
    session: SessionIdentity,
    entry: GroupPositionEntry,
    timeoutMs: Milliseconds,
  ): Promise<boolean> {
    const body = { session, positions: [entry] };
    if (home.nodeId === this.#options.nodeId) {
      this.#table.handle({ type: 'record', ...body }, this.#options.now());
      return true;
    }
    const { transport } = this.#options;
    const result = await transport.call(home.address, SESSION_RECORD_METHOD, body, timeoutMs);
    return result.isOk();
  }
}
