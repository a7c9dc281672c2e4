/** The tenants at this node: one for each account on each route that it has used. */
import { type RoutePolicy, resolveRoutePolicy } from '../core/tenancy/route-template.js';
import type { RouteDescription } from './contract.js';
import { Tenant } from './tenant.js';
import { ROUTE_TEMPLATES } from './tenant-templates.generated.js';

/** Undefined where callers send no keys: there each route is one tenant. */
type Account = string | undefined;

interface RouteTenants {
  readonly policy: RoutePolicy;
  readonly tenants: Map<Account, Tenant>;
}

export class TenantTable {
  /** By route name. */
  #routes = new Map<string, RouteTenants>();

  /** Applies the configured routes. A tenant keeps its session count and retry budget when its route changes. */
  setRoutes(routes: readonly RouteDescription[]): void {
    const before = this.#routes;
    this.#routes = new Map();
    for (const route of routes) {
      const policy = resolveRoutePolicy(ROUTE_TEMPLATES, route.consistency, route);
      const tenants = before.get(route.name)?.tenants ?? new Map<Account, Tenant>();
      for (const tenant of tenants.values()) tenant.setPolicy(policy);
      this.#routes.set(route.name, { policy, tenants });
    }
  }

  /** The tenant of an account on a configured route. */
  get(route: RouteDescription, account: Account): Tenant {
    const known = this.#routes.get(route.name);
    const tenant = known?.tenants.get(account);
    if (tenant !== undefined) return tenant;
    const policy = known?.policy ?? resolveRoutePolicy(ROUTE_TEMPLATES, route.consistency, route);
    const created = new Tenant(account ?? route.name, policy);
    known?.tenants.set(account, created);
    return created;
  }
}
