/** Executes the promotion state machine's requests to the store, the instances and the platform. */
import type { ResultAsync } from 'neverthrow';
import type { MeadowstackError } from '../../core/errors.js';
import type {
  ControlRequest,
  PromotionRequest,
  RequestAnswer,
  StoreRequest,
} from '../../core/promotion/contract.js';
import type { Store, StoreError } from '../../platform/contract.js';
import { StoreLeaseNotFoundError } from '../../platform/errors.js';
import type { InstanceControl, InstanceStatus } from '../contract.js';
import type { BoundedPromotionCaller } from './contract.js';
import type { ClassifyControlFailure } from './control-failure.js';

export interface RequestRunnerOptions {
  readonly store: Store;
  readonly control: InstanceControl;
  readonly promotion: BoundedPromotionCaller;
  readonly classifyFailure: ClassifyControlFailure;
  readonly nodeName: string;
}

export class RequestRunner {
  constructor(private readonly options: RequestRunnerOptions) {}

  /** Never rejects: a failure is also returned as a response. */
  async run(request: PromotionRequest): Promise<RequestAnswer> {
    switch (request.type) {
      case 'promote': {
        const { service, instanceId, fencingToken, endsAt } = request;
        const { promotion, nodeName } = this.options;
        const call = promotion.promote(service, instanceId, nodeName, fencingToken, endsAt);
        const outcome = await call.catch(() => 'unknown' as const);
        return { type: 'promotion', outcome };
      }
      case 'control':
        return this.#callInstance(request).match(
          (status): RequestAnswer => ({ type: 'status', status }),
          (error) => ({ type: 'control-failed', failure: this.options.classifyFailure(error) }),
        );
      default:
        return this.#callStore(request).match((answer) => answer, toStoreFailure);
    }
  }

  #callInstance(request: ControlRequest): ResultAsync<InstanceStatus, MeadowstackError> {
    const { control } = this.options;
    const { action, instance, term, timeoutMs } = request;
    switch (action) {
      case 'status':
        return control.status(instance, timeoutMs);
      case 'pause':
        return control.pause(instance, term, timeoutMs);
      case 'resume':
        return control.resume(instance, timeoutMs);
      case 'demote':
        return control.demote(instance, term, timeoutMs);
    }
  }

  #callStore(request: StoreRequest): ResultAsync<RequestAnswer, StoreError> {
    const { store } = this.options;
    switch (request.type) {
      case 'range':
        return store.range(request.prefix).map((range) => ({ type: 'range', range }));
      case 'transaction':
        return store
          .transaction(request.compares, request.operations)
          .map((transaction) => ({ type: 'transaction', transaction }));
      case 'grant-lease':
        return store.grantLease(request.seconds).map((leaseId) => ({ type: 'lease', leaseId }));
      case 'keep-lease':
        return store.keepLeaseAlive(request.leaseId).map(toRenewalAnswer);
      case 'revoke-lease':
        return store.revokeLease(request.leaseId).map(() => ({ type: 'done' }));
    }
  }
}

/** The renewal of an expired lease may succeed with a time to live of 0. */
function toRenewalAnswer(seconds: number): RequestAnswer {
  if (seconds > 0) return { type: 'done' };
  return { type: 'store-failed', isLeaseGone: true, hasResponded: true, retryAfterMs: undefined };
}

function toStoreFailure(error: StoreError): RequestAnswer {
  return {
    type: 'store-failed',
    isLeaseGone: error instanceof StoreLeaseNotFoundError,
    hasResponded: error.hasResponded,
    retryAfterMs: error.retryAfterMs,
  };
}
