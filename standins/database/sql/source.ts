/** Where a SELECT's rows come from: a table, generate_series, pg_control_checkpoint or nothing. */
import type { Expr, From } from 'pgsql-ast-parser';
import { unsupported } from '../errors.js';
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
  /** Rows of a source that is no table. */
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

/** One row while the instance follows a primary, none on a primary. */
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
  if (from.length > 1 || node.join) throw unsupported('joins');
  if (node.type === 'table' && node.name.name === WAL_RECEIVER_VIEW) return WAL_RECEIVER_SOURCE;
  if (node.type === 'table') {
    const table = catalog.get(node.name.name);
    const name = node.name.alias ?? node.name.name;
    return { name, columns: table.definition.columns, table, generate: undefined };
  }
  if (node.type !== 'call') throw unsupported('subselects in FROM');
  const alias = node.alias?.name;
  if (node.function.name === 'pg_control_checkpoint') {
    const columns = [{ name: 'timeline_id', type: 'int4' as const }];
    const generate: Source['generate'] = ({ instance }) => [[instance.timeline()]];
    return { name: alias ?? node.function.name, columns, table: undefined, generate };
  }
  if (node.function.name !== 'generate_series') throw unsupported(`${node.function.name} in FROM`);
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
    return series(Number(first), Number(last), Number(step ?? 1));
  };
  return {
    name: alias ?? 'generate_series',
    columns: [{ name: columnName, type }],
    table: undefined,
    generate,
  };
}

function* series(first: number, last: number, step: number): Generator<Row> {
  if (step === 0) throw unsupported('a series with step 0');
  for (let value = first; step > 0 ? value <= last : value >= last; value += step) yield [value];
}
