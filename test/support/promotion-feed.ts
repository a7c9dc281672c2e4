/** Hands events to a promotion machine, and the answers of a store and of instances that answer at once. */
import type {
  PromotionEvent,
  PromotionRequest,
  RequestAnswer,
} from '../../src/core/promotion/contract.js';
import type { PromotionStateMachine } from '../../src/core/promotion/machine.js';

/** What a request is answered at once; one without an answer stays open. */
export type AnswerTo = (request: PromotionRequest) => RequestAnswer | undefined;

/**
 * Handles the events, and what follows from them, at one moment. Gives what was asked for, in order. A node's use of an
 * old primary ends as soon as that is asked of it.
 */
export function feed(
  machine: PromotionStateMachine,
  events: readonly PromotionEvent[],
  now: number,
  answerTo: AnswerTo,
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
      const answer = answerTo(effect.request);
      if (answer !== undefined) queue.push({ type: 'answer', request: effect.id, answer });
    }
  }
  return requests;
}
