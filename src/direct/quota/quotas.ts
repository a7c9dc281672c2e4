/**
 * Counts operations against the quotas of their tenants, for this node's callers. Permits come from the nodes that keep
 * the tenant's quota; those that are held ahead are used at once, and a tenant that is beyond its quota is refused
 * without a question until there may be more.
 */
import { createHash } from 'node:crypto';
import { PermitHolder } from '../../core/tenancy/permit-holder.js';
import { partsOf, type QuotaKeepers } from '../../core/tenancy/quota-keepers.js';
import type { PermitGrant } from '../../core/tenancy/quota-ledger.js';
import type { Milliseconds } from '../../core/units.js';
import type { PeerTransport } from '../../peer/contract.js';
import type { AdmissionCounters } from '../admission.js';
import type { QuotaDecision } from '../caller-session.js';
import type { TenantQuota } from '../contract.js';
import type { Refusal } from '../statement-request.js';
import type { QuotaKeeper } from './keeper.js';
import { type PartRequest, PERMITS_METHOD, parsePermitGrant } from './messages.js';

/** A keeper answers within a few milliseconds; one that does not is asked by its next operation again. */
const QUESTION_TIMEOUT_MS: Milliseconds = 250;
/** A keeper that did not answer is asked after the other one for so long. */
const AVOID_MS: Milliseconds = 600;
/** When to come back where no keeper can be asked: another one is named within some seconds. */
const UNKNOWN_RETRY_MS: Milliseconds = 300;
/** Callers are told to come back after this at least, and at most. */
const LEAST_RETRY_MS: Milliseconds = 20;
const MOST_RETRY_MS: Milliseconds = 2000;

export interface QuotasOptions {
  readonly nodeName: string;
  readonly keeper: QuotaKeeper;
  readonly keepers: () => QuotaKeepers | undefined;
  readonly transport: () => Pick<PeerTransport, 'call'> | undefined;
  /** The quota of a tenant now; undefined if there is no such tenant. */
  readonly quotaOf: (tenant: string) => { readonly quota: TenantQuota | undefined } | undefined;
  readonly counters: () => AdmissionCounters;
  readonly now: () => Milliseconds;
}

interface WaitingOperation {
  readonly priority: number;
  readonly settle: (refusal: Refusal | undefined) => void;
}

interface TenantState {
  readonly holder: PermitHolder;
  readonly parts: readonly number[];
  /** Nothing is left at any keeper for this priority until then. */
  readonly emptyUntil: Map<number, Milliseconds>;
  /** Operations that wait for the answer to a question. */
  waiting: WaitingOperation[];
  isAsking: boolean;
}

export class Quotas {
  readonly #tenants = new Map<string, TenantState>();
  /** Until when a keeper is asked last, by its name. */
  readonly #avoided = new Map<string, Milliseconds>();

  constructor(private readonly options: QuotasOptions) {}

  /**
   * Counts one operation; gives why not, if it is beyond the quota.
   * @param priority 0 is the highest: where the tenant asks for more than its quota, these go first
   */
  spend(tenant: string, priority = 0): QuotaDecision {
    const { now, quotaOf } = this.options;
    if (quotaOf(tenant)?.quota === undefined) return undefined;
    const state = this.#stateOf(tenant);
    state.holder.recordDemand(now());
    if (state.waiting.length === 0 && state.holder.take(now())) return undefined;
    const emptyUntil = emptyUntilFor(state, priority);
    if (now() < emptyUntil) return this.#beyond(emptyUntil);
    const answered = new Promise<Refusal | undefined>((settle) =>
      state.waiting.push({ priority, settle }),
    );
    if (!state.isAsking) void this.#ask(tenant, state);
    return answered;
  }

  #stateOf(tenant: string): TenantState {
    const known = this.#tenants.get(tenant);
    if (known !== undefined) return known;
    const hash = createHash('sha256').update(tenant).digest().readUInt32BE();
    const state: TenantState = {
      holder: new PermitHolder(),
      parts: partsOf(hash),
      emptyUntil: new Map(),
      waiting: [],
      isAsking: false,
    };
    this.#tenants.set(tenant, state);
    return state;
  }

  async #ask(tenant: string, state: TenantState): Promise<void> {
    state.isAsking = true;
    while (state.waiting.length > 0) {
      const priority = Math.min(...state.waiting.map((one) => one.priority));
      const asked = state.waiting.filter((one) => one.priority === priority);
      state.waiting = state.waiting.filter((one) => one.priority !== priority);
      const granted = await this.#askKeepers(tenant, state, asked.length, priority);
      this.#settle(state, asked, granted);
    }
    state.isAsking = false;
  }

  /** Asks the keepers of the tenant in turn until all that is needed is granted. */
  async #askKeepers(
    tenant: string,
    state: TenantState,
    needed: number,
    priority: number,
  ): Promise<PermitGrant | undefined> {
    const { now, nodeName } = this.options;
    let missing = needed;
    let retryAfterMs = Number.POSITIVE_INFINITY;
    let isAnswered = false;
    for (const part of this.#inOrder(state.parts)) {
      const askedAt = now();
      const held = state.holder.heldCount(askedAt);
      const wanted = Math.ceil(state.holder.targetCount(askedAt) / state.parts.length);
      const request = { part, tenant, node: nodeName, needed: missing, held, wanted, priority };
      const grant = await this.#askKeeper(request);
      if (grant === undefined) continue;
      isAnswered = true;
      state.holder.add(grant.granted - Math.min(grant.granted, missing), askedAt);
      missing = Math.max(0, missing - grant.granted);
      if (missing === 0) return { granted: needed, retryAfterMs: 0 };
      retryAfterMs = Math.min(retryAfterMs, grant.retryAfterMs);
    }
    return isAnswered ? { granted: needed - missing, retryAfterMs } : undefined;
  }

  async #askKeeper(request: PartRequest): Promise<PermitGrant | undefined> {
    const { keepers, keeper, nodeName, transport, counters, now } = this.options;
    const asked = keepers()?.[request.part];
    if (asked === undefined) return undefined;
    if (asked.nodeId === nodeName) return keeper.grant(request);
    counters().quotaAsked += 1;
    const { host, port } = asked;
    const address = { host, port };
    const answer = await transport()?.call(address, PERMITS_METHOD, request, QUESTION_TIMEOUT_MS);
    const grant = answer?.isOk() === true ? parsePermitGrant(answer.value) : undefined;
    if (grant === undefined) this.#avoided.set(asked.nodeId, now() + AVOID_MS);
    return grant;
  }

  /** Each node begins with another part, so that both are used; keepers that did not answer come last. */
  #inOrder(parts: readonly number[]): readonly number[] {
    const { keepers, nodeName, now } = this.options;
    const first = (nodeName.charCodeAt(nodeName.length - 1) || 0) % parts.length;
    const inTurn = [...parts.slice(first), ...parts.slice(0, first)];
    const isAvoided = (part: number): boolean => {
      const nodeId = keepers()?.[part]?.nodeId;
      return nodeId !== undefined && (this.#avoided.get(nodeId) ?? 0) > now();
    };
    return [...inTurn.filter((part) => !isAvoided(part)), ...inTurn.filter(isAvoided)];
  }

  #settle(
    state: TenantState,
    asked: readonly WaitingOperation[],
    grant: PermitGrant | undefined,
  ): void {
    const { now, counters } = this.options;
    if (grant === undefined) {
      counters().quotaUnknown += asked.length;
      const text = `the tenant's quota can't be asked for; retry after ${UNKNOWN_RETRY_MS} ms`;
      for (const { settle } of asked) settle({ code: 'busy', text });
      return;
    }
    for (const { settle } of asked.slice(0, grant.granted)) settle(undefined);
    const refused = asked.slice(grant.granted);
    const [first] = refused;
    if (first === undefined) return;
    const emptyUntil = now() + Math.min(MOST_RETRY_MS, grant.retryAfterMs);
    state.emptyUntil.set(first.priority, emptyUntil);
    for (const { settle } of refused) settle(this.#beyond(emptyUntil));
  }

  #beyond(emptyUntil: Milliseconds): Refusal {
    const { now, counters } = this.options;
    counters().quotaRefusals += 1;
    const retryAfterMs = Math.max(LEAST_RETRY_MS, Math.ceil(emptyUntil - now()));
    const text = `beyond the tenant's quota; retry after ${retryAfterMs} ms`;
    return { code: 'busy', text };
  }
}

/** What a priority was refused, lower ones would be refused too. */
function emptyUntilFor({ emptyUntil }: TenantState, priority: number): Milliseconds {
  let latest: Milliseconds = 0;
  for (const [refused, until] of emptyUntil) {
    if (refused <= priority) latest = Math.max(latest, until);
  }
  return latest;
}
