/** Limits control calls to one incarnation: a restarted instance must not respond for its predecessor. */
import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import type { MeadowstackError } from '../../core/errors.js';
import { isBehind, type ReportedStates } from '../../core/promotion/reported-states.js';
import type { InstanceControl, InstanceEntry, InstanceStatus } from '../contract.js';
import { InstanceControlError } from '../errors.js';

type StatusResult = ResultAsync<InstanceStatus, MeadowstackError>;

export interface IncarnationGuardOptions {
  /** Whether a later incarnation of the instance is registered. */
  readonly isReplaced: (instance: InstanceEntry) => boolean;
  /** What the incarnations have reported so far; an answer that is behind is not theirs. */
  readonly reported: ReportedStates;
}

export function rejectReplacedIncarnations(
  control: InstanceControl,
  { isReplaced, reported }: IncarnationGuardOptions,
): InstanceControl {
  const guard = (instance: InstanceEntry, call: () => StatusResult): StatusResult => {
    if (isReplaced(instance)) return errAsync(hasRestarted(instance));
    // Taken before the call: answers may arrive in another order.
    const earlier = reported.latestOf(instance);
    return call().andThen((status) => {
      if (earlier !== undefined && isBehind(status, earlier)) {
        reported.recordRestart(instance);
        return errAsync(hasRestarted(instance));
      }
      reported.recordStatus(instance, status);
      return okAsync(status);
    });
  };
  return {
    status: (instance, ...rest) => guard(instance, () => control.status(instance, ...rest)),
    pause: (instance, ...rest) => guard(instance, () => control.pause(instance, ...rest)),
    resume: (instance, ...rest) => guard(instance, () => control.resume(instance, ...rest)),
    demote: (instance, ...rest) => guard(instance, () => control.demote(instance, ...rest)),
    close: () => control.close(),
  };
}

function hasRestarted({ id }: InstanceEntry): InstanceControlError {
  return new InstanceControlError(`${id}: the instance has restarted since`, 'misrouted');
}
