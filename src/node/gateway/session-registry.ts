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
export const SESSION_GRACE_MS: Milliseconds = 1000;

/** The open sessions of this gateway. */
export class SessionRegistry {
  readonly #sessions = new Map<TenantName, Set<GatewaySession>>();
  /** Sessions that were told to end. */
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

  /** Ends sessions whose tenant, or whose tenant's access to their database, is gone. */
  applyPolicies(policyOf: (tenant: TenantName) => TenantPolicy | undefined): void {
    for (const [tenant, sessions] of this.#sessions) {
      const policy = policyOf(tenant);
      const refused =
        policy?.enabled === true
          ? [...sessions].filter((session) => !session.isAllowedBy(policy))
          : [...sessions];
      this.#endAll(refused, noAccess());
    }
  }

  /** Ends the newest sessions of a tenant beyond those that it may have on this node. */
  endBeyond(tenant: TenantName, allowed: number): void {
    const sessions = [...(this.#sessions.get(tenant) ?? [])];
    const staying = sessions.filter((session) => !this.#ending.has(session));
    const alreadyEnding = sessions.length - staying.length;
    const ended = Math.max(0, sessions.length - alreadyEnding - allowed);
    this.#endAll(staying.slice(staying.length - ended), tooMany(tenant));
  }

  /** Between requests if they end soon, whatever they do after the grace time. */
  #endAll(sessions: readonly GatewaySession[], error: RequestError): void {
    const running = sessions.filter((session) => !this.#ending.has(session));
    if (running.length === 0) return;
    for (const session of running) {
      this.#ending.add(session);
      session.stop(error);
    }
    const timer = setTimeout(() => {
      for (const session of running) session.cut(error);
    }, SESSION_GRACE_MS);
    timer.unref();
  }
}

function noAccess(): RequestError {
  return new NotRunError('tenant-revoked', 'the tenant has no access any more');
}

function tooMany(tenant: TenantName): RequestError {
  return new NotRunError('connection-limit', `tenant ${tenant} may hold fewer connections now`);
}
