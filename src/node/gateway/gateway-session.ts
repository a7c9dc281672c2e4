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
import { batchMessage } from './batch-message.js';
import type { GroupAnswerEnd, GroupCall, GroupClient } from './group-client.js';
import { openMessage, type SessionRoute } from './open-message.js';
import type { RequestMetrics } from './request-metrics.js';
import { RequestObserver, type SentRequest } from './request-observer.js';
import { combineClasses, firstMarkers, requestTerms } from './request-policy.js';
import type { SessionDirectory } from './session-directory.js';
import { SessionPositions } from './session-positions.js';
import { factsOf } from './statement-facts.js';
import { TransactionBlock } from './transaction-block.js';

/** Parameter that carries the session token both ways. */
export const SESSION_TOKEN_PARAMETER = 'meadowstack.session';
/** Parameter that names a session which moves with nothing but its name. */
export const SESSION_ID_PARAMETER = 'meadowstack.session_id';

/** What a session is made of beside its caller's connection. */
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

/** One caller's session. */
export class GatewaySession {
  readonly #connection: CallerConnection;
  readonly #options: GatewaySessionOptions;
  readonly #route: SessionRoute;
  readonly #positions: SessionPositions;
  /** False while the session's past is being looked up; the first batch waits for it. */
  #begun = false;
  #waiting: CallerBatch | undefined;
  #call: GroupCall | undefined;
  readonly #block = new TransactionBlock();
  readonly #observer: RequestObserver;
  #stopping: RequestError | undefined;

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
    if (!this.#connection.busy && !this.#block.isOpen) this.#connection.terminate(error);
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
      (access) =>
        access.database === this.#connection.database && access.group === this.#route.group,
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
      facts.map((fact) => (this.#block.isOpen ? fact.insideBlock : fact.outsideBlock)),
    );
    const { loss } = this.#block;
    if (loss !== undefined) {
      this.#connection.writeError(loss);
      this.#finish(this.#block.lossTold(statementClass));
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
    this.#block.batchSent(statementClass);
    this.#call?.send(batchMessage(batch, statementClass, markers));
  }

  #openRequest(batch: CallerBatch, statementClass: StatementClassification): void {
    const policy = this.#options.policyOf(this.#tenant);
    if (policy?.enabled !== true) {
      this.#refuse(new NotRunError('tenant-revoked', 'the tenant has no access any more'));
      return;
    }
    const markers = this.#markersOf(batch);
    if (markers === undefined) return;
    this.#block.requestOpened(statementClass.transactionControl === 'begin');
    const { access } = statementClass;
    const terms = requestTerms(policy, markers, access);
    const request: SentRequest = { requestId: this.#options.nextRequestId(), terms, access };
    this.#observer.started(request);
    this.#call = this.#options.client.open(
      openMessage(
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
    return firstMarkers(parsed.flatMap((result) => (result.isOk() ? [result.value] : [])));
  }

  #onData(data: Buffer): void {
    if (!this.#connection.write(data)) this.#call?.pause();
  }

  #onBatchEnd(status: TransactionStatus, heldBack: Buffer): void {
    this.#block.batchEnded();
    this.#connection.write(heldBack);
    this.#connection.finish(status);
  }

  #onBatchError(status: TransactionStatus, error: RequestError): void {
    this.#block.batchEnded();
    this.#connection.writeError(error);
    this.#connection.finish(status);
  }

  #onEnd(end: GroupAnswerEnd): void {
    const { access } = this.#observer;
    this.#call = undefined;
    this.#block.requestEnded();
    this.#observer.done(end.fromReplica);
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
    const wasTransaction = this.#block.requestFailed();
    this.#call = undefined;
    this.#observer.failed(error);
    if (error.outcome === 'done' && position !== undefined) {
      void this.#reportDoneEarlier(error, position);
      return;
    }
    if (this.#positions.failed(error)) this.#reportToken();
    if (wasTransaction && !this.#connection.busy) {
      this.#block.lostWhileIdle(error);
      return;
    }
    this.#connection.writeError(error);
    this.#finish(this.#block.failureTold(error, wasTransaction));
  }

  /** The session must see what an earlier request with the same key did, wherever it moves. */
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

  async #recordThenDeliver(position: Position, end: GroupAnswerEnd): Promise<void> {
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
    this.#connection.write(buildLocalResponse(batch, () => settingResult(setting, shown)));
    this.#finish(this.#block.status);
  }

  #refuse(error: RequestError): void {
    this.#connection.writeError(error);
    this.#finish(this.#block.statusAfterRefusal);
  }

  #finish(status: TransactionStatus): void {
    this.#connection.finish(status);
    if (this.#stopping !== undefined && !this.#block.isOpen && !this.#connection.busy) {
      this.#connection.terminate(this.#stopping);
    }
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
