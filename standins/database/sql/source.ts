/** Row sources of a SELECT: a table, generate_series, a status view or function, or none. */
import type { Expr, From } from 'pgsql-ast-parser';
import { unsupportedError } from '../errors.js';
import type { Catalog } from '../storage/catalog.js';
import type { Table } from '../storage/table.js';
import type { ParameterTypes, Scope, ScopeColumn } from './evaluation.js';
import { compileExpression } from './expression.js';
import type { ExecutionContext } from './plan.js';
import { subselectCompiler } from './subselect.js';
import type { Row } from './types.js';

export interface Source {
  readonly name: string | undefined;
  readonly columns: readonly ScopeColumn[];
  readonly table: Table | undefined;
  /** Generates the rows of a source other than a table. */
  readonly generate: ((context: ExecutionContext) => Iterable<Row>) | undefined;
}

/** One row without columns: SELECT without FROM. */
export const NO_SOURCE: Source = {
  name: undefined,
  columns: [],
  table: undefined,
  generate: () => [[]],
};

const WAL_RECEIVER_VIEW = 'pg_stat_wal_receiver';

/** One row on a replica, none on a primary. */
const WAL_RECEIVER_SOURCE: Source = {
  name: WAL_RECEIVER_VIEW,
  columns: [{ name: 'received_tli', type: 'int4' }],
  table: undefined,
  generate: ({ instance }) => (instance.isInRecovery() ? [[instance.timeline()]] : []),
};

export function compileSource(
  from: readonly From[],
  catalog: Catalog,
  parameters: ParameterTypes,
): Source {
  const [node] = from;
  if (node === undefined) return NO_SOURCE;
  if (from.length > 1 || node.join) throw unsupportedError('joins');
  if (node.type === 'table' && node.name.name === WAL_RECEIVER_VIEW) return WAL_RECEIVER_SOURCE;
  if (node.type === 'table') {
    const table = catalog.get(node.name.name);
    const name = node.name.alias ?? node.name.name;
    return { name, columns: table.definition.columns, table, generate: undefined };
  }
  if (node.type !== 'call') throw unsupportedError('subselects in FROM');
  const alias = node.alias?.name;
  if (node.function.name === 'pg_control_checkpoint') {
    const columns = [{ name: 'timeline_id', type: 'int4' as const }];
    const generate: Source['generate'] = ({ instance }) => [[instance.timeline()]];
    return { name: alias ?? node.function.name, columns, table: undefined, generate };
  }
  if (node.function.name === 'pg_control_system') {
    const columns = [{ name: 'system_identifier', type: 'int8' as const }];
    const generate: Source['generate'] = ({ instance }) => [[instance.systemIdentifier()]];
    return { name: alias ?? node.function.name, columns, table: undefined, generate };
  }
  if (node.function.name !== 'generate_series')
    throw unsupportedError(`${node.function.name} in FROM`);
  const columnName = node.alias?.columns?.[0]?.name ?? alias ?? 'generate_series';
  return seriesSource(node.args, alias, columnName, catalog, parameters);
}

function seriesSource(
  args: readonly Expr[],
  alias: string | undefined,
  columnName: string,
  catalog: Catalog,
  parameters: ParameterTypes,
): Source {
  const scope: Scope = {
    columns: [],
    sourceName: undefined,
    excludedColumns: undefined,
    parameters,
    aggregates: undefined,
    compileSubselect: subselectCompiler(catalog),
  };
  const bounds = args.map((arg) => compileExpression(arg, scope, 'int4'));
  const type = bounds.some((bound) => bound.type === 'int8') ? 'int8' : 'int4';
  const generate: Source['generate'] = (context) => {
    const [first, last, step] = bounds.map((bound) => bound.evaluate(context));
    if (first === null || last === null || step === null) return [];
    return generateSeries(Number(first), Number(last), Number(step ?? 1));
  };
  return {
    name: alias ?? 'generate_series',
    columns: [{ name: columnName, type }],
    table: undefined,
    generate,
  };
}

function* generateSeries(first: number, last: number, step: number): Generator<Row> {
  if (step === 0) throw unsupportedError('a series with step 0');
  for (let value = first; step > 0 ? value <= last : value >= last; value += step) yield [value];
}
