/**
 * Open sessions of this node, by tenant. After a configuration change it ends the sessions of
 * tenants whose access was revoked, and those beyond a lowered connection limit, newest first.
 */
import type { TenantPolicy } from '../../core/configuration/model.js';
import { NotRunError, type RequestError } from '../../core/errors.js';
import type { TenantName } from '../../core/request.js';
import type { Milliseconds } from '../../core/units.js';
import type { GatewaySession } from './gateway-session.js';

/** How long an open transaction may continue after the end of its session was requested. */
export const SESSION_GRACE_MS: Milliseconds = 1000;

/** The open sessions of this gateway. */
export class SessionRegistry {
  readonly #sessions = new Map<TenantName, Set<GatewaySession>>();
  /** Sessions that were requested to end. */
  readonly #ending = new WeakSet<GatewaySession>();

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

  /** Ends sessions whose tenant was removed or disabled, or lost access to their database. */
  applyPolicies(policyOf: (tenant: TenantName) => TenantPolicy | undefined): void {
    for (const [tenant, sessions] of this.#sessions) {
      const policy = policyOf(tenant);
      const revoked =
        policy?.enabled === true
          ? [...sessions].filter((session) => !session.isAllowedBy(policy))
          : [...sessions];
      this.#endAll(revoked, accessRevokedError());
    }
  }

  /** Ends the newest sessions of a tenant beyond the number allowed on this node. */
  endNewestBeyond(tenant: TenantName, allowed: number): void {
    const sessions = [...(this.#sessions.get(tenant) ?? [])];
    const remaining = sessions.filter((session) => !this.#ending.has(session));
    const alreadyEnding = sessions.length - remaining.length;
    const excessCount = Math.max(0, sessions.length - alreadyEnding - allowed);
    this.#endAll(remaining.slice(remaining.length - excessCount), connectionLimitError(tenant));
  }

  /** Ends each session between requests if possible, otherwise at the end of the grace time. */
  #endAll(sessions: readonly GatewaySession[], error: RequestError): void {
    const sessionsToEnd = sessions.filter((session) => !this.#ending.has(session));
    if (sessionsToEnd.length === 0) return;
    for (const session of sessionsToEnd) {
      this.#ending.add(session);
      session.endWhenIdle(error);
    }
    const timer = setTimeout(() => {
      for (const session of sessionsToEnd) session.endNow(error);
    }, SESSION_GRACE_MS);
    timer.unref();
  }
}

function accessRevokedError(): RequestError {
  return new NotRunError('tenant-revoked', 'the tenant no longer has access');
}

function connectionLimitError(tenant: TenantName): RequestError {
  return new NotRunError('connection-limit', `tenant ${tenant} may hold fewer connections now`);
}
