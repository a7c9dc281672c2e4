/** Runs a promotion state machine with a store and instances that respond at once. */
import type {
  PromotionEvent,
  PromotionRequest,
  RequestAnswer,
} from '../../src/core/promotion/contract.js';
import type { PromotionStateMachine } from '../../src/core/promotion/machine.js';

/** Returns the immediate response to a request; undefined leaves the request pending. */
export type RespondTo = (request: PromotionRequest) => RequestAnswer | undefined;

/**
 * Handles the events, and those that follow from them, at time `now`. Returns the requests, in order. Reports the end
 * of use of an old primary at once.
 */
export function handleEvents(
  machine: PromotionStateMachine,
  events: readonly PromotionEvent[],
  now: number,
  respondTo: RespondTo,
): PromotionRequest[] {
  const requests: PromotionRequest[] = [];
  const queue = [...events];
  for (let event = queue.shift(); event !== undefined; event = queue.shift()) {
    for (const effect of machine.handle(event, now)) {
      if (effect.type === 'end-use') {
        queue.push({ type: 'use-ended', service: effect.service, change: effect.change });
      }
      if (effect.type !== 'request') continue;
      requests.push(effect.request);
      const answer = respondTo(effect.request);
      if (answer !== undefined) queue.push({ type: 'answer', request: effect.id, answer });
    }
  }
  return requests;
}
