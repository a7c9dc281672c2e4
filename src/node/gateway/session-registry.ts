/**
 * Open sessions of this node, by tenant. Applies what a new configuration takes away: a revoked
 * tenant's sessions end, and those beyond a lowered connection limit, newest first.
 */
import type { TenantPolicy } from '../../core/configuration/model.js';
import { NotRunError, type RequestError } from '../../core/errors.js';
import type { TenantName } from '../../core/request.js';
import type { Milliseconds } from '../../core/units.js';
import type { GatewaySession } from './gateway-session.js';

/** How long an open transaction may go on after its tenant's access was taken away, in ms. */
const GRACE_MS: Milliseconds = 1000;

export class SessionRegistry {
  readonly #sessions = new Map<TenantName, Set<GatewaySession>>();

  add(session: GatewaySession): void {
    const sessions = this.#sessions.get(session.tenant) ?? new Set();
    sessions.add(session);
    this.#sessions.set(session.tenant, sessions);
  }

  remove(session: GatewaySession): void {
    const sessions = this.#sessions.get(session.tenant);
    sessions?.delete(session);
    if (sessions?.size === 0) this.#sessions.delete(session.tenant);
  }

  countOf(tenant: TenantName): number {
    return this.#sessions.get(tenant)?.size ?? 0;
  }

  all(): readonly GatewaySession[] {
    return [...this.#sessions.values()].flatMap((sessions) => [...sessions]);
  }

  /** Ends what is no longer allowed. `connectionsOf`: this node's share of the tenant's limit. */
  apply(
    policyOf: (tenant: TenantName) => TenantPolicy | undefined,
    connectionsOf: (policy: TenantPolicy) => number,
  ): void {
    for (const [tenant, sessions] of this.#sessions) {
      const policy = policyOf(tenant);
      if (policy?.enabled !== true) {
        endAll(
          [...sessions],
          new NotRunError('tenant-revoked', 'the tenant has no access any more'),
        );
        continue;
      }
      endAll(beyond(sessions, policy, connectionsOf(policy)), tooMany(tenant));
    }
  }
}

/** Sessions that are too many, or whose database the tenant may no longer reach. */
function beyond(
  sessions: ReadonlySet<GatewaySession>,
  policy: TenantPolicy,
  allowed: number,
): readonly GatewaySession[] {
  const reachable = [...sessions].filter((session) => session.isAllowedBy(policy));
  const unreachable = [...sessions].filter((session) => !session.isAllowedBy(policy));
  return [...unreachable, ...reachable.slice(allowed)];
}

function tooMany(tenant: TenantName): RequestError {
  return new NotRunError('connection-limit', `tenant ${tenant} may hold fewer connections now`);
}

/** Between requests if they end soon, whatever they do after the grace time. */
function endAll(sessions: readonly GatewaySession[], error: RequestError): void {
  if (sessions.length === 0) return;
  for (const session of sessions) session.stop(error);
  const timer = setTimeout(() => {
    for (const session of sessions) session.cut(error);
  }, GRACE_MS);
  timer.unref();
}
