/** Scalar subselects: one column of at most one row, independent of the outer row. */
import { unsupportedError } from '../errors.js';
import type { Catalog } from '../storage/catalog.js';
import type { EvaluationContext, Scope } from './evaluation.js';
import type { ExecutionContext } from './plan.js';
import { compileSelect } from './select.js';
import type { Value } from './types.js';

export function subselectCompiler(catalog: Catalog): Scope['compileSubselect'] {
  return (node, parameters) => {
    if (node.type !== 'select') throw unsupportedError(`subselects of kind ${node.type}`);
    const plan = compileSelect(node, catalog, parameters);
    const [column] = plan.columns ?? [];
    if (column === undefined || plan.columns?.length !== 1) {
      throw unsupportedError('subselects of several columns');
    }
    const evaluate = (context: EvaluationContext): Value => {
      const inner: ExecutionContext = { ...(context as ExecutionContext), row: [], aggregates: [] };
      const [row] = plan.execute(inner).rows;
      return row?.[0] ?? null;
    };
    return { type: column.type, evaluate };
  };
}
