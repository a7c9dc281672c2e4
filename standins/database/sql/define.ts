/** Compiles CREATE TABLE, DROP TABLE and TRUNCATE. */
import type {
  CreateColumnDef,
  CreateTableStatement,
  DropStatement,
  TruncateTableStatement,
} from 'pgsql-ast-parser';
import { ServerError, ServerSqlState, unsupportedError } from '../errors.js';
import type { Catalog } from '../storage/catalog.js';
import type { ColumnDefinition, TableDefinition, UniqueConstraint } from '../storage/schema.js';
import { ParameterTypes } from './evaluation.js';
import type { Plan } from './plan.js';
import { typeByName } from './types.js';

const SERIAL_TYPES: ReadonlySet<string> = new Set(['serial', 'bigserial', 'smallserial']);

function definitionPlan(tag: string, execute: Plan['execute']): Plan {
  const parameters = new ParameterTypes([]);
  return { columns: undefined, parameters, writes: true, needsSlot: true, execute, tag: () => tag };
}

const NO_ROWS = { rows: [], affected: 0 } as const;

export function compileCreateTable(node: CreateTableStatement, catalog: Catalog): Plan {
  const definition = tableDefinition(node);
  return definitionPlan('CREATE TABLE', ({ transaction }) => {
    if (catalog.find(definition.name) === undefined) {
      catalog.createTable(definition, transaction);
    } else if (!node.ifNotExists) {
      const message = `relation "${definition.name}" already exists`;
      throw new ServerError(ServerSqlState.DUPLICATE_TABLE, message);
    }
    return NO_ROWS;
  });
}

export function compileDropTable(node: DropStatement, catalog: Catalog): Plan {
  return definitionPlan('DROP TABLE', ({ transaction }) => {
    for (const { name } of node.names) {
      if (node.ifExists && catalog.find(name) === undefined) continue;
      catalog.dropTable(name, transaction);
    }
    return NO_ROWS;
  });
}

export function compileTruncate(node: TruncateTableStatement, catalog: Catalog): Plan {
  return definitionPlan('TRUNCATE TABLE', ({ transaction }) => {
    for (const { name } of node.tables) {
      const table = catalog.get(name);
      const rows = [...table.rows.values()];
      for (const row of rows) {
        if (table.visible(row, transaction) !== undefined) table.delete(row, transaction);
      }
    }
    return NO_ROWS;
  });
}

function tableDefinition(node: CreateTableStatement): TableDefinition {
  const { name } = node.name;
  const nodes = node.columns.map((column) => {
    if (column.kind !== 'column') throw unsupportedError('LIKE in CREATE TABLE');
    return column;
  });
  const uniqueConstraints = [...columnConstraints(name, nodes), ...tableConstraints(node, nodes)];
  const primary = uniqueConstraints.find((constraint) => constraint.primary);
  const columns = nodes.map((column, position) =>
    columnDefinition(column, primary?.columns.includes(position) ?? false),
  );
  return { name, columns, uniqueConstraints };
}

function columnDefinition(node: CreateColumnDef, inPrimaryKey: boolean): ColumnDefinition {
  const { dataType } = node;
  if (dataType.kind === 'array' || !('name' in dataType)) throw unsupportedError('array columns');
  const constraints = node.constraints ?? [];
  const serial =
    SERIAL_TYPES.has(dataType.name.toLowerCase()) ||
    constraints.some((constraint) => constraint.type === 'add generated');
  const withDefault = constraints.find((constraint) => constraint.type === 'default');
  const declared = constraints.some((constraint) => constraint.type === 'not null');
  return {
    name: node.name.name,
    type: typeByName(dataType.name),
    notNull: declared || inPrimaryKey || serial,
    serial,
    defaultExpression: withDefault?.type === 'default' ? withDefault.default : null,
  };
}

function columnConstraints(table: string, nodes: readonly CreateColumnDef[]): UniqueConstraint[] {
  return nodes.flatMap((node, position) =>
    (node.constraints ?? []).flatMap(({ type }): UniqueConstraint[] => {
      if (type === 'primary key') {
        return [{ name: `${table}_pkey`, primary: true, columns: [position] }];
      }
      if (type !== 'unique') return [];
      return [{ name: `${table}_${node.name.name}_key`, primary: false, columns: [position] }];
    }),
  );
}

function tableConstraints(
  node: CreateTableStatement,
  nodes: readonly CreateColumnDef[],
): UniqueConstraint[] {
  const table = node.name.name;
  return (node.constraints ?? []).map((constraint) => {
    if (constraint.type !== 'primary key' && constraint.type !== 'unique') {
      throw unsupportedError(`table constraints of kind ${constraint.type}`);
    }
    const names = constraint.columns.map((column) => ('name' in column ? column.name : ''));
    const columns = names.map((name) =>
      nodes.findIndex((candidate) => candidate.name.name === name),
    );
    if (columns.includes(-1)) {
      const message = `column named in key of "${table}" does not exist`;
      throw new ServerError(ServerSqlState.UNDEFINED_COLUMN, message);
    }
    const primary = constraint.type === 'primary key';
    const suffix = primary ? 'pkey' : `${names.join('_')}_key`;
    return { name: constraint.constraintName?.name ?? `${table}_${suffix}`, primary, columns };
  });
}
