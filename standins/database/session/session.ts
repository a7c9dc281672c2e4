/** One client's session: simple and extended query protocol, prepared statements, portals. */
import { ServerError, ServerSqlState, unsupportedError } from '../errors.js';
import type { InstanceFunctions } from '../sql/evaluation.js';
import type { ExecutionContext, Plan, ResultColumn } from '../sql/plan.js';
import { type ParsedStatement, parseSimpleQuery, parseStatements } from '../sql/statements.js';
import { parseBinaryValue, parseValue, type Row, type TypeName, typeByOid } from '../sql/types.js';
import * as backend from '../wire/backend.js';
import type { BindMessage, ExecuteMessage, ParseMessage, TargetMessage } from '../wire/frontend.js';
import type { Output } from '../wire/output.js';
import type { PlanCache } from './plan-cache.js';
import {
  performRequestedSleep,
  type RunnerHost,
  runPlan,
  throwIfAborted,
  withSlot,
} from './runner.js';
import {
  endsFailedTransaction,
  executeSessionStatement,
  type SessionState,
  sessionColumns,
} from './session-statements.js';
import { Settings } from './settings.js';
import { TransactionBlock, type TransactionHost } from './transaction-block.js';

export interface SessionHost extends RunnerHost, TransactionHost {
  readonly plans: PlanCache;
  isInRecovery(): boolean;
  /** Called as a statement of this role begins (1) and ends (-1). */
  countStatement(running: 1 | -1, role: string): void;
}

interface PreparedStatement {
  /** Undefined: the empty query. */
  readonly statement: ParsedStatement | undefined;
  readonly declaredTypes: readonly (TypeName | undefined)[];
}

interface Portal {
  readonly prepared: PreparedStatement;
  readonly plan: Plan | undefined;
  readonly parameters: Row;
  /** Rows still to send; undefined before the first Execute. */
  rows: Iterator<Row> | undefined;
  context: ExecutionContext | undefined;
  affected: number;
  returned: number;
}

export interface SessionOptions {
  readonly host: SessionHost;
  readonly output: Output;
  readonly functions: Omit<InstanceFunctions, 'setting' | 'changeSetting'>;
  readonly startupParameters: ReadonlyMap<string, string>;
  /** Aborted with a ServerError by a cancel request, a disconnect or a shutdown. */
  readonly signal: () => AbortSignal;
}

export class Session {
  readonly settings: Settings;
  readonly block: TransactionBlock;
  private readonly prepared = new Map<string, PreparedStatement>();
  private readonly portals = new Map<string, Portal>();
  private readonly state: SessionState;
  private readonly functions: InstanceFunctions;

  constructor(private readonly options: SessionOptions) {
    const { host, output, functions } = options;
    const settings = new Settings(options.startupParameters, output);
    this.settings = settings;
    this.block = new TransactionBlock(host, (committed) => {
      settings.endTransaction(committed);
      this.portals.clear();
    });
    this.functions = {
      ...functions,
      setting: (name) => settings.get(name),
      changeSetting: (name, value) => settings.set(name, value, false),
    };
    this.state = {
      block: this.block,
      settings,
      output,
      isInRecovery: () => host.isInRecovery(),
      deallocate: (name) => this.deallocate(name),
      closePortals: () => this.portals.clear(),
    };
  }

  async simpleQuery(text: string): Promise<void> {
    const { output } = this.options;
    const statements = parseSimpleQuery(text);
    if (statements.length === 0) output.add(backend.emptyQueryResponse);
    for (const [position, simple] of statements.entries()) {
      const prepared = { statement: simple.statement, declaredTypes: simple.types };
      this.throwIfFailed(simple.statement);
      const types = this.planOf(prepared)?.parameters.list() ?? [];
      const parameters = simple.values.map((value, index) =>
        parseValue(types[index] ?? 'text', value),
      );
      const portal = this.openPortal(prepared, parameters);
      const columns = this.columnsOf(portal.prepared, portal.plan);
      const isLast = position === statements.length - 1;
      const tag = await this.runPortal(portal, 0, (): void => {
        if (columns !== undefined) output.add(backend.rowDescription(columns));
      });
      if (isLast) this.block.commitImplicit();
      if (tag !== undefined) output.add(backend.commandComplete(tag));
    }
  }

  parse(message: ParseMessage): void {
    const statements = parseStatements(message.text);
    if (statements.length > 1) {
      const text = 'cannot insert multiple commands into a prepared statement';
      throw new ServerError(ServerSqlState.SYNTAX_ERROR, text);
    }
    if (message.name !== '' && this.prepared.has(message.name)) {
      const text = `prepared statement "${message.name}" already exists`;
      throw new ServerError(ServerSqlState.DUPLICATE_PREPARED_STATEMENT, text);
    }
    const [statement] = statements;
    const prepared = { statement, declaredTypes: message.parameterOids.map(typeByOid) };
    this.throwIfFailed(statement);
    this.planOf(prepared);
    this.prepared.set(message.name, prepared);
    this.options.output.add(backend.parseComplete);
  }

  bind(message: BindMessage): void {
    if (message.resultFormats.includes(1)) throw unsupportedError('results in binary format');
    const prepared = this.findPrepared(message.statement);
    this.throwIfFailed(prepared.statement);
    const types = this.planOf(prepared)?.parameters.list() ?? [];
    if (message.parameters.length !== types.length) {
      const text = `bind message supplies ${message.parameters.length} parameters, but the prepared statement requires ${types.length}`;
      throw new ServerError(ServerSqlState.PROTOCOL_VIOLATION, text);
    }
    const parameters = message.parameters.map((bytes, position) => {
      const type = types[position] ?? 'text';
      if (bytes === null) return null;
      const binary = formatCodeAt(message.parameterFormats, position) === 1;
      return binary ? parseBinaryValue(type, bytes) : parseValue(type, bytes.toString('utf8'));
    });
    this.portals.set(message.portal, this.openPortal(prepared, parameters));
    this.options.output.add(backend.bindComplete);
  }

  describe(message: TargetMessage): void {
    const { output } = this.options;
    const portal = message.target === 'portal' ? this.findPortal(message.name) : undefined;
    const prepared = portal?.prepared ?? this.findPrepared(message.name);
    const plan = portal === undefined ? this.planOf(prepared) : portal.plan;
    if (portal === undefined) {
      output.add(backend.parameterDescription(plan?.parameters.list() ?? []));
    }
    const columns = this.columnsOf(prepared, plan);
    output.add(columns === undefined ? backend.noData : backend.rowDescription(columns));
  }

  async execute(message: ExecuteMessage): Promise<void> {
    const { output } = this.options;
    const portal = this.findPortal(message.portal);
    if (portal.prepared.statement === undefined) {
      output.add(backend.emptyQueryResponse);
      return;
    }
    const tag = await this.runPortal(portal, message.maxRows, () => {});
    output.add(tag === undefined ? backend.portalSuspended : backend.commandComplete(tag));
  }

  close(message: TargetMessage): void {
    if (message.target === 'statement') this.prepared.delete(message.name);
    else this.portals.delete(message.name);
    this.options.output.add(backend.closeComplete);
  }

  /** Sync, or the end of a simple query. */
  sync(): void {
    this.block.commitImplicit();
    if (!this.block.isExplicit) this.portals.clear();
  }

  private deallocate(name: string | undefined): void {
    if (name === undefined) this.prepared.clear();
    else if (!this.prepared.delete(name)) throw unknownStatementError(name);
  }

  private findPrepared(name: string): PreparedStatement {
    const prepared = this.prepared.get(name);
    if (prepared === undefined) throw unknownStatementError(name);
    return prepared;
  }

  private findPortal(name: string): Portal {
    const portal = this.portals.get(name);
    if (portal !== undefined) return portal;
    const message = `portal "${name}" does not exist`;
    throw new ServerError(ServerSqlState.INVALID_CURSOR_NAME, message);
  }

  private planOf({ statement, declaredTypes }: PreparedStatement): Plan | undefined {
    if (statement?.kind !== 'query') return undefined;
    return this.options.host.plans.get(statement, declaredTypes);
  }

  private columnsOf(
    { statement }: PreparedStatement,
    plan: Plan | undefined,
  ): readonly ResultColumn[] | undefined {
    if (statement === undefined) return undefined;
    return statement.kind === 'query' ? plan?.columns : sessionColumns(statement);
  }

  private openPortal(prepared: PreparedStatement, parameters: Row): Portal {
    this.throwIfFailed(prepared.statement);
    const plan = this.planOf(prepared);
    return {
      prepared,
      plan,
      parameters,
      rows: undefined,
      context: undefined,
      affected: 0,
      returned: 0,
    };
  }

  private throwIfFailed(statement: ParsedStatement | undefined): void {
    if (!this.block.isFailed || statement === undefined) return;
    if (endsFailedTransaction(statement)) return;
    const message =
      'current transaction is aborted, commands ignored until end of transaction block';
    throw new ServerError(ServerSqlState.IN_FAILED_TRANSACTION, message);
  }

  /** Returns the command tag, or undefined if `maxRows` suspended the portal. */
  private async runPortal(
    portal: Portal,
    maxRows: number,
    beforeRows: () => void,
  ): Promise<string | undefined> {
    const { statement } = portal.prepared;
    if (statement === undefined) return undefined;
    this.throwIfFailed(statement);
    if (statement.kind !== 'query' || portal.plan === undefined) {
      if (statement.kind === 'query') throw unsupportedError('this statement');
      const { rows, tag } = executeSessionStatement(statement, this.state);
      beforeRows();
      for (const row of rows) this.options.output.add(backend.dataRow(row));
      return tag;
    }
    return this.runQuery(portal, portal.plan, maxRows, beforeRows);
  }

  private async runQuery(
    portal: Portal,
    plan: Plan,
    maxRows: number,
    beforeRows: () => void,
  ): Promise<string | undefined> {
    const { host } = this.options;
    const signal = this.options.signal();
    throwIfAborted(signal);
    this.throwIfReadOnly(plan);
    const role = this.options.startupParameters.get('user') ?? '';
    host.countStatement(1, role);
    const stopTimer = this.startStatementTimer();
    let isComplete = false;
    try {
      await withSlot(plan, host, signal, async () => {
        if (portal.rows === undefined) await this.startPortal(portal, plan, signal);
        beforeRows();
        isComplete = await this.sendRows(portal, maxRows, signal);
      });
    } finally {
      stopTimer();
      host.countStatement(-1, role);
    }
    return isComplete ? plan.tag(portal.returned, portal.affected) : undefined;
  }

  private async startPortal(portal: Portal, plan: Plan, signal: AbortSignal): Promise<void> {
    if (!this.block.isOpen) this.settings.beginTransaction();
    const transaction = this.block.current();
    const context: ExecutionContext = {
      row: [],
      excluded: [],
      aggregates: [],
      sleepMs: 0,
      parameters: portal.parameters,
      instance: this.functions,
      startedAtMs: this.block.startedAtMs,
      transaction,
    };
    const result = await runPlan(plan, context, this.options.host, signal);
    portal.context = context;
    portal.rows = result.rows[Symbol.iterator]();
    portal.affected = result.affected;
  }

  /** Sends up to `maxRows` rows (0: all); returns true if there are no more. */
  private async sendRows(portal: Portal, maxRows: number, signal: AbortSignal): Promise<boolean> {
    const { output } = this.options;
    const { rows, context } = portal;
    for (let sent = 0; maxRows === 0 || sent < maxRows; sent += 1) {
      const next = rows?.next();
      if (next === undefined || next.done === true) return true;
      if (context !== undefined && context.sleepMs > 0)
        await performRequestedSleep(context, signal);
      portal.returned += 1;
      if (portal.plan?.columns !== undefined) output.add(backend.dataRow(next.value));
      if (output.isLarge) {
        await output.flush();
        throwIfAborted(signal);
      }
    }
    return false;
  }

  private throwIfReadOnly(plan: Plan): void {
    if (!plan.writes) return;
    const isReadOnlyByDefault = this.settings.get('default_transaction_read_only') === 'on';
    const readOnly = this.block.isReadOnly || (isReadOnlyByDefault && !this.block.isExplicit);
    if (!readOnly && !this.options.host.isInRecovery()) return;
    const command = plan.tag(0, 0).split(' ')[0] ?? '';
    const message = `cannot execute ${command} in a read-only transaction`;
    throw new ServerError(ServerSqlState.READ_ONLY_TRANSACTION, message);
  }

  /** Set by the connection: called when `statement_timeout` expires, to cancel the statement. */
  onStatementTimeout: () => void = () => {};

  private startStatementTimer(): () => void {
    const timeoutMs = Number.parseInt(this.settings.get('statement_timeout') ?? '0', 10);
    if (!(timeoutMs > 0)) return () => {};
    const timer = setTimeout(() => this.onStatementTimeout(), timeoutMs);
    return () => clearTimeout(timer);
  }
}

function unknownStatementError(name: string): ServerError {
  const message = `prepared statement "${name}" does not exist`;
  return new ServerError(ServerSqlState.INVALID_SQL_STATEMENT_NAME, message);
}

/** Format code from a Bind message, which has none (text), one for all, or one for each. */
function formatCodeAt(formats: readonly number[], position: number): number {
  return (formats.length === 1 ? formats[0] : formats[position]) ?? 0;
}
