/** Plans by statement, parameter types and catalog version. */

import type { Plan } from '../sql/plan.js';
import { compileStatement } from '../sql/planner.js';
import type { QueryStatement } from '../sql/statements.js';
import type { TypeName } from '../sql/types.js';
import type { Catalog } from '../storage/catalog.js';

interface CachedPlan {
  readonly version: number;
  readonly plan: Plan;
}

/** Its size is limited by the cache of parsed statements, whose entries are its weak keys. */
export class PlanCache {
  private readonly plans = new WeakMap<QueryStatement, Map<string, CachedPlan>>();

  constructor(private readonly catalog: Catalog) {}

  get(statement: QueryStatement, declared: readonly (TypeName | undefined)[]): Plan {
    const signature = declared.join();
    const bySignature = this.plans.get(statement) ?? new Map<string, CachedPlan>();
    const cached = bySignature.get(signature);
    if (cached?.version === this.catalog.version) return cached.plan;
    const { version } = this.catalog;
    const plan = compileStatement(statement.syntaxTree, this.catalog, declared);
    this.plans.set(statement, bySignature.set(signature, { version, plan }));
    return plan;
  }
}
