/**
 * Keeps positions of sessions by id on their home nodes, over peer calls. The rules (who is home,
 * how many must answer) are the core's; see docs/design/sessions.md.
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

/** Sessions whose home nodes are kept: more than a node has callers at the size that is aimed at. */
const MAX_KEPT_HOMES = 32_768;
/** Longest wait for one home node in a look-up, in ms. */
const LOOK_UP_TIMEOUT_MS = 250;
/** Shortest time for a record, also if the request's own time is up: its write is done. */
const RECORD_MIN_MS = 250;
/** Longest time for a record: after it the caller is told that the outcome is unknown. */
const RECORD_MAX_MS = 2_000;
/** A home node that could not be told is told again after this. */
const RECORD_RETRY_MS = 50;

const keySchema = z.object({ tenant: z.string(), sessionId: z.string() });
const entrySchema = z.object({
  group: z.string(),
  position: z.object({ timeline: z.number().int(), lsn: z.bigint() }),
});
const recordSchema = z.object({ session: keySchema, positions: z.array(entrySchema) });
const lookUpSchema = z.object({ session: keySchema });
const answerSchema = z.object({ positions: z.array(entrySchema), complete: z.boolean() });

/** A peer asked for something that is no session call, or in a malformed way. */
export class SessionCallError extends MeadowstackError {
  readonly code = 'MS-SESSION-CALL';
}

/** A node that can be home to sessions. */
export interface HomeNode {
  readonly nodeId: string;
  readonly address: PeerAddress;
}

/** A record on its way to the home nodes. */
interface PendingRecord {
  readonly session: SessionIdentity;
  readonly entry: GroupPositionEntry;
  readonly deadlineAt: Milliseconds;
  /** Aborted once enough home nodes have recorded. */
  readonly enough: AbortSignal;
}

/** What the directory is made of. */
export interface HomeNodeDirectoryOptions {
  readonly nodeId: string;
  readonly transport: PeerTransport;
  readonly rank: NodeRanking;
  /** All proxies of the machine list, this node included; the same array until they change. */
  readonly nodes: () => readonly HomeNode[];
  readonly now: () => Milliseconds;
}

/** Positions of sessions by id, kept by three home nodes each. */
export class HomeNodeDirectory implements SessionDirectory {
  readonly #options: HomeNodeDirectoryOptions;
  readonly #table: SessionPositionTable;
  /** Home nodes of sessions in use: choosing them looks at every node of the fleet. */
  readonly #homes = new Map<string, readonly HomeNode[]>();
  #homesOfNodes: readonly HomeNode[] = [];
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
    const asked = homes.map((home) => this.#ask(home, session));
    const answers = (await Promise.all(asked)).filter((answer) => answer !== undefined);
    return combineAnswers(answers, homes.length);
  }

  record(
    tenant: TenantName,
    sessionId: string,
    entry: GroupPositionEntry,
    remainingMs: Milliseconds,
  ): Promise<boolean> {
    const session = { tenant, sessionId };
    const homes = this.#homesOf(session);
    const limitMs = Math.min(RECORD_MAX_MS, Math.max(RECORD_MIN_MS, remainingMs));
    const deadlineAt = this.#options.now() + limitMs;
    const enough = new AbortController();
    return new Promise((resolve) => {
      let acknowledged = 0;
      let outstanding = homes.length;
      const settle = (recorded: boolean): void => {
        outstanding -= 1;
        if (recorded) acknowledged += 1;
        if (!isRecorded(acknowledged, homes.length) && outstanding > 0) return;
        resolve(isRecorded(acknowledged, homes.length));
        enough.abort();
      };
      if (homes.length === 0) resolve(false);
      for (const { nodeId } of homes) {
        void this.#tellUntil(nodeId, { session, entry, deadlineAt, enough: enough.signal }).then(
          settle,
        );
      }
    });
  }

  /**
   * Tells a home node until it has recorded, others were enough, or the time is up. A link that is
   * lost or a node that was restarted elsewhere is found again at the next try.
   */
  async #tellUntil(nodeId: string, record: PendingRecord): Promise<boolean> {
    const { session, entry, deadlineAt, enough } = record;
    for (;;) {
      const home = this.#homesOf(session).find((node) => node.nodeId === nodeId);
      const remainingMs = deadlineAt - this.#options.now();
      const told = home !== undefined && (await this.#tell(home, session, entry, remainingMs));
      if (told) return true;
      const timeIsUp = this.#options.now() + RECORD_RETRY_MS >= deadlineAt;
      if (timeIsUp || enough.aborted) return false;
      await pause(RECORD_RETRY_MS);
      if (enough.aborted) return false;
    }
  }

  /** True for the methods that `onCall` answers. */
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
    const answer = this.#lookUpHere(parsed.data.session);
    const positions = [...answer.positions].map(([group, position]) => ({ group, position }));
    return { positions, complete: answer.complete };
  }

  #lookUpHere(session: SessionIdentity): HomeNodeAnswer {
    const answer = this.#table.handle({ type: 'look-up', session }, this.#options.now());
    return answer.type === 'found' ? answer.answer : { positions: new Map(), complete: false };
  }

  #homesOf(session: SessionIdentity): readonly HomeNode[] {
    const nodes = this.#options.nodes();
    if (nodes !== this.#homesOfNodes) this.#setNodes(nodes);
    if (this.#homes.size >= MAX_KEPT_HOMES) this.#homes.clear();
    const key = homeKey(session);
    const homes = this.#homes.get(key) ?? this.#chooseHomes(session, nodes);
    this.#homes.set(key, homes);
    return homes;
  }

  #setNodes(nodes: readonly HomeNode[]): void {
    this.#homesOfNodes = nodes;
    this.#nodeIds = nodes.map((node) => node.nodeId);
    this.#homes.clear();
  }

  #chooseHomes(session: SessionIdentity, nodes: readonly HomeNode[]): readonly HomeNode[] {
    const homes = new Set(homeNodesOf(session, this.#nodeIds, this.#options.rank));
    return nodes.filter((node) => homes.has(node.nodeId));
  }

  async #ask(home: HomeNode, session: SessionIdentity): Promise<HomeNodeAnswer | undefined> {
    if (home.nodeId === this.#options.nodeId) return this.#lookUpHere(session);
    const { transport } = this.#options;
    const result = await transport.call(
      home.address,
      SESSION_LOOK_UP_METHOD,
      { session },
      LOOK_UP_TIMEOUT_MS,
    );
    const parsed = answerSchema.safeParse(result.unwrapOr(undefined));
    if (!parsed.success) return undefined;
    const positions = new Map(parsed.data.positions.map((entry) => [entry.group, entry.position]));
    return { positions, complete: parsed.data.complete };
  }

  async #tell(
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
