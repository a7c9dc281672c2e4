/** Compiles a query statement to a plan. */
import type { Statement } from 'pgsql-ast-parser';
import { unsupportedError } from '../errors.js';
import type { Catalog } from '../storage/catalog.js';
import { compileCreateTable, compileDropTable, compileTruncate } from './define.js';
import { ParameterTypes } from './evaluation.js';
import { compileInsert } from './insert.js';
import { compileDelete, compileUpdate } from './modify.js';
import type { Plan } from './plan.js';
import { compileSelect } from './select.js';
import type { TypeName } from './types.js';

/** `declared`: parameter types given by the client; undefined ones are inferred. */
export function compileStatement(
  tree: Statement,
  catalog: Catalog,
  declared: readonly (TypeName | undefined)[],
): Plan {
  const parameters = new ParameterTypes(declared);
  switch (tree.type) {
    case 'select':
      return compileSelect(tree, catalog, parameters);
    case 'insert':
      return compileInsert(tree, catalog, parameters);
    case 'update':
      return compileUpdate(tree, catalog, parameters);
    case 'delete':
      return compileDelete(tree, catalog, parameters);
    case 'create table':
      return compileCreateTable(tree, catalog);
    case 'drop table':
      return compileDropTable(tree, catalog);
    case 'truncate table':
      return compileTruncate(tree, catalog);
    default:
      throw unsupportedError(`statements of kind ${tree.type}`);
  }
}
