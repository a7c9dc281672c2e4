/**
 * One caller's session on this node: classifies each batch, sends it to the group's owner, and
 * relays the response. Holds the session's positions and the state of its open transaction.
 */
import type { TenantPolicy } from '../../core/configuration/model.js';
import {
  NotRunError,
  type RequestError,
  UnknownOutcomeError,
  UnsupportedFeatureError,
} from '../../core/errors.js';
import type { Position } from '../../core/position.js';
import type { TenantName, ZoneName } from '../../core/request.js';
import type { SessionKeys } from '../../core/session/index.js';
import { buildLocalResponse, type LocalResult } from '../../postgres/caller/local-response.js';
import type {
  CallerBatch,
  CallerConnection,
  SessionSetting,
  StatementClassification,
  StatementMarkers,
  TransactionStatus,
} from '../../postgres/contract.js';
import { toBatchMessage } from './batch-message.js';
import type { GroupCall, GroupClient, GroupResponseEnd } from './group-client.js';
import { createOpenMessage, type SessionRoute } from './open-message.js';
import type { RequestMetrics } from './request-metrics.js';
import { RequestObserver, type SentRequest } from './request-observer.js';
import { combineClasses, resolveRequestTerms, selectMarkers } from './request-policy.js';
import type { SessionDirectory } from './session-directory.js';
import { SessionPositions } from './session-positions.js';
import { factsOf } from './statement-facts.js';
import { TransactionBlock } from './transaction-block.js';

/** Parameter that carries the session token in both directions. */
export const SESSION_TOKEN_PARAMETER = 'meadowstack.session';
/** Parameter with the id of a session that moves between nodes by its id alone, without a token. */
export const SESSION_ID_PARAMETER = 'meadowstack.session_id';

/** Dependencies of a session other than its caller's connection. */
export interface GatewaySessionOptions {
  readonly client: GroupClient;
  readonly sessionKeys: SessionKeys;
  /** Positions of sessions that move between nodes by their id alone. */
  readonly directory: SessionDirectory;
  /** The tenant's current policy; undefined once it has been removed. */
  readonly policyOf: (tenant: TenantName) => TenantPolicy | undefined;
  readonly zone: ZoneName;
  readonly nextRequestId: () => string;
  readonly metrics: RequestMetrics;
  /** Called when the caller's connection has closed. */
  readonly onClosed: () => void;
}

/** One caller's session. */
export class GatewaySession {
  readonly #connection: CallerConnection;
  readonly #options: GatewaySessionOptions;
  readonly #route: SessionRoute;
  readonly #positions: SessionPositions;
  /** False while the session's positions are being looked up; the first batch waits for them. */
  #isStarted = false;
  #queuedBatch: CallerBatch | undefined;
  #call: GroupCall | undefined;
  readonly #block = new TransactionBlock();
  readonly #observer: RequestObserver;
  #endReason: RequestError | undefined;

  constructor(connection: CallerConnection, options: GatewaySessionOptions) {
    this.#connection = connection;
    this.#options = options;
    this.#observer = new RequestObserver(options.metrics);
    const access = connection.policy.databases.find(
      (entry) => entry.database === connection.database,
    );
    this.#route = {
      group: access?.group ?? '',
      database: access?.backendDatabase ?? connection.database,
      zone: options.zone,
    };
    this.#positions = new SessionPositions({
      tenant: connection.policy.tenant,
      group: this.#route.group,
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

  /** Restores the session's positions from the token or session id in the start-up message. */
  async start(): Promise<void> {
    const token = this.#connection.parameters.get(SESSION_TOKEN_PARAMETER);
    if (token !== undefined && token !== '') {
      const merged = this.#positions.mergeToken(token);
      if (merged.isErr()) this.#connection.terminate(merged.error);
    }
    await this.#positions.lookUp();
    this.#isStarted = true;
    const queuedBatch = this.#queuedBatch;
    this.#queuedBatch = undefined;
    if (queuedBatch !== undefined) this.#handleBatch(queuedBatch);
  }

  /**
   * Graceful shutdown or revoked access: ends the session once no request or transaction is open.
   */
  endWhenIdle(error: RequestError): void {
    this.#endReason = error;
    if (!this.#connection.busy && !this.#block.isOpen) this.#connection.terminate(error);
  }

  /** Ends the session at once, also during a request or transaction. */
  endNow(error: RequestError): void {
    const running = this.#connection.busy;
    this.#call?.abandon();
    this.#connection.terminate(running ? endedWhileRunningError(error) : error);
  }

  get tenant(): TenantName {
    return this.#tenant;
  }

  /** True if the policy still allows this session to use its database in the same group. */
  isAllowedBy(policy: TenantPolicy): boolean {
    return policy.databases.some(
      (access) =>
        access.database === this.#connection.database && access.group === this.#route.group,
    );
  }

  get #tenant(): TenantName {
    return this.#connection.policy.tenant;
  }

  #onBatch(batch: CallerBatch): void {
    if (!this.#isStarted) this.#queuedBatch = batch;
    else this.#handleBatch(batch);
  }

  #handleBatch(batch: CallerBatch): void {
    const facts = batch.statements.map(factsOf);
    const statementClass = combineClasses(
      facts.map((statement) =>
        this.#block.isOpen ? statement.insideBlock : statement.outsideBlock,
      ),
    );
    const { unreportedLoss: loss } = this.#block;
    if (loss !== undefined) {
      this.#connection.writeError(loss);
      this.#finish(this.#block.recordReportedLoss(statementClass));
      return;
    }
    if (statementClass.unsupportedFeature !== undefined) {
      this.#refuse(new UnsupportedFeatureError(statementClass.unsupportedFeature));
      return;
    }
    if (statementClass.sessionSetting !== undefined) {
      this.#onSessionSetting(batch, statementClass.sessionSetting);
      return;
    }
    if (this.#block.isOpen) this.#continueTransaction(batch, statementClass);
    else this.#openRequest(batch, statementClass);
  }

  #continueTransaction(batch: CallerBatch, statementClass: StatementClassification): void {
    const markers = this.#markersOf(batch);
    if (markers === undefined) return;
    this.#block.recordBatchSent(statementClass);
    this.#call?.send(toBatchMessage(batch, statementClass, markers));
  }

  #openRequest(batch: CallerBatch, statementClass: StatementClassification): void {
    const policy = this.#options.policyOf(this.#tenant);
    if (policy?.enabled !== true) {
      this.#refuse(new NotRunError('tenant-revoked', 'the tenant no longer has access'));
      return;
    }
    const markers = this.#markersOf(batch);
    if (markers === undefined) return;
    this.#block.recordRequestSent(statementClass.transactionControl === 'begin');
    const { access } = statementClass;
    const terms = resolveRequestTerms(policy, markers, access);
    const request: SentRequest = { requestId: this.#options.nextRequestId(), terms, access };
    this.#observer.recordStart(request);
    this.#call = this.#options.client.open(
      createOpenMessage(
        request,
        { batch, statementClass, markers },
        policy,
        this.#route,
        this.#positions.requirement(),
      ),
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
    return selectMarkers(parsed.flatMap((result) => (result.isOk() ? [result.value] : [])));
  }

  #onData(data: Buffer): void {
    if (!this.#connection.write(data)) this.#call?.pause();
  }

  #onBatchEnd(status: TransactionStatus, heldBack: Buffer): void {
    this.#block.recordBatchReported();
    this.#connection.write(heldBack);
    this.#connection.finish(status);
  }

  #onBatchError(status: TransactionStatus, error: RequestError): void {
    this.#block.recordBatchReported();
    this.#connection.writeError(error);
    this.#connection.finish(status);
  }

  #onEnd(end: GroupResponseEnd): void {
    const { access } = this.#observer;
    this.#call = undefined;
    this.#block.recordRequestDone();
    this.#observer.recordDone(end.fromReplica);
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

  #deliverEnd(end: GroupResponseEnd): void {
    this.#connection.write(end.heldBack);
    this.#finish(end.status);
  }

  #onError(error: RequestError, position: Position | undefined): void {
    const wasInTransaction = this.#block.recordRequestFailed();
    this.#call = undefined;
    this.#observer.recordFailure(error);
    if (error.outcome === 'done' && position !== undefined) {
      void this.#reportDoneEarlier(error, position);
      return;
    }
    if (this.#positions.recordFailure(error)) this.#reportToken();
    if (wasInTransaction && !this.#connection.busy) {
      this.#block.recordIdleLoss(error);
      return;
    }
    this.#connection.writeError(error);
    this.#finish(this.#block.recordReportedFailure(error, wasInTransaction));
  }

  /**
   * Reports that an earlier request with the same idempotency key has already been applied. The
   * position is recorded first: the session must see that write on every node that it moves to.
   */
  async #reportDoneEarlier(error: RequestError, position: Position): Promise<void> {
    if (this.#positions.observe(position, false)) this.#reportToken();
    const recorded = await this.#positions.record(position, this.#observer.remainingMs);
    if (!recorded) {
      this.#reportNotRecorded();
      return;
    }
    this.#connection.writeError(error);
    this.#finish('I');
  }

  async #recordThenDeliver(position: Position, end: GroupResponseEnd): Promise<void> {
    if (await this.#positions.record(position, this.#observer.remainingMs)) this.#deliverEnd(end);
    else this.#reportNotRecorded();
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
      const merged = this.#positions.mergeToken(setting.value ?? '');
      if (merged.isErr()) {
        this.#refuse(merged.error);
        return;
      }
    }
    const shownValue =
      setting.name === SESSION_TOKEN_PARAMETER
        ? this.#positions.token()
        : (this.#connection.parameters.get(setting.name) ?? '');
    this.#connection.write(buildLocalResponse(batch, () => settingResult(setting, shownValue)));
    this.#finish(this.#block.status);
  }

  #refuse(error: RequestError): void {
    this.#connection.writeError(error);
    this.#finish(this.#block.statusAfterRefusal);
  }

  #finish(status: TransactionStatus): void {
    this.#connection.finish(status);
    if (this.#endReason !== undefined && !this.#block.isOpen && !this.#connection.busy) {
      this.#connection.terminate(this.#endReason);
    }
  }
}

/**
 * The error for a session that is ended during a request. The running request may still commit, so
 * the reason for the end, which is a `not-run` error, must not be reported for it.
 */
function endedWhileRunningError(reason: RequestError): RequestError {
  const message = `the session was ended while its request ran: ${reason.message}`;
  return new UnknownOutcomeError('session-ended', message);
}

function settingResult(setting: SessionSetting, shownValue: string): LocalResult {
  const tag = setting.action.toUpperCase();
  if (setting.action !== 'show') return { tag, columns: [], rows: [] };
  return { tag, columns: [setting.name], rows: [[shownValue]] };
}
