/**
 * One caller's session on this node: decides what each batch is, sends it to the group's owner, and
 * relays the answer. Holds the session's positions and the open transaction.
 */
import type { TenantPolicy } from '../../core/configuration/model.js';
import {
  NotRunError,
  type RequestError,
  UnknownOutcomeError,
  UnsupportedFeatureError,
} from '../../core/errors.js';
import type { Position } from '../../core/position.js';
import type { GroupName, TenantName, ZoneName } from '../../core/request.js';
import type { SessionKeys } from '../../core/session/index.js';
import type { Milliseconds } from '../../core/units.js';
import { type LocalResult, localAnswer } from '../../postgres/caller/local-answer.js';
import type {
  CallerBatch,
  CallerConnection,
  SessionSetting,
  StatementClass,
  StatementMarkers,
  TransactionStatus,
} from '../../postgres/contract.js';
import { monotonicNow } from '../clock.js';
import type { OpenMessage } from '../owner/messages.js';
import { batchMessage } from './batch-message.js';
import type { GroupAnswerEnd, GroupCall, GroupClient } from './group-client.js';
import type { RequestMetrics } from './request-metrics.js';
import { combineClasses, firstMarkers, type RequestTerms, requestTerms } from './request-policy.js';
import type { SessionDirectory } from './session-directory.js';
import { SessionPositions } from './session-positions.js';
import { factsOf } from './statement-facts.js';

/** Parameter that carries the session token both ways. */
export const SESSION_TOKEN_PARAMETER = 'meadowstack.session';
/** Parameter that names a session which moves with nothing but its name. */
export const SESSION_ID_PARAMETER = 'meadowstack.session_id';

export interface GatewaySessionOptions {
  readonly client: GroupClient;
  readonly sessionKeys: SessionKeys;
  /** Positions of sessions that move with nothing but their id. */
  readonly directory: SessionDirectory;
  /** The tenant's policy in force now; undefined once it is gone. */
  readonly policyOf: (tenant: TenantName) => TenantPolicy | undefined;
  readonly zone: ZoneName;
  readonly nextRequestId: () => string;
  readonly metrics: RequestMetrics;
  /** The caller's connection has closed. */
  readonly onClosed: () => void;
}

/** One request in progress, for metrics. */
interface RunningRequest {
  readonly requestId: string;
  readonly terms: RequestTerms;
  readonly access: StatementClass['access'];
  readonly startedAt: number;
}

export class GatewaySession {
  readonly #connection: CallerConnection;
  readonly #options: GatewaySessionOptions;
  readonly #group: GroupName;
  readonly #backendDatabase: string;
  readonly #positions: SessionPositions;
  /** False while the session's past is being looked up; the first batch waits for it. */
  #begun = false;
  #waiting: CallerBatch | undefined;
  #call: GroupCall | undefined;
  #inTransaction = false;
  /** The caller was told that its transaction block is open, and has not asked to end it. */
  #blockOpen = false;
  /** The open transaction was lost while the caller was idle; told at its next batch. */
  #transactionLoss: RequestError | undefined;
  /** The caller believes in a transaction block that no back end has any more. */
  #blockWithoutBackend = false;
  #running: RunningRequest | undefined;
  /** When the time of the latest request is up. */
  #deadlineAt: Milliseconds = 0;
  #stopping: RequestError | undefined;

  constructor(connection: CallerConnection, options: GatewaySessionOptions) {
    this.#connection = connection;
    this.#options = options;
    const access = connection.policy.databases.find(
      (entry) => entry.database === connection.database,
    );
    this.#group = access?.group ?? '';
    this.#backendDatabase = access?.backendDatabase ?? connection.database;
    this.#positions = new SessionPositions({
      tenant: connection.policy.tenant,
      group: this.#group,
      sessionId: connection.parameters.get(SESSION_ID_PARAMETER),
      keys: options.sessionKeys,
      directory: options.directory,
    });
    connection.onBatch = (batch) => this.#onBatch(batch);
    connection.onCancel = () => this.#call?.cancel();
    connection.onClose = () => {
      this.#call?.abandon();
      options.onClosed();
    };
    connection.onDrain = () => this.#call?.resume();
  }

  /** Takes in the token or looks up the session id that came with the start-up message. */
  async begin(): Promise<void> {
    const token = this.#connection.parameters.get(SESSION_TOKEN_PARAMETER);
    if (token !== undefined && token !== '') {
      const adopted = this.#positions.adopt(token);
      if (adopted.isErr()) this.#connection.terminate(adopted.error);
    }
    await this.#positions.lookUp();
    this.#begun = true;
    const waiting = this.#waiting;
    this.#waiting = undefined;
    if (waiting !== undefined) this.#handleBatch(waiting);
  }

  /** Planned stop or revoked access: ends the session as soon as no request or transaction is open. */
  stop(error: RequestError): void {
    this.#stopping = error;
    if (!this.#connection.busy && !this.#inTransaction) this.#connection.terminate(error);
  }

  /** Ends the session whatever it is doing. */
  cut(error: RequestError): void {
    const running = this.#connection.busy;
    this.#call?.abandon();
    this.#connection.terminate(running ? endedWhileRunning(error) : error);
  }

  get tenant(): TenantName {
    return this.#tenant;
  }

  /** True if the policy still lets this session reach its database's group. */
  isAllowedBy(policy: TenantPolicy): boolean {
    return policy.databases.some(
      (access) => access.database === this.#connection.database && access.group === this.#group,
    );
  }

  get #tenant(): TenantName {
    return this.#connection.policy.tenant;
  }

  #onBatch(batch: CallerBatch): void {
    if (!this.#begun) this.#waiting = batch;
    else this.#handleBatch(batch);
  }

  #handleBatch(batch: CallerBatch): void {
    const facts = batch.statements.map(factsOf);
    const statementClass = combineClasses(
      facts.map((fact) => (this.#inTransaction ? fact.insideBlock : fact.outsideBlock)),
    );
    if (this.#transactionLoss !== undefined) {
      this.#reportTransactionLoss(this.#transactionLoss, statementClass);
      return;
    }
    if (statementClass.unsupported !== undefined) {
      this.#refuse(new UnsupportedFeatureError(statementClass.unsupported));
      return;
    }
    if (statementClass.sessionSetting !== undefined) {
      this.#onSessionSetting(batch, statementClass.sessionSetting);
      return;
    }
    if (this.#inTransaction) this.#continueTransaction(batch, statementClass);
    else this.#openRequest(batch, statementClass);
  }

  #continueTransaction(batch: CallerBatch, statementClass: StatementClass): void {
    const markers = this.#markersOf(batch);
    if (markers === undefined) return;
    if (endsBlock(statementClass)) this.#blockOpen = false;
    this.#call?.send(batchMessage(batch, statementClass, markers));
  }

  #openRequest(batch: CallerBatch, statementClass: StatementClass): void {
    const policy = this.#options.policyOf(this.#tenant);
    if (policy?.enabled !== true) {
      this.#refuse(new NotRunError('tenant-revoked', 'the tenant has no access any more'));
      return;
    }
    const markers = this.#markersOf(batch);
    if (markers === undefined) return;
    const terms = requestTerms(policy, markers, statementClass.access);
    const begins = statementClass.transactionControl === 'begin';
    this.#inTransaction = begins;
    this.#blockOpen = false;
    const requestId = this.#options.nextRequestId();
    const startedAt = monotonicNow();
    this.#running = { requestId, terms, access: statementClass.access, startedAt };
    this.#deadlineAt = startedAt + terms.deadlineMs;
    this.#call = this.#options.client.open(
      this.#openMessage(this.#running, batch, statementClass, markers, policy),
      {
        onData: (data) => this.#onData(data),
        onBatchEnd: (status, heldBack) => this.#onBatchEnd(status, heldBack),
        onBatchError: (status, error) => this.#onBatchError(status, error),
        onEnd: (end) => this.#onEnd(end),
        onError: (error, position) => this.#onError(error, position),
      },
    );
  }

  #markersOf(batch: CallerBatch): StatementMarkers | undefined {
    const parsed = batch.statements.map((text) => factsOf(text).markers);
    const failure = parsed.find((result) => result.isErr());
    if (failure?.isErr()) {
      this.#refuse(failure.error);
      return undefined;
    }
    return firstMarkers(parsed.flatMap((result) => (result.isOk() ? [result.value] : [])));
  }

  #openMessage(
    { requestId, terms }: RunningRequest,
    batch: CallerBatch,
    statementClass: StatementClass,
    markers: StatementMarkers,
    policy: TenantPolicy,
  ): OpenMessage {
    const holds = statementClass.transactionControl === 'begin' || markers.once !== undefined;
    return {
      type: 'open',
      requestId,
      group: this.#group,
      tenant: policy.tenant,
      databaseRole: policy.databaseRole,
      database: this.#backendDatabase,
      access: statementClass.access,
      kind: terms.kind,
      weight: terms.weight,
      stalenessBoundMs: terms.stalenessBoundMs,
      repeatable: terms.repeatable,
      session: this.#positions.requirement(),
      remainingMs: terms.deadlineMs,
      hold: holds ? 'transaction' : 'statement',
      zone: this.#options.zone,
      batch: batchMessage(batch, statementClass, markers),
    };
  }

  #onData(data: Buffer): void {
    if (!this.#connection.write(data)) this.#call?.pause();
  }

  #onBatchEnd(status: TransactionStatus, heldBack: Buffer): void {
    this.#blockOpen = true;
    this.#connection.write(heldBack);
    this.#connection.finish(status);
  }

  #onBatchError(status: TransactionStatus, error: RequestError): void {
    this.#blockOpen = true;
    this.#connection.writeError(error);
    this.#connection.finish(status);
  }

  #onEnd(end: GroupAnswerEnd): void {
    const access = this.#running?.access;
    this.#call = undefined;
    this.#inTransaction = false;
    this.#blockWithoutBackend = false;
    this.#countOutcome('done', end.fromReplica);
    const { position } = end;
    if (position === undefined) {
      this.#deliverEnd(end);
      return;
    }
    const before = this.#positions.requirement();
    if (this.#positions.observe(position, end.fromReplica)) this.#reportToken();
    if (this.#positions.needsRecord(access, before)) void this.#recordThenDeliver(position, end);
    else this.#deliverEnd(end);
  }

  #deliverEnd(end: GroupAnswerEnd): void {
    this.#connection.write(end.heldBack);
    this.#finish(end.status);
  }

  #onError(error: RequestError, position: Position | undefined): void {
    const wasTransaction = this.#inTransaction;
    this.#call = undefined;
    this.#inTransaction = false;
    this.#countOutcome(error.outcome, false, error.code);
    if (error.outcome === 'done' && position !== undefined) {
      void this.#reportDoneEarlier(error, position);
      return;
    }
    if (this.#positions.failed(error)) this.#reportToken();
    if (wasTransaction && !this.#connection.busy) {
      this.#transactionLoss = error;
      return;
    }
    this.#connection.writeError(error);
    // As in PostgreSQL, a BEGIN that fails opens no block, and a COMMIT that fails ends it.
    const blockGoesOn = wasTransaction && this.#blockOpen && error.outcome === 'failed';
    this.#blockWithoutBackend = blockGoesOn;
    this.#finish(blockGoesOn ? 'T' : 'I');
  }

  /** The session must see what an earlier request with the same key did, wherever it moves. */
  async #reportDoneEarlier(error: RequestError, position: Position): Promise<void> {
    if (this.#positions.observe(position, false)) this.#reportToken();
    const recorded = await this.#positions.record(position, this.#remainingMs);
    if (!recorded) {
      this.#reportNotRecorded();
      return;
    }
    this.#connection.writeError(error);
    this.#finish('I');
  }

  /** The caller learns at its next batch that its transaction is gone. */
  #reportTransactionLoss(error: RequestError, statementClass: StatementClass): void {
    this.#transactionLoss = undefined;
    const blockEnds = endsBlock(statementClass);
    this.#blockWithoutBackend = !blockEnds;
    this.#connection.writeError(error);
    this.#finish(blockEnds ? 'I' : 'T');
  }

  async #recordThenDeliver(position: Position, end: GroupAnswerEnd): Promise<void> {
    if (await this.#positions.record(position, this.#remainingMs)) this.#deliverEnd(end);
    else this.#reportNotRecorded();
  }

  /** What is left of the latest request's time. */
  get #remainingMs(): Milliseconds {
    return this.#deadlineAt - monotonicNow();
  }

  #reportNotRecorded(): void {
    const message = 'the home nodes of the session id could not be reached';
    this.#connection.writeError(new UnknownOutcomeError('session-not-recorded', message));
    this.#finish('I');
  }

  #reportToken(): void {
    this.#connection.reportParameter(SESSION_TOKEN_PARAMETER, this.#positions.token());
  }

  #onSessionSetting(batch: CallerBatch, setting: SessionSetting): void {
    if (setting.name === SESSION_TOKEN_PARAMETER && setting.action === 'set') {
      const adopted = this.#positions.adopt(setting.value ?? '');
      if (adopted.isErr()) {
        this.#refuse(adopted.error);
        return;
      }
    }
    const shown =
      setting.name === SESSION_TOKEN_PARAMETER
        ? this.#positions.token()
        : (this.#connection.parameters.get(setting.name) ?? '');
    this.#connection.write(localAnswer(batch, () => settingResult(setting, shown)));
    this.#finish(this.#inTransaction ? 'T' : 'I');
  }

  #refuse(error: RequestError): void {
    this.#connection.writeError(error);
    this.#finish(this.#inTransaction || this.#blockWithoutBackend ? 'T' : 'I');
  }

  #finish(status: TransactionStatus): void {
    this.#connection.finish(status);
    if (this.#stopping !== undefined && !this.#inTransaction && !this.#connection.busy) {
      this.#connection.terminate(this.#stopping);
    }
  }

  #countOutcome(
    outcome: 'done' | RequestError['outcome'],
    fromReplica: boolean,
    reason?: string,
  ): void {
    const running = this.#running;
    if (running === undefined) return;
    this.#running = undefined;
    this.#options.metrics.requestEnded({
      requestId: running.requestId,
      kind: running.terms.kind,
      access: running.access,
      outcome,
      route: fromReplica ? 'replica' : 'primary',
      reason,
      elapsedMs: monotonicNow() - running.startedAt,
    });
  }
}

/** What runs may last: the reason for the end must not be told as `not run`. */
function endedWhileRunning(reason: RequestError): RequestError {
  const message = `the session was ended while its request ran: ${reason.message}`;
  return new UnknownOutcomeError('session-ended', message);
}

function settingResult(setting: SessionSetting, shown: string): LocalResult {
  const tag = setting.action.toUpperCase();
  if (setting.action !== 'show') return { tag, columns: [], rows: [] };
  return { tag, columns: [setting.name], rows: [[shown]] };
}

function endsBlock({ transactionControl }: StatementClass): boolean {
  return transactionControl === 'commit' || transactionControl === 'rollback';
}
