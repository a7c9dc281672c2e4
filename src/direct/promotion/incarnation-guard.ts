/** Limits control calls to one incarnation: a restarted instance must not respond for its predecessor. */
import { errAsync } from 'neverthrow';
import type { InstanceControl, InstanceEntry } from '../contract.js';
import { InstanceControlError } from '../errors.js';

/** @param isReplaced whether a later incarnation of the instance has taken its place */
export function rejectReplacedIncarnations(
  control: InstanceControl,
  isReplaced: (instance: InstanceEntry) => boolean,
): InstanceControl {
  const rejectReplaced = ({ id }: InstanceEntry) =>
    errAsync(new InstanceControlError(`${id}: the instance has restarted since`, 'misrouted'));
  return {
    status: (instance, ...rest) =>
      isReplaced(instance) ? rejectReplaced(instance) : control.status(instance, ...rest),
    pause: (instance, ...rest) =>
      isReplaced(instance) ? rejectReplaced(instance) : control.pause(instance, ...rest),
    resume: (instance, ...rest) =>
      isReplaced(instance) ? rejectReplaced(instance) : control.resume(instance, ...rest),
    demote: (instance, ...rest) =>
      isReplaced(instance) ? rejectReplaced(instance) : control.demote(instance, ...rest),
    close: () => control.close(),
  };
}
