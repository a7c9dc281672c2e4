/** Types of compiled expressions, and of the context that they are evaluated in. */
import type { Expr } from 'pgsql-ast-parser';
import type { Row, TypeName, Value } from './types.js';

/** Functions that report the state of the instance and session. */
export interface InstanceFunctions {
  isInRecovery(): boolean;
  timeline(): number;
  systemIdentifier(): number;
  /** @throws ServerError 55000 in recovery. */
  currentLsn(): string;
  receivedLsn(): string | null;
  replayedLsn(): string | null;
  backendPid(): number;
  userName(): string;
  databaseName(): string;
  /** Undefined for a setting without a value. */
  setting(name: string): string | undefined;
  changeSetting(name: string, value: string): void;
}

/** State of one statement's evaluation; `row` changes from row to row. */
export interface EvaluationContext {
  row: Row;
  /** The row proposed for insertion: `excluded` of ON CONFLICT DO UPDATE. */
  excluded: Row;
  /** Results of the aggregates of a SELECT, in order of their registration. */
  aggregates: Row;
  /** Time requested by calls of pg_sleep; waited for after the statement's work. */
  sleepMs: number;
  readonly parameters: Row;
  readonly instance: InstanceFunctions;
  readonly startedAtMs: number;
}

export interface CompiledExpression {
  readonly type: TypeName;
  readonly evaluate: (context: EvaluationContext) => Value;
}

export interface ScopeColumn {
  readonly name: string;
  readonly type: TypeName;
}

export interface AggregateCall {
  readonly functionName: string;
  /** Undefined: count(*). */
  readonly argument: CompiledExpression | undefined;
  readonly distinct: boolean;
}

/** Types of a statement's parameters: declared by Parse or inferred from their use. */
export class ParameterTypes {
  private readonly types: (TypeName | undefined)[];

  constructor(declared: readonly (TypeName | undefined)[]) {
    this.types = [...declared];
  }

  /** Type of parameter `index` (from 0); takes `hint` if none is known yet. */
  resolve(index: number, hint: TypeName | undefined): TypeName {
    while (this.types.length <= index) this.types.push(undefined);
    const type = this.types[index] ?? hint;
    this.types[index] = type;
    return type ?? 'text';
  }

  list(): TypeName[] {
    return this.types.map((type) => type ?? 'text');
  }
}

/** Names that an expression may reference. */
export interface Scope {
  readonly columns: readonly ScopeColumn[];
  /** Name or alias by which columns may be qualified. */
  readonly sourceName: string | undefined;
  readonly excludedColumns: readonly ScopeColumn[] | undefined;
  readonly parameters: ParameterTypes;
  /** Collects the aggregates of a select list; undefined where aggregates aren't allowed. */
  readonly aggregates: AggregateCall[] | undefined;
  /** Compiles a scalar subselect. */
  readonly compileSubselect: (select: Expr, parameters: ParameterTypes) => CompiledExpression;
}
