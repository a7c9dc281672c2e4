/**
 * Counts the operations of this node's callers against their tenants' quotas. The keepers of a tenant's quota grant the
 * permits; prefetched permits are used without a request. A tenant that has exhausted its quota is refused without a
 * request until more permits may be available.
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

/** A keeper responds within a few milliseconds; after a timeout, the next operation sends a new request. */
const REQUEST_TIMEOUT_MS: Milliseconds = 250;
/** For this time, a keeper that did not respond is tried after the others. */
const AVOIDANCE_PERIOD_MS: Milliseconds = 600;
/** Retry delay for callers while no keeper responds: another one is named within some seconds. */
const UNKNOWN_RETRY_MS: Milliseconds = 300;
/** Bounds of the retry delay that refused callers are given. */
const MIN_RETRY_MS: Milliseconds = 20;
const MAX_RETRY_MS: Milliseconds = 2000;

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
  /** By priority: time until which no keeper has permits left for it. */
  readonly exhaustedUntil: Map<number, Milliseconds>;
  /** Operations that wait for the response to a request. */
  waiting: WaitingOperation[];
  isRequesting: boolean;
}

export class Quotas {
  readonly #tenants = new Map<string, TenantState>();
  /** Time until which a keeper is tried last, by node id. */
  readonly #avoided = new Map<string, Milliseconds>();

  constructor(private readonly options: QuotasOptions) {}

  /**
   * Counts one operation; returns a refusal if it exceeds the quota.
   * @param priority 0 is the highest: if the tenant exceeds its quota, operations of higher priority are served first
   */
  spend(tenant: string, priority = 0): QuotaDecision {
    const { now, quotaOf } = this.options;
    if (quotaOf(tenant)?.quota === undefined) return undefined;
    const state = this.#stateOf(tenant);
    state.holder.recordDemand(now());
    if (state.waiting.length === 0 && state.holder.take(now())) return undefined;
    const exhaustedUntil = exhaustedUntilFor(state, priority);
    if (now() < exhaustedUntil) return this.#refuseBeyondQuota(exhaustedUntil);
    const decision = new Promise<Refusal | undefined>((settle) =>
      state.waiting.push({ priority, settle }),
    );
    if (!state.isRequesting) void this.#requestPermits(tenant, state);
    return decision;
  }

  #stateOf(tenant: string): TenantState {
    const known = this.#tenants.get(tenant);
    if (known !== undefined) return known;
    const hash = createHash('sha256').update(tenant).digest().readUInt32BE();
    const state: TenantState = {
      holder: new PermitHolder(),
      parts: partsOf(hash),
      exhaustedUntil: new Map(),
      waiting: [],
      isRequesting: false,
    };
    this.#tenants.set(tenant, state);
    return state;
  }

  async #requestPermits(tenant: string, state: TenantState): Promise<void> {
    state.isRequesting = true;
    while (state.waiting.length > 0) {
      const priority = Math.min(...state.waiting.map((one) => one.priority));
      const operations = state.waiting.filter((one) => one.priority === priority);
      state.waiting = state.waiting.filter((one) => one.priority !== priority);
      const granted = await this.#requestFromKeepers(tenant, state, operations.length, priority);
      this.#settle(state, operations, granted);
    }
    state.isRequesting = false;
  }

  /** Sends requests to the tenant's keepers one after the other until all permits needed are granted. */
  async #requestFromKeepers(
    tenant: string,
    state: TenantState,
    needed: number,
    priority: number,
  ): Promise<PermitGrant | undefined> {
    const { now, nodeName } = this.options;
    let stillNeeded = needed;
    let retryAfterMs = Number.POSITIVE_INFINITY;
    let anyResponded = false;
    for (const part of this.#partsInOrder(state.parts)) {
      const requestedAt = now();
      const held = state.holder.heldCount(requestedAt);
      const wanted = Math.ceil(state.holder.targetCount(requestedAt) / state.parts.length);
      const request = { part, tenant, node: nodeName, needed: stillNeeded, held, wanted, priority };
      const grant = await this.#requestFromKeeper(request);
      if (grant === undefined) continue;
      anyResponded = true;
      state.holder.add(grant.granted - Math.min(grant.granted, stillNeeded), requestedAt);
      stillNeeded = Math.max(0, stillNeeded - grant.granted);
      if (stillNeeded === 0) return { granted: needed, retryAfterMs: 0 };
      retryAfterMs = Math.min(retryAfterMs, grant.retryAfterMs);
    }
    return anyResponded ? { granted: needed - stillNeeded, retryAfterMs } : undefined;
  }

  async #requestFromKeeper(request: PartRequest): Promise<PermitGrant | undefined> {
    const { keepers, keeper, nodeName, transport, counters, now } = this.options;
    const keeperNode = keepers()?.[request.part];
    if (keeperNode === undefined) return undefined;
    if (keeperNode.nodeId === nodeName) return keeper.grant(request);
    counters().quotaAsked += 1;
    const { host, port } = keeperNode;
    const address = { host, port };
    const response = await transport()?.call(address, PERMITS_METHOD, request, REQUEST_TIMEOUT_MS);
    const grant = response?.isOk() === true ? parsePermitGrant(response.value) : undefined;
    if (grant === undefined) this.#avoided.set(keeperNode.nodeId, now() + AVOIDANCE_PERIOD_MS);
    return grant;
  }

  /** Nodes start with different parts, so that all parts are used; keepers that did not respond come last. */
  #partsInOrder(parts: readonly number[]): readonly number[] {
    const { keepers, nodeName, now } = this.options;
    const first = (nodeName.charCodeAt(nodeName.length - 1) || 0) % parts.length;
    const rotated = [...parts.slice(first), ...parts.slice(0, first)];
    const isAvoided = (part: number): boolean => {
      const nodeId = keepers()?.[part]?.nodeId;
      return nodeId !== undefined && (this.#avoided.get(nodeId) ?? 0) > now();
    };
    return [...rotated.filter((part) => !isAvoided(part)), ...rotated.filter(isAvoided)];
  }

  #settle(
    state: TenantState,
    operations: readonly WaitingOperation[],
    grant: PermitGrant | undefined,
  ): void {
    const { now, counters } = this.options;
    if (grant === undefined) {
      counters().quotaUnknown += operations.length;
      const text = `the tenant's quota can't be asked for; retry after ${UNKNOWN_RETRY_MS} ms`;
      for (const { settle } of operations) settle({ code: 'busy', text });
      return;
    }
    for (const { settle } of operations.slice(0, grant.granted)) settle(undefined);
    const refused = operations.slice(grant.granted);
    const [first] = refused;
    if (first === undefined) return;
    const exhaustedUntil = now() + Math.min(MAX_RETRY_MS, grant.retryAfterMs);
    state.exhaustedUntil.set(first.priority, exhaustedUntil);
    for (const { settle } of refused) settle(this.#refuseBeyondQuota(exhaustedUntil));
  }

  #refuseBeyondQuota(exhaustedUntil: Milliseconds): Refusal {
    const { now, counters } = this.options;
    counters().quotaRefusals += 1;
    const retryAfterMs = Math.max(MIN_RETRY_MS, Math.ceil(exhaustedUntil - now()));
    const text = `beyond the tenant's quota; retry after ${retryAfterMs} ms`;
    return { code: 'busy', text };
  }
}

/** Time until which this priority is refused: a refusal of one priority applies to all lower ones too. */
function exhaustedUntilFor({ exhaustedUntil }: TenantState, priority: number): Milliseconds {
  let latest: Milliseconds = 0;
  for (const [refused, until] of exhaustedUntil) {
    if (refused <= priority) latest = Math.max(latest, until);
  }
  return latest;
}
